#include "dispatch_test.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

using namespace pollenwall;
using namespace pollenwall::dispatch;

namespace pollenwall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a state in simulated time against upstreams with a configurable behaviour.
struct Simulation
{
  struct End
  {
    Time mAt{};
    std::uint64_t mSequence = 0;
    TaskEnded mEvent;

    bool operator>(const End& aOther) const
    {
      return std::pair(mAt, mSequence) > std::pair(aOther.mAt, aOther.mSequence);
    }
  };

  Fixture mFixture;
  /// Returns the outcome of a start, which arrives after its run time.
  std::function<TaskOutcome(const StartTask&, const std::string& aKey)> mBehaviour =
    [](const StartTask&, const std::string&) { return RanWell(); };
  std::priority_queue<End, std::vector<End>, std::greater<>> mEnds;
  std::uint64_t mStarts = 0;
  std::map<std::string, std::uint64_t> mStartsByUpstream;
  std::map<std::string, std::uint64_t> mStartsByJob;
  std::map<std::string, std::pair<JobState, Time>> mFinished;
};

/// Records the actions of the last event and schedules the ends of started tasks.
void RecordActions(Simulation& aSimulation)
{
  for (const auto& action : aSimulation.mFixture.mActions) {
    if (const auto* start = std::get_if<StartTask>(&action)) {
      const auto key = AddressOf(*aSimulation.mFixture.mState, start->mUpstream).mKey;
      auto outcome = aSimulation.mBehaviour(*start, key);
      const auto at = aSimulation.mFixture.mNow.mTime + outcome.mRunTime;
      aSimulation.mEnds.push({ at, aSimulation.mStarts++, Ended(*start, std::move(outcome)) });
      ++aSimulation.mStartsByUpstream[key];
      ++aSimulation.mStartsByJob[start->mTask.mJob];
    } else if (const auto* finished = std::get_if<Finished>(&action)) {
      aSimulation.mFinished[finished->mId] = { finished->mState, aSimulation.mFixture.mNow.mTime };
    }
  }
}

/// Advances the simulated time by aTime, with a call of aCallback every aInterval.
void Run(
  Simulation& aSimulation,
  Duration aTime,
  Duration aInterval = milliseconds(20),
  const std::function<void()>& aCallback = [] {})
{
  auto& fixture = aSimulation.mFixture;
  const auto until = fixture.mNow.mTime + aTime;
  auto nextTick = fixture.mNow.mTime;
  auto next = fixture.mNow.mTime;
  while (fixture.mNow.mTime < until) {
    auto at = std::min({ nextTick, next, until });
    if (!aSimulation.mEnds.empty() && aSimulation.mEnds.top().mAt <= at) {
      const auto end = aSimulation.mEnds.top();
      aSimulation.mEnds.pop();
      Advance(fixture, std::max(Duration{ 0 }, Duration(end.mAt - fixture.mNow.mTime)));
      Handle(fixture, end.mEvent);
      RecordActions(aSimulation);
      continue;
    }
    Advance(fixture, at - fixture.mNow.mTime);
    if (at == nextTick) {
      nextTick += milliseconds(20);
      Handle(fixture, Tick{});
      RecordActions(aSimulation);
    }
    if (at == next) {
      next += aInterval;
      aCallback();
    }
  }
}

std::string Submit(Simulation& aSimulation,
                   std::uint32_t aTasks,
                   milliseconds aDeclared = milliseconds(100),
                   std::string_view aTeam = "t0",
                   milliseconds aDeadline = seconds(30))
{
  auto id = SubmitJob(aSimulation.mFixture, aTasks, aDeclared, aTeam, aDeadline);
  RecordActions(aSimulation);
  return id;
}

std::size_t CountFinished(const Simulation& aSimulation, JobState aState, Time aSince)
{
  return static_cast<std::size_t>(std::count_if(
    aSimulation.mFinished.begin(), aSimulation.mFinished.end(), [&](const auto& aJob) {
      return aJob.second.first == aState && aJob.second.second >= aSince;
    }));
}

/// Guards against a worker that fails all its tasks and, because its slots are free again at once,
/// attracts more and more of them.
bool FailingWorkerIsExcludedAndProbed()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 10 }) };
  bool broken = true;
  simulation.mBehaviour = [&](const StartTask&, const std::string& aKey) {
    return broken && aKey == "s/w3" ? Failed(Verdict::Ran, ErrorCode::TaskFailed) : RanWell();
  };
  // 90% of 80 slots at 100 ms.
  const auto submit = [&] { Submit(simulation, 1); };
  const Duration interval = Duration(milliseconds(100)) / 72;
  Run(simulation, seconds(3), interval, submit);
  const auto found = simulation.mStartsByUpstream["s/w3"];
  bool passed =
    Expect(found >= 4 && found <= 40, "a failing worker is excluded within tens of tasks");
  Run(simulation, seconds(60), interval, submit);
  const auto probes = simulation.mStartsByUpstream["s/w3"] - found;
  passed &= Expect(probes >= 3 && probes <= 8, "a failing worker is probed at a bounded rate");
  passed &= Expect(Counter(simulation.mFixture, "upstreams_excluded_total") == 1,
                   "no other worker is excluded");
  broken = false;
  Run(simulation, seconds(32), interval, submit);
  const auto before = simulation.mStartsByUpstream["s/w3"];
  Run(simulation, seconds(5), interval, submit);
  passed &= Expect(simulation.mStartsByUpstream["s/w3"] - before > 200,
                   "a repaired worker is used again after two good probes");
  return passed;
}

/// Guards against the exclusion of a whole pool because its service fails on all workers.
bool FailureOnAllWorkersIsAServiceFault()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 10 }) };
  bool broken = false;
  simulation.mBehaviour = [&](const StartTask&, const std::string&) {
    auto outcome = broken ? Failed(Verdict::Ran, ErrorCode::TaskFailed) : RanWell();
    outcome.mRunTime = milliseconds(100);
    return outcome;
  };
  const auto submit = [&] { Submit(simulation, 1); };
  const Duration interval = milliseconds(2);
  Run(simulation, seconds(2), interval, submit);
  broken = true;
  Run(simulation, seconds(10), interval, submit);
  const auto before = simulation.mStarts;
  Run(simulation, seconds(5), interval, submit);
  bool passed = Expect(simulation.mStarts - before >= 2450, "tasks continue at the full rate");
  passed &=
    Expect(Counter(simulation.mFixture, "service_faults_total") >= 1, "a service fault is counted");
  broken = false;
  Run(simulation, milliseconds(200), interval, submit);
  const auto since = simulation.mFixture.mNow.mTime;
  Run(simulation, seconds(2), interval, submit);
  passed &= Expect(CountFinished(simulation, JobState::Complete, since) >= 990,
                   "the service recovers as soon as its tasks succeed");
  return passed;
}

/// Guards against jobs that are delayed by a worker ten times slower than the others.
bool StragglerIsExcluded(double aLoad)
{
  Simulation simulation{ MakeFixture({ .mWorkers = 20 }) };
  std::uint64_t number = 0;
  simulation.mBehaviour = [&](const StartTask&, const std::string& aKey) {
    const milliseconds ran(60 + (number++ * 37) % 80);
    return RanWell(aKey == "s/w5" ? 10 * ran : ran);
  };
  const auto submit = [&] { Submit(simulation, 2); };
  // Two tasks of 100 ms on 160 slots.
  const auto interval = std::chrono::duration_cast<Duration>(milliseconds(200) / (aLoad * 160));
  Run(simulation, seconds(10), interval, submit);
  const auto found = simulation.mStartsByUpstream["s/w5"];
  bool passed = Expect(found <= 60, "a straggler is excluded within tens of tasks");
  Run(simulation, seconds(60), interval, submit);
  passed &= Expect(simulation.mStartsByUpstream["s/w5"] - found <= 8,
                   "an excluded straggler is only probed");
  for (const auto& [key, rate] : UnhealthyUpstreams(*simulation.mFixture.mState)) {
    passed &= Expect(key == "s/w5", "no worker of normal speed is excluded");
  }
  return passed;
}

/// Guards against short tasks that wait until long ones have ended, and against starvation of long
/// ones.
bool ShortTasksStartBeforeLongOnes()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 4, .mSlots = 4 }) };
  simulation.mBehaviour = [&](const StartTask& aStart, const std::string&) {
    return RanWell(aStart.mTask.mJob == "j1" ? seconds(10) : milliseconds(50));
  };
  Submit(simulation, 100, seconds(10), "t0", seconds(60));
  bool passed = Expect(simulation.mStarts == 8, "long tasks use at most half of the slots");
  Submit(simulation, 8, milliseconds(50));
  passed &= Expect(simulation.mStartsByJob["j2"] == 8, "short tasks start at once");
  // The load of short tasks is twice the capacity.
  std::uint64_t late = 0;
  Run(simulation, seconds(25), milliseconds(25), [&] {
    Submit(simulation, 16, milliseconds(50), "t1", seconds(2));
    ++late;
  });
  passed &=
    Expect(simulation.mStartsByJob["j1"] >= 12, "long tasks run under an overload of short ones");
  return passed;
}

/// Guards against tasks that are scheduled by a declared run time that is wrong by a factor of 100.
bool WrongDeclarationsAreCorrected()
{
  Simulation slow{ MakeFixture({ .mWorkers = 4, .mSlots = 4 }) };
  slow.mBehaviour = [](const StartTask&, const std::string&) { return RanWell(seconds(5)); };
  Submit(slow, 16, milliseconds(50));
  bool passed = Expect(slow.mStarts == 16, "declared short tasks use all slots");
  Run(slow, seconds(3));
  passed &= Expect(Counter(slow.mFixture, "tasks_reclassified_total") == 16,
                   "tasks that exceed the limit are counted as long");
  Run(slow, seconds(20));
  const auto before = slow.mStarts;
  Submit(slow, 16, milliseconds(50));
  passed &= Expect(slow.mStarts - before <= 8, "the next tasks are estimated as long");

  Simulation fast{ MakeFixture({ .mWorkers = 4, .mSlots = 4 }) };
  fast.mBehaviour = [](const StartTask&, const std::string&) { return RanWell(milliseconds(50)); };
  Submit(fast, 16, seconds(5));
  passed &= Expect(fast.mStarts == 8, "declared long tasks use half of the slots");
  Run(fast, seconds(30));
  const auto beforeFast = fast.mStarts;
  Submit(fast, 16, seconds(5));
  passed &= Expect(fast.mStarts - beforeFast == 16, "the next tasks are estimated as short");
  return passed;
}

/// Mean and maximum heap moves of a cancellation when half of aJobs queued jobs are cancelled.
std::pair<double, std::uint64_t> CancelHalf(std::uint32_t aJobs)
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 1 });
  for (std::uint32_t n = 0; n < aJobs; ++n) {
    SubmitJob(fixture, 1 + n * 7 % 8, milliseconds(10 + n * 31 % 90), n % 2 == 0 ? "t0" : "t1");
  }
  std::uint64_t worst = 0;
  const auto first = Counter(fixture, "queue_moves_total");
  auto before = first;
  for (std::uint32_t n = 2; n <= aJobs / 2; ++n) {
    Handle(fixture, Cancel{ "j" + std::to_string(2 * n) });
    const auto after = Counter(fixture, "queue_moves_total");
    worst = std::max(worst, after - before);
    before = after;
  }
  return { static_cast<double>(before - first) / (aJobs / 2.0), worst };
}

/// Guards against cancellations whose cost grows with the queue, so that many of them block all
/// other work.
bool CancellationCostsDoNotGrow()
{
  const auto [few, worstFew] = CancelHalf(500);
  const auto [many, worstMany] = CancelHalf(40000);
  bool passed = Expect(many <= 4, "a cancellation takes at most 4 moves on average");
  passed &=
    Expect(many <= 1.5 * few + 0.5, "the mean number of moves does not grow with the queue");
  passed &= Expect(worstMany <= 2 * 16, "the maximum number of moves is logarithmic");
  return passed;
}

/// Guards against a cancelled job that continues to run, or whose answer hides that it may have
/// run.
bool CancelReportsTaskVerdicts()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 2 });
  SubmitJob(fixture, 3);
  const auto starts = ActionsOf<StartTask>(fixture.mActions);
  Handle(fixture, Cancel{ "j1" });
  const auto answers = ActionsOf<Answer>(fixture.mActions);
  bool passed =
    Expect(ActionsOf<StopTask>(fixture.mActions).size() == 2, "started tasks are stopped");
  passed &=
    Expect(answers.size() == 1 && answers[0].mAnswer.mError->mCode == ErrorCode::Cancelled &&
             answers[0].mAnswer.mVerdict == Verdict::MayHaveRun &&
             answers[0].mAnswer.mTasks[2].mVerdict == Verdict::NotRun,
           "the answer reports which tasks may have run");
  passed &= Expect(LoadOf(*fixture.mState).mRunningTasks == 2, "stopped tasks occupy their slots");
  Handle(fixture, Ended(starts[0], Failed(Verdict::Ran, ErrorCode::Cancelled)));
  Handle(fixture, Ended(starts[1], Failed(Verdict::MayHaveRun, ErrorCode::UpstreamLost)));
  passed &= Expect(LoadOf(*fixture.mState).mIdleCredits == 2, "the slots of ended tasks are free");
  passed &= Expect(UnhealthyUpstreams(*fixture.mState).empty(),
                   "a stopped task does not count as a failure");
  Handle(fixture, Cancel{ "j1" });
  passed &= Expect(fixture.mActions.empty(), "a second cancellation does nothing");
  return passed;
}

/// Guards against a team that exceeds its quota, and against one that is refused because of
/// another's load.
bool QuotaLimitsTeamStarts()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 10, .mStartsPerSecond = 50 }) };
  std::map<std::string, std::uint64_t> accepted;
  bool passed = true;
  const auto submit = [&](const std::string& aTeam) {
    Submit(simulation, 1, milliseconds(100), aTeam);
    accepted[aTeam] += ActionsOf<Accepted>(simulation.mFixture.mActions).size();
    for (const auto& refuse : ActionsOf<Refuse>(simulation.mFixture.mActions)) {
      passed &= refuse.mError.mCode == ErrorCode::QuotaExceeded &&
                refuse.mError.mVerdict == Verdict::NotRun && refuse.mError.mRetryAfter.has_value();
    }
  };
  std::uint64_t number = 0;
  const auto submitAll = [&] {
    submit("t0");
    if (++number % 10 == 0) {
      submit("t1");
    }
  };
  Run(simulation, seconds(10), milliseconds(4), submitAll);
  passed = Expect(passed, "refusals have quota_exceeded, not_run and a retry delay");
  passed &= Expect(accepted["t0"] >= 540 && accepted["t0"] <= 560,
                   "a team is admitted its burst plus its rate over time");
  passed &= Expect(accepted["t1"] == 250, "a team within its quota is not refused");
  Handle(simulation.mFixture, SetQuotaShare{ "t0", 0.5 });
  const auto before = accepted["t0"];
  Run(simulation, seconds(10), milliseconds(4), submitAll);
  passed &= Expect(accepted["t0"] - before >= 245 && accepted["t0"] - before <= 256,
                   "a quota share of one half admits half");
  const auto demands = TeamDemands(*simulation.mFixture.mState, simulation.mFixture.mNow);
  passed &= Expect(demands.size() == 2 && demands[0].second > 180 && demands[0].second < 280,
                   "the demand counts refused tasks");
  return passed;
}

/// Guards against refusals that multiply messages, and against retries on the same worker.
bool RetriesAreBounded()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 4 }) };
  std::map<std::string, std::pair<std::string, Time>> last;
  std::uint64_t quickRepeats = 0;
  simulation.mBehaviour = [&](const StartTask& aStart, const std::string& aKey) {
    const auto now = simulation.mFixture.mNow.mTime;
    auto& [key, at] = last[ToString(aStart.mTask)];
    quickRepeats += key == aKey && now - at < milliseconds(200) ? 1 : 0;
    key = aKey;
    at = now;
    return Failed(Verdict::NotRun, ErrorCode::Overloaded);
  };
  Run(simulation, seconds(5), milliseconds(100), [&] { Submit(simulation, 8); });
  const auto retries = Counter(simulation.mFixture, "task_retries_total");
  const auto starts = simulation.mStarts - retries;
  bool passed = Expect(retries <= 50 + starts / 10 + 6, "retries stay within their budget");
  passed &= Expect(retries >= 30, "tasks are retried");
  passed &= Expect(Counter(simulation.mFixture, "retries_deferred_total") > 0,
                   "retries beyond the budget are deferred");
  passed &= Expect(quickRepeats == 0, "no task is resent to the same worker within 200 ms");
  simulation.mBehaviour = [](const StartTask&, const std::string&) {
    return RanWell(milliseconds(5));
  };
  Run(simulation, seconds(20), milliseconds(2), [&] { Submit(simulation, 1, milliseconds(5)); });
  passed &= Expect(CountFinished(simulation, JobState::Failed, Time{}) == 0,
                   "deferred tasks run once starts refill the budget");
  return passed;
}

/// Guards against a job that is never answered, or is answered as if none of its tasks had run.
bool DeadlineIsEnforced()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 2 });
  SubmitJob(fixture, 4, milliseconds(100), "t0", seconds(1));
  const auto starts = ActionsOf<StartTask>(fixture.mActions);
  Advance(fixture, milliseconds(500));
  Handle(fixture, Ended(starts[0], RanWell()));
  const auto third = ActionsOf<StartTask>(fixture.mActions);
  bool passed = Expect(third.size() == 1, "the freed slot is used in the same call");
  passed &= Expect(third[0].mNotAfterMs == fixture.mNow.mUnixMs + 500,
                   "no start may happen after the deadline");
  Advance(fixture, milliseconds(500));
  Handle(fixture, Tick{});
  const auto answers = ActionsOf<Answer>(fixture.mActions);
  passed &= Expect(answers.size() == 1, "the job is answered at its deadline");
  const auto& answer = answers[0].mAnswer;
  passed &= Expect(answer.mState == JobState::Failed && answer.mVerdict == Verdict::Ran &&
                     answer.mError->mCode == ErrorCode::Expired,
                   "the job failed with code expired and ran in part");
  passed &= Expect(answer.mTasks[0].mVerdict == Verdict::Ran &&
                     answer.mTasks[1].mVerdict == Verdict::MayHaveRun &&
                     answer.mTasks[2].mVerdict == Verdict::MayHaveRun &&
                     answer.mTasks[3].mVerdict == Verdict::NotRun,
                   "each task has the right verdict");
  passed &= Expect(answer.mTasks[0].mResult.empty(), "a failed answer has no results");
  passed &= Expect(ActionsOf<StopTask>(fixture.mActions).size() == 2, "running tasks are stopped");
  Handle(fixture, Ended(starts[1], RanWell()));
  passed &= Expect(Counter(fixture, "late_outcomes_total") == 1 &&
                     ActionsOf<Answer>(fixture.mActions).empty(),
                   "a late outcome is counted and dropped");
  Handle(fixture, Ended(starts[1], RanWell()));
  passed &= Expect(Counter(fixture, "unknown_outcomes_total") == 1,
                   "a duplicate of a late outcome is unknown");
  return passed;
}

/// Guards against a team whose overload delays the others.
bool TeamsShareByWeight()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 2 }) };
  auto configuration = MakeConfiguration({ .mWorkers = 2, .mVersion = 2 });
  configuration->mTeams["t1"].mWeight = 3;
  Handle(simulation.mFixture, ConfigurationApplied{ configuration });
  for (int n = 0; n < 20; ++n) {
    Submit(simulation, 100, milliseconds(100), "t0", seconds(60));
  }
  Run(simulation, seconds(1));
  const auto id = Submit(simulation, 8, milliseconds(100), "t1");
  Run(simulation, milliseconds(300));
  bool passed = Expect(simulation.mFinished.contains(id),
                       "a team with little work is not delayed by an overload");
  std::vector<std::string> others;
  others.reserve(20);
  for (int n = 0; n < 20; ++n) {
    others.push_back(Submit(simulation, 100, milliseconds(100), "t1", seconds(60)));
  }
  const auto before = simulation.mStarts;
  Run(simulation, seconds(5));
  std::uint64_t started = 0;
  for (const auto& other : others) {
    started += simulation.mStartsByJob[other];
  }
  const double part =
    static_cast<double>(started) / static_cast<double>(simulation.mStarts - before);
  passed &= Expect(part > 0.72 && part < 0.78, "a team with weight 3 of 4 gets three quarters");
  return passed;
}

/// Guards against small jobs that wait for large ones, starvation of large ones, and jobs that wait
/// long for their last task.
bool LeastRemainingWorkIsServedFirst()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 1 });
  SubmitJob(fixture, 1);
  auto running = ActionsOf<StartTask>(fixture.mActions)[0];
  const auto next = [&] {
    Handle(fixture, Ended(running, RanWell()));
    running = ActionsOf<StartTask>(fixture.mActions).at(0);
    return running.mTask.mJob;
  };
  const auto large = SubmitJob(fixture, 50);
  const auto small = SubmitJob(fixture, 2);
  bool passed = Expect(next() == small, "the smaller job is served first");
  const auto tiny = SubmitJob(fixture, 1, milliseconds(1));
  passed &= Expect(next() == small, "the last task of a nearly complete job is served first");
  passed &= Expect(next() == tiny && next() == large, "the job with the least work is served next");
  Advance(fixture, seconds(3));
  SubmitJob(fixture, 2);
  passed &= Expect(next() == large, "a large job that has waited is served before a new small one");
  return passed;
}

/// Guards against a large job that waits past its deadline behind a stream of small ones.
bool UrgentJobsAreServedFirst()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 2, .mSlots = 10 }) };
  std::uint64_t number = 0;
  simulation.mBehaviour = [&](const StartTask&, const std::string&) {
    return RanWell(milliseconds(60 + (number++ * 37) % 80));
  };
  Run(simulation, seconds(3), milliseconds(20), [&] { Submit(simulation, 1); });
  for (int n = 0; n < 25; ++n) {
    Submit(simulation, 1);
  }
  // Ageing alone would serve it before the small jobs only after half a second.
  const auto large = Submit(simulation, 20, milliseconds(100), "t0", milliseconds(650));
  // The load of small jobs is slightly above the capacity.
  Run(simulation, seconds(1), Duration(4700), [&] {
    Submit(simulation, 1, milliseconds(100), "t0", seconds(60));
  });
  return Expect(simulation.mFinished.contains(large) &&
                  simulation.mFinished[large].first == JobState::Complete,
                "a large job ends by its deadline");
}

/// Submits a job of tasks of 100 ms with a target of 220 ms.
std::string SubmitTargeted(Simulation& aSimulation,
                           std::uint32_t aTasks,
                           std::uint32_t aPriority = 0)
{
  auto& fixture = aSimulation.mFixture;
  JobSpec job;
  job.mId = "targeted-" + std::to_string(++fixture.mNextJob);
  job.mService = "s";
  job.mTeam = "t0";
  job.mDeadline = seconds(3);
  job.mPriority = aPriority;
  job.mTargetStretch = 1.6;
  job.mTargetSlack = milliseconds(60);
  job.mRestartable = true;
  job.mTasks.resize(aTasks);
  for (auto& task : job.mTasks) {
    task.mDeclaredRunTime = milliseconds(100);
  }
  Handle(fixture, dispatch::Submit{ fixture.mNextJob, job });
  RecordActions(aSimulation);
  return job.mId;
}

/// Guards against jobs that are refused only after a wait, because admission ignores the capacity
/// used by the inflow of more urgent work. Load: urgent jobs at nine tenths of the capacity, and a
/// queue of less urgent ones.
bool RefusedImmediatelyBehindUrgentInflow()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 2, .mSlots = 5 }) };
  Run(simulation, seconds(2), Duration(11000), [&] { SubmitTargeted(simulation, 1); });
  std::size_t accepted = 0;
  std::vector<Refuse> refused;
  for (int n = 0; n < 40 && refused.empty(); ++n) {
    SubmitTargeted(simulation, 4, 1);
    refused = ActionsOf<Refuse>(simulation.mFixture.mActions);
    accepted += refused.empty() ? 1 : 0;
  }
  // Ten slots do the work of one of these jobs in 40 ms, but only a tenth of the slots is left to
  // them.
  constexpr std::size_t kMaxAcceptedJobs = 6;
  return Expect(!refused.empty() && accepted <= kMaxAcceptedJobs &&
                  refused[0].mError.mVerdict == Verdict::NotRun && refused[0].mError.mRetryAfter,
                "jobs that will not be served in time are refused on submission");
}

/// Guards against an urgent job that is refused because of a long queue of less urgent work.
bool UrgentJobsIgnoreLessUrgentQueues()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 1, .mSlots = 2 }) };
  for (int n = 0; n < 5; ++n) {
    SubmitTargeted(simulation, 4, 2);
  }
  // The second of these urgent jobs starts after it can no longer meet its target.
  SubmitTargeted(simulation, 4, 0);
  const auto second = SubmitTargeted(simulation, 2, 0);
  Run(simulation, seconds(1));
  const auto it = simulation.mFinished.find(second);
  return Expect(it != simulation.mFinished.end() && it->second.first == JobState::Complete,
                "an urgent job is served although less urgent work is queued");
}

/// Guards against a started job whose last tasks wait behind new jobs until its answer is
/// worthless, so that the work done is wasted. Load: twice the capacity, in jobs of one task that
/// can still meet their target, while a larger job with the same target has started and is late.
bool StartedJobsAreFinished()
{
  Simulation simulation{ MakeFixture({ .mWorkers = 1, .mSlots = 2 }) };
  const auto submitted = simulation.mFixture.mNow.mTime;
  const auto large = SubmitTargeted(simulation, 4);
  Run(simulation, seconds(2), milliseconds(25), [&] { SubmitTargeted(simulation, 1); });
  // Beyond three times the target an answer is worth little more than none.
  constexpr milliseconds kMaxAnswerTime{ 3 * 220 };
  const auto it = simulation.mFinished.find(large);
  return Expect(it != simulation.mFinished.end() && it->second.first == JobState::Complete &&
                  it->second.second - submitted <= kMaxAnswerTime,
                "a started job ends while its answer is still useful");
}

/// Guards against the placement of all tasks of a job in one rack, whose loss would lose them all.
bool JobsSpreadOverRacks()
{
  auto fixture = MakeFixture({ .mWorkers = 18 });
  SubmitJob(fixture, 9);
  std::map<std::uint32_t, int> racks;
  for (const auto& start : ActionsOf<StartTask>(fixture.mActions)) {
    ++racks[std::stoul(AddressOf(*fixture.mState, start.mUpstream).mKey.substr(3)) / 6];
  }
  return Expect(racks.size() == 3 && racks[0] <= 4 && racks[1] <= 4 && racks[2] <= 4,
                "9 tasks are spread about evenly over 3 racks");
}

/// Guards against a slot that stays free until the next event.
bool SlotsAreFilledImmediately()
{
  auto fixture = MakeFixture({ .mWorkers = 2, .mSlots = 1 });
  Handle(fixture, UpstreamSign{ "s/w1", Sign::Leaving });
  SubmitJob(fixture, 10);
  const auto starts = ActionsOf<StartTask>(fixture.mActions);
  bool passed = Expect(starts.size() == 1, "a leaving upstream is given no task");
  Handle(fixture, SetCredits{ "s/w0", 2 });
  passed &= Expect(ActionsOf<StartTask>(fixture.mActions).size() == 1, "more credits start tasks");
  Handle(fixture, UpstreamSign{ "s/w1", Sign::Live });
  passed &=
    Expect(ActionsOf<StartTask>(fixture.mActions).size() == 1, "a live upstream starts tasks");
  auto more = MakeConfiguration({ .mWorkers = 3, .mSlots = 1, .mVersion = 2 });
  Handle(fixture, SetCredits{ "s/w2", 1 });
  Handle(fixture, ConfigurationApplied{ more });
  passed &=
    Expect(ActionsOf<StartTask>(fixture.mActions).size() == 1, "a new upstream starts tasks");
  passed &= Expect(UnservedTasks(*fixture.mState, "s") == 6, "the other tasks wait");
  Handle(fixture, ConfigurationApplied{ MakeConfiguration({ .mWorkers = 3, .mVersion = 1 }) });
  passed &= Expect(fixture.mActions.empty(), "an older configuration is ignored");
  return passed;
}

ErrorCode RefusalOf(Fixture& aFixture, const JobSpec& aJob)
{
  Handle(aFixture, dispatch::Submit{ 77, aJob });
  const auto refusals = ActionsOf<Refuse>(aFixture.mActions);
  if (refusals.size() != 1 || refusals[0].mError.mVerdict != Verdict::NotRun) {
    return ErrorCode::Internal;
  }
  return refusals[0].mError.mCode;
}

/// Guards against the acceptance of jobs that can only fail.
bool RefusalsHaveErrorCodes()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 1, .mAccelerators = 1 },
                             { .mDataCentre = "dc", .mMaxQueuedTasks = 200 });
  JobSpec job{ .mId = "x", .mService = "s", .mTeam = "t0", .mKind = "k" };
  job.mDeadline = seconds(30);
  job.mTasks.resize(2);
  bool passed = true;
  const auto expect = [&](ErrorCode aCode, const std::function<void(JobSpec&)>& aChange) {
    auto changed = job;
    aChange(changed);
    passed &= Expect(RefusalOf(fixture, changed) == aCode, ToString(aCode));
  };
  expect(ErrorCode::UnknownService, [](JobSpec& aJob) { aJob.mService = "other"; });
  expect(ErrorCode::UnknownTeam, [](JobSpec& aJob) { aJob.mTeam = "other"; });
  expect(ErrorCode::BadRequest, [](JobSpec& aJob) { aJob.mTasks.clear(); });
  expect(ErrorCode::BadRequest, [](JobSpec& aJob) { aJob.mDeadline = seconds(61); });
  expect(ErrorCode::TooLarge, [](JobSpec& aJob) { aJob.mTasks.resize(191); });
  expect(ErrorCode::NeverRunnable,
         [](JobSpec& aJob) { aJob.mTasks[1].mNeeds.mMilliCores = 33 * kMilliCoresPerCore; });
  expect(ErrorCode::NeverRunnable, [](JobSpec& aJob) { aJob.mTasks[0].mNeeds.mAccelerators = 2; });
  // 12 tasks of 5 s on one slot.
  SubmitJob(fixture, 12, seconds(5), "t0", seconds(60));
  expect(ErrorCode::DeadlineUnreachable,
         [](JobSpec& aJob) { aJob.mTasks.resize(20, { .mDeclaredRunTime = seconds(5) }); });
  passed &= Expect(ActionsOf<Refuse>(fixture.mActions)[0].mError.mRetryAfter.has_value(),
                   "a refusal has a retry delay");
  SubmitJob(fixture, 2, milliseconds(50));
  passed &= Expect(!ActionsOf<Accepted>(fixture.mActions).empty(), "a small job is still accepted");
  SubmitJob(fixture, 160, milliseconds(1), "t0", seconds(60));
  expect(ErrorCode::Overloaded, [](JobSpec& aJob) { aJob.mTasks.resize(40); });
  Handle(fixture, StopAccepting{});
  expect(ErrorCode::Stopping, [](JobSpec&) {});
  auto empty = Fixture{ MakeState({}, 1) };
  passed &= Expect(RefusalOf(empty, job) == ErrorCode::NotReady,
                   "without configuration the entry is not ready");
  return passed;
}

/// Guards against a resubmission that runs again, and against unbounded memory for results.
bool AnswersAreRetained()
{
  auto fixture =
    MakeFixture({ .mWorkers = 2 }, { .mDataCentre = "dc", .mMaxRetainedResultBytes = 9 });
  const auto id = SubmitJob(fixture, 1);
  const auto first = ActionsOf<StartTask>(fixture.mActions)[0];
  Handle(fixture, Wait{ 50, id });
  Handle(fixture, Wait{ 51, id });
  Handle(fixture, CancelWait{ 51 });
  Handle(fixture, Ended(first, RanWell()));
  bool passed =
    Expect(ActionsOf<Answer>(fixture.mActions).size() == 2, "all waiting requests are answered");
  JobSpec again{ .mId = id, .mService = "s", .mTeam = "t0", .mKind = "k" };
  Handle(fixture, dispatch::Submit{ 52, again });
  passed &= Expect(fixture.mActions.size() == 1 &&
                     ActionsOf<Answer>(fixture.mActions)[0].mAnswer.mTasks[0].mResult == "result",
                   "a resubmission gets the retained answer and nothing else");
  again.mBodyHash = 1;
  passed &= Expect(RefusalOf(fixture, again) == ErrorCode::IdConflict, "another body is refused");
  SubmitJob(fixture, 1);
  Handle(fixture, Ended(ActionsOf<StartTask>(fixture.mActions)[0], RanWell()));
  const auto dropped = FindJobAnswer(*fixture.mState, id);
  passed &= Expect(dropped && dropped->mState == JobState::Failed &&
                     dropped->mVerdict == Verdict::Ran && dropped->mTasks[0].mResult.empty(),
                   "beyond the limit the oldest results are dropped, but not their verdicts");
  Advance(fixture, seconds(61));
  Handle(fixture, Tick{});
  Handle(fixture, Wait{ 53, id });
  const auto refusals = ActionsOf<Refuse>(fixture.mActions);
  passed &= Expect(refusals.size() == 1 && refusals[0].mError.mCode == ErrorCode::UnknownJob &&
                     refusals[0].mError.mVerdict == Verdict::MayHaveRun,
                   "a forgotten job is unknown and may have run");
  return passed;
}

/// Guards against a job that runs at two entries after a handover.
bool WithdrawnJobsNeverStart()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 1 });
  const auto started = SubmitJob(fixture, 2);
  const auto start = ActionsOf<StartTask>(fixture.mActions)[0];
  const auto queued = SubmitJob(fixture, 1);
  bool passed = Expect(UnstartedJobs(*fixture.mState, 10) == std::vector{ queued },
                       "only the unstarted job can be handed over");
  passed &=
    Expect(!Withdraw(*fixture.mState, started, fixture.mNow), "a started job is not withdrawn");
  Advance(fixture, seconds(1));
  const auto withdrawn = Withdraw(*fixture.mState, queued, fixture.mNow);
  passed &= Expect(withdrawn && withdrawn->mRequests == std::vector<RequestId>{ 2 } &&
                     withdrawn->mJob.mDeadline == seconds(29),
                   "a withdrawn job has its requests and the remaining time to its deadline");
  passed &= Expect(!FindJobAnswer(*fixture.mState, queued), "a withdrawn job is unknown");
  Handle(fixture, Ended(start, RanWell()));
  passed &= Expect(ActionsOf<StartTask>(fixture.mActions).at(0).mTask.mJob == started &&
                     LoadOf(*fixture.mState).mQueuedTasks == 0,
                   "a withdrawn job does not start");
  return passed;
}

/// Guards against a dump that does not contain the reason why a job waits.
bool DumpReportsWaitReason()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 4 });
  SubmitJob(fixture, 3, seconds(10));
  bool passed =
    Expect(Dump(*fixture.mState, fixture.mNow).find("long_class_share_used") != std::string::npos,
           "a long job waits for the share of its class");
  SubmitJob(fixture, 3);
  passed &= Expect(Dump(*fixture.mState, fixture.mNow).find("no_free_slot") != std::string::npos,
                   "a short job waits for a slot");
  return passed;
}

} // namespace

bool PolicyTests()
{
  bool passed = FailingWorkerIsExcludedAndProbed();
  passed &= FailureOnAllWorkersIsAServiceFault();
  // With free slots elsewhere the straggler is avoided; near saturation it has to be excluded.
  passed &= StragglerIsExcluded(0.7);
  passed &= StragglerIsExcluded(0.93);
  passed &= ShortTasksStartBeforeLongOnes();
  passed &= WrongDeclarationsAreCorrected();
  passed &= CancellationCostsDoNotGrow();
  passed &= CancelReportsTaskVerdicts();
  passed &= QuotaLimitsTeamStarts();
  passed &= RetriesAreBounded();
  passed &= DeadlineIsEnforced();
  passed &= TeamsShareByWeight();
  passed &= LeastRemainingWorkIsServedFirst();
  passed &= UrgentJobsAreServedFirst();
  passed &= StartedJobsAreFinished();
  passed &= RefusedImmediatelyBehindUrgentInflow();
  passed &= UrgentJobsIgnoreLessUrgentQueues();
  passed &= JobsSpreadOverRacks();
  passed &= SlotsAreFilledImmediately();
  passed &= RefusalsHaveErrorCodes();
  passed &= AnswersAreRetained();
  passed &= WithdrawnJobsNeverStart();
  passed &= DumpReportsWaitReason();
  return passed;
}

} // namespace pollenwall::test
