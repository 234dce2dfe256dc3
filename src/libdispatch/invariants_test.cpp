#include "dispatch_test.h"

#include <algorithm>
#include <array>
#include <map>

#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::dispatch;

namespace pollenwall::test {
namespace {

using std::chrono::milliseconds;

/// A fault that the harness injects between the core and the model, to show that the check of the
/// violated rule fails.
enum class InjectedFault
{
  None,
  StartTwice,         ///< A lost answer is reported to the core as a refusal.
  PartialComplete,    ///< A failed task is reported to the core as successful.
  ExceedCredits,      ///< The core is given one credit too many.
  UseLeaving,         ///< The core is not notified of a leaving upstream.
  UseSuspected,       ///< The core is not notified of an unconfirmed sign.
  UseUnsuitable,      ///< The core is given smaller needs.
  UseRemoved,         ///< The core is not notified that an upstream was removed.
  AnswerTwice,        ///< Each answer is counted twice.
  LoseAnswer,         ///< Answers are not counted.
  FalseNotRun,        ///< "may have run" and "ran" become "not run" in answers.
  FalseRan,           ///< "may have run" becomes "ran" in answers.
  ExceedQueueLimit,   ///< The core has a larger queue limit than the model.
  StartAfterDeadline, ///< The core is given a longer deadline.
  HideOutcome,        ///< The core is not notified of an outcome.
};

constexpr std::uint32_t kWorkers = 5;
constexpr std::uint32_t kMaxCredits = 4;
constexpr std::size_t kMaxQueuedTasks = 40;
constexpr milliseconds kRetention{ 2000 };

struct ModelTask
{
  bool mOutstanding = false;
  std::uint32_t mAttempt = 0;
  Verdict mVerdict = Verdict::NotRun; ///< According to the latest outcome.
  bool mRanWell = false;
  std::string mResult;
  bool mNeedsAccelerator = false;
};

struct ModelJob
{
  std::vector<ModelTask> mTasks;
  Time mDeadline{};
  bool mAccepted = false;
  bool mEnded = false;
  Time mEndedAt{};
};

struct ModelUpstream
{
  std::uint32_t mCredits = 0;
  std::uint32_t mRunning = 0;
  bool mConfigured = false;
  bool mLeaving = false;
  bool mAccelerator = false;
  bool mSuspected = false;
  Time mSuspectedUntil{};
  UnixMs mSuspectedAtMs = 0;
};

struct Model
{
  InjectedFault mFault = InjectedFault::None;
  Fixture mFixture;
  std::map<std::string, ModelJob> mJobs;
  std::map<RequestId, int> mAnswers; ///< Answers and refusals by request.
  std::vector<ModelUpstream> mUpstreams{ kWorkers };
  std::vector<std::uint32_t> mSuspects; ///< In the order of their signs.
  std::uint32_t mConfigured = 0;
  std::vector<StartTask> mOutstanding;
  std::vector<StartTask> mPast;
  RequestId mNextRequest = 1;
  configuration::Version mVersion = 0;
};

std::string KeyOf(std::uint32_t aWorker)
{
  return "s/w" + std::to_string(aWorker);
}

/// Whether the upstream's unconfirmed sign takes effect: the earliest signs do, for at most half of
/// the pool.
bool IsTreatedAsLeaving(const Model& aModel, std::uint32_t aWorker)
{
  const auto it = std::find(aModel.mSuspects.begin(), aModel.mSuspects.end(), aWorker);
  return it - aModel.mSuspects.begin() <
         std::min(std::ssize(aModel.mSuspects), std::ptrdiff_t{ aModel.mConfigured / 2 });
}

void ClearSuspicion(Model& aModel, std::uint32_t aWorker)
{
  aModel.mUpstreams[aWorker].mSuspected = false;
  std::erase(aModel.mSuspects, aWorker);
}

void AddSuspicion(Model& aModel, std::uint32_t aWorker)
{
  auto& upstream = aModel.mUpstreams[aWorker];
  if (upstream.mLeaving || !upstream.mConfigured) {
    return;
  }
  if (!upstream.mSuspected) {
    aModel.mSuspects.push_back(aWorker);
  }
  upstream.mSuspected = true;
  upstream.mSuspectedUntil = aModel.mFixture.mNow.mTime + std::chrono::seconds(10);
  upstream.mSuspectedAtMs = aModel.mFixture.mNow.mUnixMs;
}

void CheckStart(Model& aModel, const StartTask& aStart)
{
  RC_ASSERT(aModel.mJobs.contains(aStart.mTask.mJob));
  auto& job = aModel.mJobs[aStart.mTask.mJob];
  auto& task = job.mTasks.at(aStart.mTask.mIndex);
  RC_ASSERT(!job.mEnded);
  RC_ASSERT(!task.mOutstanding);
  RC_ASSERT(task.mVerdict == Verdict::NotRun);
  RC_ASSERT(aStart.mAttempt == task.mAttempt + 1);
  const auto& now = aModel.mFixture.mNow;
  RC_ASSERT(now.mTime < job.mDeadline);
  const auto left = std::chrono::duration_cast<milliseconds>(job.mDeadline - now.mTime).count();
  RC_ASSERT(aStart.mNotAfterMs <= now.mUnixMs + std::min<UnixMs>(left, 1000));
  const auto key = AddressOf(*aModel.mFixture.mState, aStart.mUpstream).mKey;
  const auto worker = static_cast<std::uint32_t>(std::stoul(key.substr(3)));
  auto& upstream = aModel.mUpstreams[worker];
  RC_ASSERT(upstream.mConfigured);
  RC_ASSERT(!upstream.mLeaving);
  RC_ASSERT(!IsTreatedAsLeaving(aModel, worker));
  RC_ASSERT(upstream.mAccelerator || !task.mNeedsAccelerator);
  RC_ASSERT(upstream.mRunning < upstream.mCredits);
  ++upstream.mRunning;
  ++task.mAttempt;
  task.mOutstanding = true;
  aModel.mOutstanding.push_back(aStart);
}

/// The verdicts and results of an answer must agree with what the model knows of each task.
void CheckAnswer(Model& aModel, JobAnswer aAnswer)
{
  for (auto& task : aAnswer.mTasks) {
    if (aModel.mFault == InjectedFault::FalseNotRun) {
      task.mVerdict = Verdict::NotRun;
    }
    if (aModel.mFault == InjectedFault::FalseRan && task.mVerdict == Verdict::MayHaveRun) {
      task.mVerdict = Verdict::Ran;
    }
  }
  RC_ASSERT(aModel.mJobs.contains(aAnswer.mId));
  const auto& job = aModel.mJobs[aAnswer.mId];
  RC_ASSERT(aAnswer.mTasks.size() == job.mTasks.size());
  RC_ASSERT(aAnswer.mState != JobState::Running);
  RC_ASSERT((aAnswer.mState == JobState::Failed) == aAnswer.mError.has_value());
  Verdict whole = Verdict::NotRun;
  for (std::size_t n = 0; n < job.mTasks.size(); ++n) {
    const auto& task = job.mTasks[n];
    const auto& answer = aAnswer.mTasks[n];
    whole = Combine(whole, answer.mVerdict);
    if (answer.mVerdict == Verdict::NotRun) {
      RC_ASSERT(!task.mOutstanding);
      RC_ASSERT(task.mVerdict == Verdict::NotRun);
    }
    if (answer.mVerdict == Verdict::MayHaveRun) {
      RC_ASSERT(task.mAttempt > 0U);
    }
    if (answer.mVerdict == Verdict::Ran) {
      RC_ASSERT(task.mVerdict == Verdict::Ran);
    }
    if (aAnswer.mState == JobState::Complete) {
      RC_ASSERT(task.mRanWell);
      RC_ASSERT(answer.mResult == task.mResult);
    } else {
      RC_ASSERT(answer.mResult.empty());
    }
  }
  RC_ASSERT(aAnswer.mVerdict == whole);
  RC_ASSERT(!aAnswer.mError || aAnswer.mError->mVerdict == whole);
}

void CheckFinished(Model& aModel, const Finished& aFinished)
{
  auto& job = aModel.mJobs[aFinished.mId];
  RC_ASSERT(job.mAccepted);
  RC_ASSERT(!job.mEnded);
  const bool all = std::all_of(
    job.mTasks.begin(), job.mTasks.end(), [](const ModelTask& aTask) { return aTask.mRanWell; });
  if (aFinished.mState == JobState::Complete) {
    RC_ASSERT(all);
  } else {
    RC_ASSERT(!all || aModel.mFixture.mNow.mTime >= job.mDeadline);
  }
  job.mEnded = true;
  job.mEndedAt = aModel.mFixture.mNow.mTime;
}

void CountAnswer(Model& aModel, RequestId aRequest, int aTimes)
{
  if (aRequest != 0) {
    aModel.mAnswers[aRequest] += aTimes;
    RC_ASSERT(aModel.mAnswers[aRequest] <= 1);
  }
}

/// Tasks of accepted jobs that wait for a start.
std::size_t CountWaiting(const Model& aModel)
{
  std::size_t waiting = 0;
  for (const auto& [id, job] : aModel.mJobs) {
    if (!job.mAccepted || job.mEnded) {
      continue;
    }
    for (const auto& task : job.mTasks) {
      waiting += !task.mOutstanding && task.mVerdict == Verdict::NotRun ? 1 : 0;
    }
  }
  return waiting;
}

/// Applies an event, checks every action and then the invariants between events.
void ApplyAndCheck(Model& aModel, const Event& aEvent)
{
  Handle(aModel.mFixture, aEvent);
  for (const auto& action : aModel.mFixture.mActions) {
    if (const auto* start = std::get_if<StartTask>(&action)) {
      CheckStart(aModel, *start);
    } else if (const auto* stop = std::get_if<StopTask>(&action)) {
      RC_ASSERT(aModel.mJobs[stop->mTask.mJob].mTasks.at(stop->mTask.mIndex).mOutstanding);
    } else if (const auto* answer = std::get_if<Answer>(&action)) {
      CheckAnswer(aModel, answer->mAnswer);
      CountAnswer(aModel,
                  answer->mRequest,
                  aModel.mFault == InjectedFault::AnswerTwice  ? 2
                  : aModel.mFault == InjectedFault::LoseAnswer ? 0
                                                               : 1);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      CountAnswer(aModel, refuse->mRequest, 1);
      const bool known = aModel.mJobs[refuse->mId].mAccepted;
      RC_ASSERT(known || refuse->mError.mVerdict == Verdict::NotRun ||
                refuse->mError.mCode == ErrorCode::UnknownJob);
    } else if (const auto* finished = std::get_if<Finished>(&action)) {
      CheckFinished(aModel, *finished);
    } else if (const auto* accepted = std::get_if<Accepted>(&action)) {
      auto& job = aModel.mJobs[accepted->mId];
      RC_ASSERT(!job.mAccepted);
      job.mAccepted = true;
      RC_ASSERT(CountWaiting(aModel) <= kMaxQueuedTasks);
    }
  }
  // An injected fault has to be detected by the check of its rule and not only by the sums below.
  if (aModel.mFault != InjectedFault::None && aModel.mFault != InjectedFault::HideOutcome) {
    return;
  }
  for (const auto& [id, job] : aModel.mJobs) {
    RC_ASSERT(!job.mAccepted || job.mEnded || job.mDeadline > aModel.mFixture.mNow.mTime);
  }
  const auto waiting = CountWaiting(aModel);
  const auto load = LoadOf(*aModel.mFixture.mState);
  RC_ASSERT(load.mRunningTasks == aModel.mOutstanding.size());
  RC_ASSERT(load.mQueuedTasks == waiting);
  // Refused tasks return to the queue, in excess of the limit checked when their job was accepted.
  RC_ASSERT(waiting <= kMaxQueuedTasks + std::size_t{ kWorkers } * kMaxCredits);
}

void DoSubmit(Model& aModel, std::uint32_t aA, std::uint32_t aB, std::uint32_t aC)
{
  const auto now = aModel.mFixture.mNow.mTime;
  std::string id = "j" + std::to_string(aModel.mJobs.size());
  bool again = false;
  if (const auto it = aModel.mJobs.find("j" + std::to_string(aB % (aModel.mJobs.size() + 1)));
      aA % 8 == 0 && it != aModel.mJobs.end()) {
    const auto& job = it->second;
    // An entry that has forgotten a job runs its id again; the node refuses that by the time at
    // which the job was first submitted.
    again = job.mAccepted && (!job.mEnded || now < job.mEndedAt + kRetention);
    id = again ? it->first : id;
  }
  Submit submit;
  submit.mRequest = aC % 5 == 0 ? 0 : aModel.mNextRequest++;
  submit.mJob.mId = id;
  submit.mJob.mService = aC % 50 == 7 ? "unknown" : "s";
  submit.mJob.mTeam = aC % 60 == 9 ? "unknown" : "t" + std::to_string(id.size() % 2);
  submit.mJob.mKind = "k";
  submit.mJob.mBodyHash = again && aC % 3 == 0 ? 1 : 0;
  submit.mJob.mDeadline = milliseconds(20 + 37 * (aB % 100));
  submit.mJob.mTasks.resize(1 + aA % 12);
  ModelJob job;
  for (auto& task : submit.mJob.mTasks) {
    ModelTask model;
    model.mNeedsAccelerator = (aC / 3 + job.mTasks.size()) % 5 == 0;
    task.mDeclaredRunTime = milliseconds((aB % 7) * 900);
    task.mNeeds.mAccelerators =
      model.mNeedsAccelerator && aModel.mFault != InjectedFault::UseUnsuitable ? 1 : 0;
    task.mNeeds.mMilliCores = (aB % 40) * kMilliCoresPerCore;
    job.mTasks.push_back(model);
  }
  job.mDeadline = now + submit.mJob.mDeadline;
  submit.mJob.mDeadline +=
    milliseconds(aModel.mFault == InjectedFault::StartAfterDeadline ? 2000 : 0);
  if (!again) {
    aModel.mJobs[id] = job;
  }
  if (submit.mRequest != 0) {
    aModel.mAnswers[submit.mRequest] = 0;
  }
  ApplyAndCheck(aModel, submit);
}

/// Ends a start: run well, refused in one of four ways, failed or lost.
void DoOutcome(Model& aModel, std::size_t aWhich, std::uint32_t aHow)
{
  const auto start = aModel.mOutstanding[aWhich];
  aModel.mOutstanding.erase(aModel.mOutstanding.begin() + static_cast<std::ptrdiff_t>(aWhich));
  aModel.mPast.push_back(start);
  auto& task = aModel.mJobs[start.mTask.mJob].mTasks[start.mTask.mIndex];
  const auto key = AddressOf(*aModel.mFixture.mState, start.mUpstream).mKey;
  const auto worker = static_cast<std::uint32_t>(std::stoul(key.substr(3)));
  --aModel.mUpstreams[worker].mRunning;
  task.mOutstanding = false;
  TaskOutcome outcome = RanWell(milliseconds(1 + aHow % 300));
  outcome.mResult = key + ToString(start.mTask);
  static constexpr std::array kRefusals{
    ErrorCode::Overloaded, ErrorCode::Stopping, ErrorCode::Expired, ErrorCode::UpstreamLost
  };
  const auto how = aHow % 16;
  if (how < 4) {
    outcome = Failed(Verdict::NotRun, kRefusals[how]);
    if (kRefusals[how] == ErrorCode::Stopping || kRefusals[how] == ErrorCode::UpstreamLost) {
      AddSuspicion(aModel, worker);
    }
  } else if (how == 4) {
    outcome = Failed(Verdict::Ran, ErrorCode::TaskFailed);
  } else if (how == 5) {
    outcome = Failed(Verdict::MayHaveRun, ErrorCode::UpstreamLost);
  }
  task.mVerdict = outcome.mVerdict;
  task.mRanWell = outcome.mVerdict == Verdict::Ran && !outcome.mCode;
  task.mResult = outcome.mResult;
  if (aModel.mFault == InjectedFault::StartTwice && how == 5) {
    outcome = Failed(Verdict::NotRun, ErrorCode::Overloaded);
  }
  if (aModel.mFault == InjectedFault::PartialComplete && how == 4) {
    outcome = RanWell();
  }
  if (aModel.mFault == InjectedFault::HideOutcome) {
    ApplyAndCheck(aModel, Tick{});
    return;
  }
  ApplyAndCheck(aModel, Ended(start, outcome));
}

/// An outcome that belongs to no outstanding start. It must be ignored.
void DoStrayOutcome(Model& aModel, std::uint32_t aA, std::uint32_t aB)
{
  StartTask stray;
  stray.mTask = { "j" + std::to_string(aB % 50), aB % 13 };
  stray.mAttempt = 100 + aB % 3;
  stray.mUpstream = aB % 7;
  if (!aModel.mPast.empty() && aA % 4 != 0) {
    stray = aModel.mPast[aB % aModel.mPast.size()];
  }
  // If this attempt is still outstanding, the outcome comes from another upstream.
  for (const auto& start : aModel.mOutstanding) {
    if (start.mTask == stray.mTask && start.mAttempt == stray.mAttempt) {
      stray.mUpstream = start.mUpstream + 1;
    }
  }
  ApplyAndCheck(
    aModel, Ended(stray, aA % 3 == 0 ? RanWell() : Failed(Verdict::NotRun, ErrorCode::Stopping)));
  RC_ASSERT(ActionsOf<StartTask>(aModel.mFixture.mActions).empty());
}

void DoConfiguration(Model& aModel, std::uint32_t aMask)
{
  auto made =
    MakeConfiguration({ .mWorkers = kWorkers, .mAccelerators = 1, .mVersion = ++aModel.mVersion });
  aModel.mConfigured = 0;
  for (std::uint32_t n = 0; n < kWorkers; ++n) {
    auto& upstream = aModel.mUpstreams[n];
    upstream.mAccelerator = n % 4 == 0;
    upstream.mConfigured = (aMask >> n) % 2 == 0;
    if (upstream.mConfigured) {
      ++aModel.mConfigured;
      continue;
    }
    ClearSuspicion(aModel, n);
    if (aModel.mFault != InjectedFault::UseRemoved) {
      made->mUpstreams.erase(KeyOf(n));
    }
  }
  ApplyAndCheck(aModel, ConfigurationApplied{ made });
}

void DoSign(Model& aModel, std::uint32_t aA, std::uint32_t aB)
{
  const auto worker = aA % kWorkers;
  auto& upstream = aModel.mUpstreams[worker];
  UpstreamSign sign{ KeyOf(worker), Sign::Live };
  if (aB % 4 == 0) {
    sign.mSign = Sign::Leaving;
    upstream.mLeaving = true;
    ClearSuspicion(aModel, worker);
    if (aModel.mFault == InjectedFault::UseLeaving) {
      return;
    }
  } else if (aB % 4 == 1) {
    sign.mSign = Sign::SuspectedLeaving;
    AddSuspicion(aModel, worker);
    if (aModel.mFault == InjectedFault::UseSuspected) {
      return;
    }
  } else {
    sign.mAsOfMs = aB % 4 == 2 ? aModel.mFixture.mNow.mUnixMs - 100 : 0;
    upstream.mLeaving = false;
    if (sign.mAsOfMs > upstream.mSuspectedAtMs) {
      ClearSuspicion(aModel, worker);
    }
  }
  ApplyAndCheck(aModel, sign);
}

void DoTick(Model& aModel, std::uint32_t aMilliseconds)
{
  Advance(aModel.mFixture, milliseconds(aMilliseconds));
  for (std::uint32_t n = 0; n < kWorkers; ++n) {
    if (aModel.mUpstreams[n].mSuspected &&
        aModel.mFixture.mNow.mTime >= aModel.mUpstreams[n].mSuspectedUntil) {
      ClearSuspicion(aModel, n);
    }
  }
  ApplyAndCheck(aModel, Tick{});
}

/// The kind of a step, and random numbers for its details.
using Step = std::array<std::uint32_t, 4>;

void DoStep(Model& aModel, const Step& aStep)
{
  const auto [kind, a, b, c] = aStep;
  Advance(aModel.mFixture, Duration{ a % 700 });
  const auto job = "j" + std::to_string(b % (aModel.mJobs.size() + 1));
  if (kind < 25) {
    DoSubmit(aModel, a, b, c);
  } else if (kind < 60) {
    if (!aModel.mOutstanding.empty()) {
      DoOutcome(aModel, a % aModel.mOutstanding.size(), b);
    }
  } else if (kind < 64) {
    DoStrayOutcome(aModel, a, b);
  } else if (kind < 67) {
    ApplyAndCheck(aModel, Cancel{ job });
  } else if (kind < 70) {
    const Wait wait{ aModel.mNextRequest++, job };
    aModel.mAnswers[wait.mRequest] = 0;
    ApplyAndCheck(aModel, wait);
  } else if (kind < 72) {
    const RequestId request = 1 + a % aModel.mNextRequest;
    if (aModel.mAnswers.contains(request) && aModel.mAnswers[request] == 0) {
      // Counted as answered, so that a later answer is one too many.
      aModel.mAnswers[request] = 1;
      ApplyAndCheck(aModel, CancelWait{ request });
    }
  } else if (kind < 78) {
    const SetCredits credits{ KeyOf(a % kWorkers), b % (kMaxCredits + 1) };
    aModel.mUpstreams[a % kWorkers].mCredits = credits.mCredits;
    ApplyAndCheck(
      aModel,
      SetCredits{ credits.mUpstream,
                  credits.mCredits + (aModel.mFault == InjectedFault::ExceedCredits ? 1 : 0) });
  } else if (kind < 82) {
    DoSign(aModel, a, b);
  } else if (kind < 84) {
    DoConfiguration(aModel, c % 3 == 0 ? a : 0);
  } else if (kind < 85) {
    ApplyAndCheck(aModel, UnhealthyReport{ KeyOf(a % kWorkers), 1 });
  } else if (kind < 86) {
    ApplyAndCheck(aModel, SetQuotaShare{ "t" + std::to_string(a % 2), 0.25 * (1 + b % 4) });
  } else {
    DoTick(aModel, b % 10 == 0 ? c : c % 50);
  }
}

/// Ends all tasks and advances the clock beyond all deadlines.
void Drain(Model& aModel)
{
  for (int n = 0; n < 200; ++n) {
    while (!aModel.mOutstanding.empty()) {
      DoOutcome(aModel, 0, 15);
    }
    DoTick(aModel, 50);
  }
  RC_ASSERT(LoadOf(*aModel.mFixture.mState).mRunningTasks == 0U);
  RC_ASSERT(LoadOf(*aModel.mFixture.mState).mQueuedTasks == 0U);
  for (const auto& [request, answers] : aModel.mAnswers) {
    RC_ASSERT(answers == 1);
  }
}

bool CheckInvariants(InjectedFault aFault)
{
  return rc::check("random events keep the invariants", [aFault] {
    const auto step = rc::gen::construct<Step>(rc::gen::inRange(0U, 100U),
                                               rc::gen::inRange(0U, 1000U),
                                               rc::gen::inRange(0U, 1000U),
                                               rc::gen::inRange(0U, 1000U));
    const auto steps = *rc::gen::scale(4, rc::gen::container<std::vector<Step>>(step));
    Options options{ .mDataCentre = "dc", .mAnswerRetention = kRetention };
    options.mMaxQueuedTasks =
      kMaxQueuedTasks + (aFault == InjectedFault::ExceedQueueLimit ? 1000 : 0);
    Model model{ aFault, Fixture{ MakeState(options, 7) } };
    DoConfiguration(model, 0);
    for (std::uint32_t n = 0; n < kWorkers; ++n) {
      model.mUpstreams[n].mCredits = 2;
      ApplyAndCheck(model,
                    SetCredits{ KeyOf(n), 2U + (aFault == InjectedFault::ExceedCredits ? 1 : 0) });
    }
    for (const auto& one : steps) {
      DoStep(model, one);
    }
    Drain(model);
  });
}

} // namespace

/// Guards against violations of the guarantees in design.md section 1 by any order of events, and
/// against a harness that does not detect them.
bool InvariantTests()
{
  bool passed = CheckInvariants(InjectedFault::None);
  static constexpr std::array<std::pair<InjectedFault, const char*>, 14> kInjectedFaults{ {
    { InjectedFault::StartTwice, "a second start after a lost answer is detected" },
    { InjectedFault::PartialComplete, "a complete answer with a failed task is detected" },
    { InjectedFault::ExceedCredits, "a start beyond the credits is detected" },
    { InjectedFault::UseLeaving, "a start to a leaving upstream is detected" },
    { InjectedFault::UseSuspected, "a start to a suspected upstream is detected" },
    { InjectedFault::UseUnsuitable, "a start to an unsuitable upstream is detected" },
    { InjectedFault::UseRemoved, "a start to a removed upstream is detected" },
    { InjectedFault::AnswerTwice, "a second answer is detected" },
    { InjectedFault::LoseAnswer, "a missing answer is detected" },
    { InjectedFault::FalseNotRun, "a false \"not run\" is detected" },
    { InjectedFault::FalseRan, "a false \"ran\" is detected" },
    { InjectedFault::ExceedQueueLimit, "a queue beyond its limit is detected" },
    { InjectedFault::StartAfterDeadline, "a start after the deadline is detected" },
    { InjectedFault::HideOutcome, "an outcome hidden from the core is detected" },
  } };
  for (const auto& [broken, what] : kInjectedFaults) {
    passed &= Expect(Fails([broken = broken] { return CheckInvariants(broken); }), what);
  }
  return passed;
}

} // namespace pollenwall::test
