#include <pollenwall/dispatch.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace pollenwall::dispatch {
namespace {

enum class Phase
{
  Queued,
  Running,
  Ended,
};

struct Task
{
  Phase mPhase = Phase::Queued;
  std::uint32_t mAttempt = 0;
  UpstreamIndex mUpstream = 0;
  bool mOutstanding = false; ///< A start request has no outcome yet.
  TaskAnswer mAnswer;
};

struct Job
{
  std::shared_ptr<const JobSpec> mSpec;
  Time mDeadline{};
  Time mEnded{};
  JobState mState = JobState::Running;
  std::optional<Error> mError;
  std::vector<Task> mTasks;
  std::vector<RequestId> mWaiters;
  std::size_t mRan = 0;
};

struct Upstream
{
  std::string mKey;
  std::string mService;
  std::string mAddress;
  bool mConfigured = false;
  bool mLeaving = false;
  std::uint32_t mCredits = 0;
  std::uint32_t mRunning = 0;
};

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  return Error{ aCode, aVerdict, std::move(aMessage), std::nullopt };
}

} // namespace

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const configuration::Configuration> mConfiguration;
  bool mAccepting = true;
  std::map<std::string, Job, std::less<>> mJobs;
  std::map<RequestId, std::string> mWaiters;
  std::map<std::string, std::deque<TaskId>, std::less<>> mQueues;
  std::vector<Upstream> mUpstreams;
  std::map<std::string, UpstreamIndex, std::less<>> mUpstreamByKey;
  std::size_t mQueuedTasks = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mLateOutcomes = 0;
  std::uint64_t mUnknownOutcomes = 0;
};

namespace {

JobAnswer AnswerOf(const Job& aJob)
{
  JobAnswer answer;
  answer.mId = aJob.mSpec->mId;
  answer.mState = aJob.mState;
  answer.mError = aJob.mError;
  for (const auto& task : aJob.mTasks) {
    answer.mTasks.push_back(task.mAnswer);
    answer.mVerdict = Combine(answer.mVerdict, task.mAnswer.mVerdict);
    if (aJob.mState != JobState::Complete) {
      answer.mTasks.back().mResult.clear();
    }
  }
  return answer;
}

void End(State& aState, Job& aJob, JobState aEnd, const Now& aNow, Actions& aActions)
{
  aJob.mState = aEnd;
  aJob.mEnded = aNow.mTime;
  for (std::uint32_t n = 0; n < aJob.mTasks.size(); ++n) {
    auto& task = aJob.mTasks[n];
    if (task.mPhase == Phase::Running) {
      aActions.emplace_back(StopTask{ { aJob.mSpec->mId, n }, task.mUpstream });
      task.mAnswer.mCode = aJob.mError->mCode;
    }
    if (task.mPhase == Phase::Queued) {
      task.mAnswer.mCode = aJob.mError->mCode;
      --aState.mQueuedTasks;
    }
    task.mPhase = Phase::Ended;
  }
  const auto answer = AnswerOf(aJob);
  if (aJob.mError) {
    aJob.mError->mVerdict = answer.mVerdict;
  }
  for (const auto request : aJob.mWaiters) {
    aState.mWaiters.erase(request);
    aActions.emplace_back(Answer{ request, AnswerOf(aJob) });
  }
  aJob.mWaiters.clear();
  aActions.emplace_back(Finished{ answer.mId, answer.mState, answer.mVerdict });
}

void Fail(State& aState, Job& aJob, Error aError, const Now& aNow, Actions& aActions)
{
  aJob.mError = std::move(aError);
  End(aState, aJob, JobState::Failed, aNow, aActions);
}

/// Starts queued tasks of the service while a credit is free.
void Fill(State& aState, const std::string& aService, const Now& aNow, Actions& aActions)
{
  auto& queue = aState.mQueues[aService];
  for (UpstreamIndex n = 0; n < aState.mUpstreams.size(); ++n) {
    auto& upstream = aState.mUpstreams[n];
    if (upstream.mService != aService || !upstream.mConfigured || upstream.mLeaving) {
      continue;
    }
    while (!queue.empty() && upstream.mRunning < upstream.mCredits) {
      const auto id = queue.front();
      queue.pop_front();
      const auto it = aState.mJobs.find(id.mJob);
      if (it == aState.mJobs.end() || it->second.mTasks[id.mIndex].mPhase != Phase::Queued) {
        continue;
      }
      auto& job = it->second;
      auto& task = job.mTasks[id.mIndex];
      task.mPhase = Phase::Running;
      task.mOutstanding = true;
      task.mUpstream = n;
      task.mAnswer.mVerdict = Verdict::MayHaveRun;
      ++task.mAttempt;
      ++upstream.mRunning;
      ++aState.mStarts;
      --aState.mQueuedTasks;
      const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(job.mDeadline - aNow.mTime);
      aActions.emplace_back(
        StartTask{ id,
                   task.mAttempt,
                   n,
                   { job.mSpec, &job.mSpec->mTasks[id.mIndex].mPayload },
                   aNow.mUnixMs + std::min(left, aState.mOptions.mStartWindow).count() });
    }
  }
}

void Apply(State& aState, const Submit& aEvent, const Now& aNow, Actions& aActions)
{
  const auto& spec = aEvent.mJob;
  const auto refuse = [&](ErrorCode aCode, std::string aMessage) {
    aActions.emplace_back(
      Refuse{ aEvent.mRequest, spec.mId, MakeError(aCode, Verdict::NotRun, std::move(aMessage)) });
  };
  if (const auto it = aState.mJobs.find(spec.mId); it != aState.mJobs.end()) {
    auto& job = it->second;
    if (job.mSpec->mTeam != spec.mTeam || job.mSpec->mBodyHash != spec.mBodyHash) {
      return refuse(ErrorCode::IdConflict, "The id belongs to another submission.");
    }
    if (aEvent.mRequest == 0) {
      return;
    }
    if (job.mState != JobState::Running) {
      aActions.emplace_back(Answer{ aEvent.mRequest, AnswerOf(job) });
      return;
    }
    job.mWaiters.push_back(aEvent.mRequest);
    aState.mWaiters[aEvent.mRequest] = spec.mId;
    return;
  }
  if (!aState.mAccepting) {
    return refuse(ErrorCode::Stopping, "The entry is stopping.");
  }
  if (!aState.mConfiguration) {
    return refuse(ErrorCode::NotReady, "The entry has no configuration yet.");
  }
  if (!aState.mConfiguration->mServices.contains(spec.mService)) {
    return refuse(ErrorCode::UnknownService, "The service is not configured.");
  }
  if (!aState.mConfiguration->mTeams.contains(spec.mTeam)) {
    return refuse(ErrorCode::UnknownTeam, "The team has no quota.");
  }
  if (spec.mTasks.empty()) {
    return refuse(ErrorCode::BadRequest, "The job has no tasks.");
  }
  if (spec.mTasks.size() > aState.mOptions.mMaxTasksPerJob) {
    return refuse(ErrorCode::TooLarge, "The job has too many tasks.");
  }
  if (aState.mQueuedTasks + spec.mTasks.size() > aState.mOptions.mMaxQueuedTasks) {
    return refuse(ErrorCode::Overloaded, "The queue is full.");
  }
  Job job;
  job.mSpec = std::make_shared<const JobSpec>(spec);
  job.mDeadline = aNow.mTime + spec.mDeadline;
  job.mTasks.resize(spec.mTasks.size());
  if (aEvent.mRequest != 0) {
    job.mWaiters.push_back(aEvent.mRequest);
    aState.mWaiters[aEvent.mRequest] = spec.mId;
  }
  for (std::uint32_t n = 0; n < spec.mTasks.size(); ++n) {
    aState.mQueues[spec.mService].push_back({ spec.mId, n });
  }
  aState.mQueuedTasks += spec.mTasks.size();
  aState.mJobs.emplace(spec.mId, std::move(job));
  aActions.emplace_back(Accepted{ aEvent.mRequest, spec.mId });
  Fill(aState, spec.mService, aNow, aActions);
}

void Apply(State& aState, const Wait& aEvent, const Now&, Actions& aActions)
{
  const auto it = aState.mJobs.find(aEvent.mId);
  if (it == aState.mJobs.end()) {
    aActions.emplace_back(Refuse{
      aEvent.mRequest,
      aEvent.mId,
      MakeError(ErrorCode::UnknownJob, Verdict::MayHaveRun, "The job is not known here.") });
    return;
  }
  if (it->second.mState != JobState::Running) {
    aActions.emplace_back(Answer{ aEvent.mRequest, AnswerOf(it->second) });
    return;
  }
  it->second.mWaiters.push_back(aEvent.mRequest);
  aState.mWaiters[aEvent.mRequest] = aEvent.mId;
}

void Apply(State& aState, const Unwait& aEvent, const Now&, Actions&)
{
  const auto it = aState.mWaiters.find(aEvent.mRequest);
  if (it == aState.mWaiters.end()) {
    return;
  }
  std::erase(aState.mJobs.find(it->second)->second.mWaiters, aEvent.mRequest);
  aState.mWaiters.erase(it);
}

void Apply(State& aState, const Cancel& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mJobs.find(aEvent.mId);
  if (it == aState.mJobs.end() || it->second.mState != JobState::Running) {
    return;
  }
  Fail(aState,
       it->second,
       MakeError(ErrorCode::Cancelled, Verdict::NotRun, "The job was cancelled."),
       aNow,
       aActions);
}

void Apply(State& aState, const TaskEnded& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mJobs.find(aEvent.mTask.mJob);
  if (it == aState.mJobs.end() || aEvent.mTask.mIndex >= it->second.mTasks.size()) {
    ++aState.mUnknownOutcomes;
    return;
  }
  auto& job = it->second;
  auto& task = job.mTasks[aEvent.mTask.mIndex];
  if (!task.mOutstanding || task.mAttempt != aEvent.mAttempt ||
      task.mUpstream != aEvent.mUpstream) {
    ++aState.mUnknownOutcomes;
    return;
  }
  task.mOutstanding = false;
  auto& upstream = aState.mUpstreams[task.mUpstream];
  --upstream.mRunning;
  const auto& outcome = aEvent.mOutcome;
  if (outcome.mVerdict == Verdict::NotRun && outcome.mCode == ErrorCode::Stopping) {
    upstream.mLeaving = true;
  }
  if (task.mPhase != Phase::Running) {
    ++aState.mLateOutcomes;
  } else if (outcome.mVerdict == Verdict::NotRun) {
    task.mPhase = Phase::Queued;
    task.mAnswer.mVerdict = Verdict::NotRun;
    ++aState.mQueuedTasks;
    aState.mQueues[job.mSpec->mService].push_back(aEvent.mTask);
  } else if (outcome.mVerdict == Verdict::Ran && !outcome.mCode) {
    task.mPhase = Phase::Ended;
    task.mAnswer = { Verdict::Ran, std::nullopt, outcome.mResult };
    if (++job.mRan == job.mTasks.size()) {
      End(aState, job, JobState::Complete, aNow, aActions);
    }
  } else {
    const auto code = outcome.mCode.value_or(ErrorCode::UpstreamLost);
    task.mPhase = Phase::Ended;
    task.mAnswer = { outcome.mVerdict, code, "" };
    Fail(aState,
         job,
         MakeError(code, Verdict::NotRun, "Task " + ToString(aEvent.mTask) + " failed."),
         aNow,
         aActions);
  }
  Fill(aState, upstream.mService, aNow, aActions);
}

Upstream& UpstreamOf(State& aState, const std::string& aKey)
{
  const auto [it, isNew] =
    aState.mUpstreamByKey.try_emplace(aKey, static_cast<UpstreamIndex>(aState.mUpstreams.size()));
  if (isNew) {
    aState.mUpstreams.push_back({});
    aState.mUpstreams.back().mKey = aKey;
    aState.mUpstreams.back().mService = aKey.substr(0, aKey.find('/'));
  }
  return aState.mUpstreams[it->second];
}

void Apply(State& aState, const SetCredits& aEvent, const Now& aNow, Actions& aActions)
{
  auto& upstream = UpstreamOf(aState, aEvent.mUpstream);
  upstream.mCredits = aEvent.mCredits;
  Fill(aState, upstream.mService, aNow, aActions);
}

void Apply(State& aState, const UpstreamSign& aEvent, const Now& aNow, Actions& aActions)
{
  auto& upstream = UpstreamOf(aState, aEvent.mUpstream);
  upstream.mLeaving = aEvent.mSign != Sign::Live;
  Fill(aState, upstream.mService, aNow, aActions);
}

void Apply(State& aState, const ConfigurationApplied& aEvent, const Now& aNow, Actions& aActions)
{
  aState.mConfiguration = aEvent.mConfiguration;
  for (auto& upstream : aState.mUpstreams) {
    upstream.mConfigured = false;
  }
  for (const auto& [key, entry] : aEvent.mConfiguration->mUpstreams) {
    const auto worker = aEvent.mConfiguration->mWorkers.find(entry.mWorker);
    if (worker == aEvent.mConfiguration->mWorkers.end()) {
      continue;
    }
    auto& upstream = UpstreamOf(aState, key);
    upstream.mConfigured = true;
    upstream.mAddress = worker->second.mAddress + ":" + std::to_string(entry.mPort);
  }
  for (const auto& [name, service] : aEvent.mConfiguration->mServices) {
    Fill(aState, name, aNow, aActions);
  }
}

void Apply(State& aState, const StopAccepting&, const Now&, Actions&)
{
  aState.mAccepting = false;
}

void Apply(State& aState, const Tick&, const Now& aNow, Actions& aActions)
{
  for (auto it = aState.mJobs.begin(); it != aState.mJobs.end();) {
    auto& job = it->second;
    const bool running = job.mState == JobState::Running;
    if (running && aNow.mTime >= job.mDeadline) {
      Fail(aState,
           job,
           MakeError(ErrorCode::Expired, Verdict::NotRun, "The job's deadline passed."),
           aNow,
           aActions);
    }
    const bool outstanding = std::any_of(
      job.mTasks.begin(), job.mTasks.end(), [](const Task& aTask) { return aTask.mOutstanding; });
    const bool forget =
      !running && !outstanding && aNow.mTime >= job.mEnded + aState.mOptions.mAnswerRetention;
    it = forget ? aState.mJobs.erase(it) : std::next(it);
  }
}

} // namespace

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, std::uint64_t aSeed)
{
  auto* state = new State;
  state->mOptions = aOptions;
  state->mRandom.seed(aSeed);
  return { state, [](State* aState) { delete aState; } };
}

void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions)
{
  std::visit([&](const auto& aKind) { Apply(aState, aKind, aNow, aActions); }, aEvent);
}

std::optional<JobAnswer> Find(const State& aState, std::string_view aId)
{
  const auto it = aState.mJobs.find(aId);
  return it == aState.mJobs.end() ? std::nullopt : std::optional(AnswerOf(it->second));
}

std::optional<KnownJob> FindKnown(const State& aState, std::string_view aId)
{
  const auto it = aState.mJobs.find(aId);
  if (it == aState.mJobs.end()) {
    return std::nullopt;
  }
  return KnownJob{ it->second.mSpec->mTeam, it->second.mSpec->mBodyHash };
}

UpstreamAddress AddressOf(const State& aState, UpstreamIndex aUpstream)
{
  const auto& upstream = aState.mUpstreams.at(aUpstream);
  return { upstream.mKey, upstream.mAddress };
}

Load LoadOf(const State& aState)
{
  Load load;
  load.mQueuedTasks = aState.mQueuedTasks;
  for (const auto& upstream : aState.mUpstreams) {
    load.mRunningTasks += upstream.mRunning;
    load.mIdleCredits += upstream.mCredits - std::min(upstream.mCredits, upstream.mRunning);
  }
  return load;
}

std::vector<UpstreamLoad> UpstreamLoads(const State& aState)
{
  std::vector<UpstreamLoad> loads;
  for (const auto& [key, n] : aState.mUpstreamByKey) {
    const auto& upstream = aState.mUpstreams[n];
    if (upstream.mCredits != 0 || upstream.mRunning != 0) {
      loads.push_back({ key, upstream.mCredits, upstream.mRunning, !upstream.mLeaving });
    }
  }
  return loads;
}

std::size_t UnservedTasks(const State& aState, std::string_view aService)
{
  const auto it = aState.mQueues.find(aService);
  return it == aState.mQueues.end() ? 0 : it->second.size();
}

std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState)
{
  return { { "late_outcomes", aState.mLateOutcomes },
           { "task_starts", aState.mStarts },
           { "unknown_outcomes", aState.mUnknownOutcomes } };
}

std::string Dump(const State& aState, const Now&)
{
  return R"({"queued_tasks":)" + std::to_string(aState.mQueuedTasks) + "}";
}

} // namespace pollenwall::dispatch
