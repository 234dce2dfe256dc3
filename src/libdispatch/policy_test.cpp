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

/// Runs a state in virtual time against upstreams whose behaviour is a function.
struct Simulation
{
  struct End
  {
    Time mAt{};
    std::uint64_t mNumber = 0;
    TaskEnded mEvent;

    bool operator>(const End& aOther) const
    {
      return std::pair(mAt, mNumber) > std::pair(aOther.mAt, aOther.mNumber);
    }
  };

  Bench mBench;
  /// The outcome of a start; its run time says when it arrives.
  std::function<TaskOutcome(const StartTask&, const std::string& aKey)> mUpstream =
    [](const StartTask&, const std::string&) { return RanWell(); };
  std::priority_queue<End, std::vector<End>, std::greater<>> mEnds;
  std::uint64_t mStarts = 0;
  std::map<std::string, std::uint64_t> mStartsByUpstream;
  std::map<std::string, std::uint64_t> mStartsByJob;
  std::map<std::string, std::pair<JobState, Time>> mFinished;
};

/// Takes note of the actions of the last event.
void Note(Simulation& aSimulation)
{
  for (const auto& action : aSimulation.mBench.mActions) {
    if (const auto* start = std::get_if<StartTask>(&action)) {
      const auto key = AddressOf(*aSimulation.mBench.mState, start->mUpstream).mKey;
      auto outcome = aSimulation.mUpstream(*start, key);
      const auto at = aSimulation.mBench.mNow.mTime + outcome.mRunTime;
      aSimulation.mEnds.push({ at, aSimulation.mStarts++, Ended(*start, std::move(outcome)) });
      ++aSimulation.mStartsByUpstream[key];
      ++aSimulation.mStartsByJob[start->mTask.mJob];
    } else if (const auto* finished = std::get_if<Finished>(&action)) {
      aSimulation.mFinished[finished->mId] = { finished->mState, aSimulation.mBench.mNow.mTime };
    }
  }
}

/// Lets the time pass, with aEvery called every aGap.
void Run(
  Simulation& aSimulation,
  Duration aTime,
  Duration aGap = milliseconds(20),
  const std::function<void()>& aEvery = [] {})
{
  auto& bench = aSimulation.mBench;
  const auto until = bench.mNow.mTime + aTime;
  auto nextTick = bench.mNow.mTime;
  auto next = bench.mNow.mTime;
  while (bench.mNow.mTime < until) {
    auto at = std::min({ nextTick, next, until });
    if (!aSimulation.mEnds.empty() && aSimulation.mEnds.top().mAt <= at) {
      const auto end = aSimulation.mEnds.top();
      aSimulation.mEnds.pop();
      Advance(bench, std::max(Duration{ 0 }, Duration(end.mAt - bench.mNow.mTime)));
      Handle(bench, end.mEvent);
      Note(aSimulation);
      continue;
    }
    Advance(bench, at - bench.mNow.mTime);
    if (at == nextTick) {
      nextTick += milliseconds(20);
      Handle(bench, Tick{});
      Note(aSimulation);
    }
    if (at == next) {
      next += aGap;
      aEvery();
    }
  }
}

std::string Submit(Simulation& aSimulation,
                   std::uint32_t aTasks,
                   milliseconds aDeclared = milliseconds(100),
                   std::string_view aTeam = "t0",
                   milliseconds aDeadline = seconds(30))
{
  auto id = SubmitJob(aSimulation.mBench, aTasks, aDeclared, aTeam, aDeadline);
  Note(aSimulation);
  return id;
}

std::size_t CountFinished(const Simulation& aSimulation, JobState aState, Time aSince)
{
  return static_cast<std::size_t>(std::count_if(
    aSimulation.mFinished.begin(), aSimulation.mFinished.end(), [&](const auto& aJob) {
      return aJob.second.first == aState && aJob.second.second >= aSince;
    }));
}

/// Guards against a worker that fails all it gets and, being free at once, draws ever more tasks.
bool FailingWorkerIsFoundAndProbed()
{
  Simulation simulation{ MakeBench({ .mWorkers = 10 }) };
  bool broken = true;
  simulation.mUpstream = [&](const StartTask&, const std::string& aKey) {
    return broken && aKey == "s/w3" ? Failed(Verdict::Ran, ErrorCode::TaskFailed) : RanWell();
  };
  // 90% of 80 slots at 100 ms.
  const auto submit = [&] { Submit(simulation, 1); };
  const Duration gap = Duration(milliseconds(100)) / 72;
  Run(simulation, seconds(3), gap, submit);
  const auto found = simulation.mStartsByUpstream["s/w3"];
  bool passed = Expect(found >= 4 && found <= 40, "a failing worker is found within tens of tasks");
  Run(simulation, seconds(60), gap, submit);
  const auto probes = simulation.mStartsByUpstream["s/w3"] - found;
  passed &= Expect(probes >= 3 && probes <= 8, "a failing worker is probed at a bounded rate");
  passed &= Expect(Counter(simulation.mBench, "upstreams_excluded_total") == 1,
                   "no other worker is excluded");
  broken = false;
  Run(simulation, seconds(32), gap, submit);
  const auto before = simulation.mStartsByUpstream["s/w3"];
  Run(simulation, seconds(5), gap, submit);
  passed &= Expect(simulation.mStartsByUpstream["s/w3"] - before > 200,
                   "a repaired worker is used again after two good probes");
  return passed;
}

/// Guards against a pool that is shut off because its service fails everywhere.
bool FailureOfAllIsAServiceFault()
{
  Simulation simulation{ MakeBench({ .mWorkers = 10 }) };
  bool broken = false;
  simulation.mUpstream = [&](const StartTask&, const std::string&) {
    auto outcome = broken ? Failed(Verdict::Ran, ErrorCode::TaskFailed) : RanWell();
    outcome.mRunTime = milliseconds(100);
    return outcome;
  };
  const auto submit = [&] { Submit(simulation, 1); };
  const Duration gap = milliseconds(2);
  Run(simulation, seconds(2), gap, submit);
  broken = true;
  Run(simulation, seconds(10), gap, submit);
  const auto before = simulation.mStarts;
  Run(simulation, seconds(5), gap, submit);
  bool passed = Expect(simulation.mStarts - before >= 2450, "tasks go on at the full rate");
  passed &= Expect(Counter(simulation.mBench, "service_faults_total") >= 1, "a service fault");
  broken = false;
  Run(simulation, milliseconds(200), gap, submit);
  const auto since = simulation.mBench.mNow.mTime;
  Run(simulation, seconds(2), gap, submit);
  passed &= Expect(CountFinished(simulation, JobState::Complete, since) >= 990,
                   "the service is back as soon as it works");
  return passed;
}

/// Guards against jobs that wait for a worker ten times slower than the others.
bool StragglerIsFound(double aLoad)
{
  Simulation simulation{ MakeBench({ .mWorkers = 20 }) };
  std::uint64_t number = 0;
  simulation.mUpstream = [&](const StartTask&, const std::string& aKey) {
    const milliseconds ran(60 + (number++ * 37) % 80);
    return RanWell(aKey == "s/w5" ? 10 * ran : ran);
  };
  const auto submit = [&] { Submit(simulation, 2); };
  // Two tasks of 100 ms on 160 slots.
  const auto gap = std::chrono::duration_cast<Duration>(milliseconds(200) / (aLoad * 160));
  Run(simulation, seconds(10), gap, submit);
  const auto found = simulation.mStartsByUpstream["s/w5"];
  bool passed = Expect(found <= 60, "a straggler is found within tens of tasks");
  Run(simulation, seconds(60), gap, submit);
  passed &= Expect(simulation.mStartsByUpstream["s/w5"] - found <= 8, "and then only probed");
  for (const auto& [key, rate] : UnhealthyUpstreams(*simulation.mBench.mState)) {
    passed &= Expect(key == "s/w5", "no worker of common speed is excluded");
  }
  return passed;
}

/// Guards against short tasks that wait until long ones have ended, and against long ones that
/// never run.
bool ShortTasksPassLongOnes()
{
  Simulation simulation{ MakeBench({ .mWorkers = 4, .mSlots = 4 }) };
  simulation.mUpstream = [&](const StartTask& aStart, const std::string&) {
    return RanWell(aStart.mTask.mJob == "j1" ? seconds(10) : milliseconds(50));
  };
  Submit(simulation, 100, seconds(10), "t0", seconds(60));
  bool passed = Expect(simulation.mStarts == 8, "long tasks hold at most half of the slots");
  Submit(simulation, 8, milliseconds(50));
  passed &= Expect(simulation.mStartsByJob["j2"] == 8, "short tasks start at once");
  // Short tasks offer twice what the slots can do.
  std::uint64_t late = 0;
  Run(simulation, seconds(25), milliseconds(25), [&] {
    Submit(simulation, 16, milliseconds(50), "t1", seconds(2));
    ++late;
  });
  passed &= Expect(simulation.mStartsByJob["j1"] >= 12, "long tasks run beside a flood");
  return passed;
}

/// Guards against tasks that are placed by a declaration that is wrong by a factor of 100.
bool WrongDeclarationsAreCorrected()
{
  Simulation slow{ MakeBench({ .mWorkers = 4, .mSlots = 4 }) };
  slow.mUpstream = [](const StartTask&, const std::string&) { return RanWell(seconds(5)); };
  Submit(slow, 16, milliseconds(50));
  bool passed = Expect(slow.mStarts == 16, "declared short tasks use all slots");
  Run(slow, seconds(3));
  passed &= Expect(Counter(slow.mBench, "tasks_reclassified_total") == 16,
                   "running beyond the limit they count as long");
  Run(slow, seconds(20));
  const auto before = slow.mStarts;
  Submit(slow, 16, milliseconds(50));
  passed &= Expect(slow.mStarts - before <= 8, "the next ones are known to be long");

  Simulation fast{ MakeBench({ .mWorkers = 4, .mSlots = 4 }) };
  fast.mUpstream = [](const StartTask&, const std::string&) { return RanWell(milliseconds(50)); };
  Submit(fast, 16, seconds(5));
  passed &= Expect(fast.mStarts == 8, "declared long tasks hold half of the slots");
  Run(fast, seconds(30));
  const auto beforeFast = fast.mStarts;
  Submit(fast, 16, seconds(5));
  passed &= Expect(fast.mStarts - beforeFast == 16, "the next ones are known to be short");
  return passed;
}

/// Heap moves of each cancellation when half of aJobs queued jobs are cancelled.
std::pair<double, std::uint64_t> CancelHalf(std::uint32_t aJobs)
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 1 });
  for (std::uint32_t n = 0; n < aJobs; ++n) {
    SubmitJob(bench, 1 + n * 7 % 8, milliseconds(10 + n * 31 % 90), n % 2 == 0 ? "t0" : "t1");
  }
  std::uint64_t worst = 0;
  const auto first = Counter(bench, "queue_moves_total");
  auto before = first;
  for (std::uint32_t n = 2; n <= aJobs / 2; ++n) {
    Handle(bench, Cancel{ "j" + std::to_string(2 * n) });
    const auto after = Counter(bench, "queue_moves_total");
    worst = std::max(worst, after - before);
    before = after;
  }
  return { static_cast<double>(before - first) / (aJobs / 2.0), worst };
}

/// Guards against cancellations whose cost grows with the queue, so that a wave of them stalls all
/// other work.
bool CancellationCostsDoNotGrow()
{
  const auto [few, worstFew] = CancelHalf(500);
  const auto [many, worstMany] = CancelHalf(40000);
  bool passed = Expect(many <= 4, "at most 4 moves for a cancellation on average");
  passed &= Expect(many <= 1.5 * few + 0.5, "the mean does not grow with the queue");
  passed &= Expect(worstMany <= 2 * 16, "the worst is logarithmic");
  return passed;
}

/// Guards against a cancelled job that runs on, or whose answer hides that it may have run.
bool CancelTellsTheTruth()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 2 });
  SubmitJob(bench, 3);
  const auto starts = Of<StartTask>(bench.mActions);
  Handle(bench, Cancel{ "j1" });
  const auto answers = Of<Answer>(bench.mActions);
  bool passed = Expect(Of<StopTask>(bench.mActions).size() == 2, "started tasks are stopped");
  passed &=
    Expect(answers.size() == 1 && answers[0].mAnswer.mError->mCode == ErrorCode::Cancelled &&
             answers[0].mAnswer.mVerdict == Verdict::MayHaveRun &&
             answers[0].mAnswer.mTasks[2].mVerdict == Verdict::NotRun,
           "the answer tells which tasks may have run");
  passed &= Expect(LoadOf(*bench.mState).mRunningTasks == 2, "stopped tasks hold their slots");
  Handle(bench, Ended(starts[0], Failed(Verdict::Ran, ErrorCode::Cancelled)));
  Handle(bench, Ended(starts[1], Failed(Verdict::MayHaveRun, ErrorCode::UpstreamLost)));
  passed &= Expect(LoadOf(*bench.mState).mIdleCredits == 2, "until they end");
  passed &= Expect(UnhealthyUpstreams(*bench.mState).empty(), "a stop is no failure");
  Handle(bench, Cancel{ "j1" });
  passed &= Expect(bench.mActions.empty(), "a second cancellation does nothing");
  return passed;
}

/// Guards against a team that takes more than its quota, and against one that pays for another.
bool QuotaBoundsATeam()
{
  Simulation simulation{ MakeBench({ .mWorkers = 10, .mStartsPerSecond = 50 }) };
  std::map<std::string, std::uint64_t> accepted;
  bool passed = true;
  const auto submit = [&](const std::string& aTeam) {
    Submit(simulation, 1, milliseconds(100), aTeam);
    accepted[aTeam] += Of<Accepted>(simulation.mBench.mActions).size();
    for (const auto& refuse : Of<Refuse>(simulation.mBench.mActions)) {
      passed &= refuse.mError.mCode == ErrorCode::QuotaExceeded &&
                refuse.mError.mVerdict == Verdict::NotRun && refuse.mError.mRetryAfter.has_value();
    }
  };
  std::uint64_t number = 0;
  const auto every = [&] {
    submit("t0");
    if (++number % 10 == 0) {
      submit("t1");
    }
  };
  Run(simulation, seconds(10), milliseconds(4), every);
  passed = Expect(passed, "refusals say quota_exceeded, not_run and when to come back");
  passed &= Expect(accepted["t0"] >= 540 && accepted["t0"] <= 560, "burst plus rate times time");
  passed &= Expect(accepted["t1"] == 250, "a team within its quota is not refused");
  Handle(simulation.mBench, SetQuotaShare{ "t0", 0.5 });
  const auto before = accepted["t0"];
  Run(simulation, seconds(10), milliseconds(4), every);
  passed &= Expect(accepted["t0"] - before >= 245 && accepted["t0"] - before <= 256,
                   "half of the quota's share admits half");
  const auto demands = TeamDemands(*simulation.mBench.mState, simulation.mBench.mNow);
  passed &= Expect(demands.size() == 2 && demands[0].second > 180 && demands[0].second < 280,
                   "the demand counts refused tasks");
  return passed;
}

/// Guards against refusals that multiply messages, and against asking the same worker again.
bool RetriesAreBounded()
{
  Simulation simulation{ MakeBench({ .mWorkers = 4 }) };
  std::map<std::string, std::pair<std::string, Time>> last;
  std::uint64_t same = 0;
  simulation.mUpstream = [&](const StartTask& aStart, const std::string& aKey) {
    const auto now = simulation.mBench.mNow.mTime;
    auto& [key, at] = last[ToString(aStart.mTask)];
    same += key == aKey && now - at < milliseconds(200) ? 1 : 0;
    key = aKey;
    at = now;
    return Failed(Verdict::NotRun, ErrorCode::Overloaded);
  };
  Run(simulation, seconds(5), milliseconds(100), [&] { Submit(simulation, 8); });
  const auto retries = Counter(simulation.mBench, "task_retries_total");
  const auto starts = simulation.mStarts - retries;
  bool passed = Expect(retries <= 50 + starts / 10 + 6, "retries keep to their budget");
  passed &= Expect(retries >= 30, "tasks are retried");
  passed &= Expect(Counter(simulation.mBench, "retries_deferred_total") > 0, "others wait");
  passed &= Expect(same == 0, "no task is sent to the same worker at once");
  simulation.mUpstream = [](const StartTask&, const std::string&) {
    return RanWell(milliseconds(5));
  };
  Run(simulation, seconds(20), milliseconds(2), [&] { Submit(simulation, 1, milliseconds(5)); });
  passed &= Expect(CountFinished(simulation, JobState::Failed, Time{}) == 0,
                   "deferred tasks run once there are starts again");
  return passed;
}

/// Guards against a job that is never answered, or answered as if nothing had run.
bool DeadlineIsKept()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 2 });
  SubmitJob(bench, 4, milliseconds(100), "t0", seconds(1));
  const auto starts = Of<StartTask>(bench.mActions);
  Advance(bench, milliseconds(500));
  Handle(bench, Ended(starts[0], RanWell()));
  const auto third = Of<StartTask>(bench.mActions);
  bool passed = Expect(third.size() == 1, "the freed slot is used in the same call");
  passed &= Expect(third[0].mNotAfterMs == bench.mNow.mUnixMs + 500,
                   "no start may happen after the deadline");
  Advance(bench, milliseconds(500));
  Handle(bench, Tick{});
  const auto answers = Of<Answer>(bench.mActions);
  passed &= Expect(answers.size() == 1, "the job is answered at its deadline");
  const auto& answer = answers[0].mAnswer;
  passed &= Expect(answer.mState == JobState::Failed && answer.mVerdict == Verdict::Ran &&
                     answer.mError->mCode == ErrorCode::Expired,
                   "it failed, expired, and ran in part");
  passed &= Expect(answer.mTasks[0].mVerdict == Verdict::Ran &&
                     answer.mTasks[1].mVerdict == Verdict::MayHaveRun &&
                     answer.mTasks[2].mVerdict == Verdict::MayHaveRun &&
                     answer.mTasks[3].mVerdict == Verdict::NotRun,
                   "each task's verdict is true");
  passed &= Expect(answer.mTasks[0].mResult.empty(), "a failed answer has no results");
  passed &= Expect(Of<StopTask>(bench.mActions).size() == 2, "running tasks are stopped");
  Handle(bench, Ended(starts[1], RanWell()));
  passed &= Expect(Counter(bench, "late_outcomes_total") == 1 && Of<Answer>(bench.mActions).empty(),
                   "a late outcome is counted and dropped");
  Handle(bench, Ended(starts[1], RanWell()));
  passed &= Expect(Counter(bench, "unknown_outcomes_total") == 1, "and so is its duplicate");
  return passed;
}

/// Guards against a flood of one team that holds up the others.
bool TeamsShareByWeight()
{
  Simulation simulation{ MakeBench({ .mWorkers = 2 }) };
  auto configuration = MakeConfiguration({ .mWorkers = 2, .mVersion = 2 });
  configuration->mTeams["t1"].mWeight = 3;
  Handle(simulation.mBench, ConfigurationApplied{ configuration });
  for (int n = 0; n < 20; ++n) {
    Submit(simulation, 100, milliseconds(100), "t0", seconds(60));
  }
  Run(simulation, seconds(1));
  const auto id = Submit(simulation, 8, milliseconds(100), "t1");
  Run(simulation, milliseconds(300));
  bool passed = Expect(simulation.mFinished.contains(id), "a small team passes a flood");
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
  passed &= Expect(part > 0.72 && part < 0.78, "weight 3 of 4 gets three quarters");
  return passed;
}

/// Guards against small jobs that wait for large ones, large ones that never end, and jobs that
/// wait long for their last task.
bool LeastRemainingWorkGoesFirst()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 1 });
  SubmitJob(bench, 1);
  auto running = Of<StartTask>(bench.mActions)[0];
  const auto next = [&] {
    Handle(bench, Ended(running, RanWell()));
    running = Of<StartTask>(bench.mActions).at(0);
    return running.mTask.mJob;
  };
  const auto large = SubmitJob(bench, 50);
  const auto small = SubmitJob(bench, 2);
  bool passed = Expect(next() == small, "the smaller job goes first");
  const auto tiny = SubmitJob(bench, 1, milliseconds(1));
  passed &= Expect(next() == small, "the last task of a nearly complete job goes first");
  passed &= Expect(next() == tiny && next() == large, "then the least work");
  Advance(bench, seconds(3));
  SubmitJob(bench, 2);
  passed &= Expect(next() == large, "a large job that has waited goes before a new small one");
  return passed;
}

/// Guards against a large job that waits past its deadline behind a stream of small ones.
bool UrgentJobsGoFirst()
{
  Simulation simulation{ MakeBench({ .mWorkers = 2, .mSlots = 10 }) };
  std::uint64_t number = 0;
  simulation.mUpstream = [&](const StartTask&, const std::string&) {
    return RanWell(milliseconds(60 + (number++ * 37) % 80));
  };
  Run(simulation, seconds(3), milliseconds(20), [&] { Submit(simulation, 1); });
  for (int n = 0; n < 25; ++n) {
    Submit(simulation, 1);
  }
  // Ageing alone would let it pass the small jobs after half a second.
  const auto large = Submit(simulation, 20, milliseconds(100), "t0", milliseconds(650));
  // Small jobs offer a little more than the slots can do.
  Run(simulation, seconds(1), Duration(4700), [&] {
    Submit(simulation, 1, milliseconds(100), "t0", seconds(60));
  });
  return Expect(simulation.mFinished.contains(large) &&
                  simulation.mFinished[large].first == JobState::Complete,
                "a large job ends by its deadline");
}

/// Submits a job of tasks of 100 ms whose answer is wanted within 220 ms.
std::string SubmitTargeted(Simulation& aSimulation,
                           std::uint32_t aTasks,
                           std::uint32_t aPriority = 0)
{
  auto& bench = aSimulation.mBench;
  JobSpec job;
  job.mId = "targeted-" + std::to_string(++bench.mNextJob);
  job.mService = "s";
  job.mTeam = "t0";
  job.mDeadline = seconds(3);
  job.mPriority = aPriority;
  job.mTargetStretch = 1.6;
  job.mTargetSlack = milliseconds(60);
  job.mRestartable = true;
  job.mTasks.resize(aTasks);
  for (auto& task : job.mTasks) {
    task.mDeclaredRun = milliseconds(100);
  }
  Handle(bench, dispatch::Submit{ bench.mNextJob, job });
  Note(aSimulation);
  return job.mId;
}

/// Guards against callers who are held for a time and then refused, because admission did not see
/// that more urgent work takes the places as it comes. Load: urgent jobs at nine tenths of what
/// fits, and a queue of less urgent ones.
bool RefusedAtOnceBehindUrgentInflow()
{
  Simulation simulation{ MakeBench({ .mWorkers = 2, .mSlots = 5 }) };
  Run(simulation, seconds(2), Duration(11000), [&] { SubmitTargeted(simulation, 1); });
  std::size_t accepted = 0;
  std::vector<Refuse> refused;
  for (int n = 0; n < 40 && refused.empty(); ++n) {
    SubmitTargeted(simulation, 4, 1);
    refused = Of<Refuse>(simulation.mBench.mActions);
    accepted += refused.empty() ? 1 : 0;
  }
  // Ten places do 40 ms of this queue in each job's time; a tenth of them is left to it.
  constexpr std::size_t kMostQueued = 6;
  return Expect(!refused.empty() && accepted <= kMostQueued &&
                  refused[0].mError.mVerdict == Verdict::NotRun && refused[0].mError.mRetryAfter,
                "jobs that will not be served in time are refused when they come");
}

/// Guards against an urgent job that is refused because of a long queue of work that waits for it.
bool UrgentJobsIgnoreLessUrgentQueues()
{
  Simulation simulation{ MakeBench({ .mWorkers = 1, .mSlots = 2 }) };
  for (int n = 0; n < 5; ++n) {
    SubmitTargeted(simulation, 4, 2);
  }
  // Two urgent jobs of which the second starts after its target is out of reach.
  SubmitTargeted(simulation, 4, 0);
  const auto second = SubmitTargeted(simulation, 2, 0);
  Run(simulation, seconds(1));
  const auto it = simulation.mFinished.find(second);
  return Expect(it != simulation.mFinished.end() && it->second.first == JobState::Complete,
                "an urgent job is served although less urgent work is queued");
}

/// Guards against a job whose last tasks wait behind fresh jobs until its answer is worthless, so
/// that what has run is lost. Load: twice as much as fits, in jobs of one task that can still keep
/// their target, while a larger job with the same target has started and is late.
bool StartedJobsAreFinished()
{
  Simulation simulation{ MakeBench({ .mWorkers = 1, .mSlots = 2 }) };
  const auto submitted = simulation.mBench.mNow.mTime;
  const auto large = SubmitTargeted(simulation, 4);
  Run(simulation, seconds(2), milliseconds(25), [&] { SubmitTargeted(simulation, 1); });
  // Three times the target, after which an answer is worth little more than none.
  constexpr milliseconds kMost{ 3 * 220 };
  const auto it = simulation.mFinished.find(large);
  return Expect(it != simulation.mFinished.end() && it->second.first == JobState::Complete &&
                  it->second.second - submitted <= kMost,
                "a started job ends while its answer is worth something");
}

/// Guards against a rack whose loss takes all tasks of a job.
bool JobsSpreadOverRacks()
{
  auto bench = MakeBench({ .mWorkers = 18 });
  SubmitJob(bench, 9);
  std::map<std::uint32_t, int> racks;
  for (const auto& start : Of<StartTask>(bench.mActions)) {
    ++racks[std::stoul(AddressOf(*bench.mState, start.mUpstream).mKey.substr(3)) / 6];
  }
  return Expect(racks.size() == 3 && racks[0] <= 4 && racks[1] <= 4 && racks[2] <= 4,
                "9 tasks use 3 racks about evenly");
}

/// Guards against a free slot that waits for the next event.
bool SlotsAreFilledAtOnce()
{
  auto bench = MakeBench({ .mWorkers = 2, .mSlots = 1 });
  Handle(bench, UpstreamSign{ "s/w1", Sign::Leaving });
  SubmitJob(bench, 10);
  const auto starts = Of<StartTask>(bench.mActions);
  bool passed = Expect(starts.size() == 1, "a leaving upstream gets no task");
  Handle(bench, SetCredits{ "s/w0", 2 });
  passed &= Expect(Of<StartTask>(bench.mActions).size() == 1, "more credits start tasks");
  Handle(bench, UpstreamSign{ "s/w1", Sign::Live });
  passed &= Expect(Of<StartTask>(bench.mActions).size() == 1, "a live upstream starts tasks");
  auto more = MakeConfiguration({ .mWorkers = 3, .mSlots = 1, .mVersion = 2 });
  Handle(bench, SetCredits{ "s/w2", 1 });
  Handle(bench, ConfigurationApplied{ more });
  passed &= Expect(Of<StartTask>(bench.mActions).size() == 1, "a new upstream starts tasks");
  passed &= Expect(UnservedTasks(*bench.mState, "s") == 6, "the others wait");
  Handle(bench, ConfigurationApplied{ MakeConfiguration({ .mWorkers = 3, .mVersion = 1 }) });
  passed &= Expect(bench.mActions.empty(), "an older configuration is ignored");
  return passed;
}

ErrorCode RefusalOf(Bench& aBench, const JobSpec& aJob)
{
  Handle(aBench, dispatch::Submit{ 77, aJob });
  const auto refusals = Of<Refuse>(aBench.mActions);
  if (refusals.size() != 1 || refusals[0].mError.mVerdict != Verdict::NotRun) {
    return ErrorCode::Internal;
  }
  return refusals[0].mError.mCode;
}

/// Guards against jobs that are accepted and then can only fail.
bool RefusalsNameTheirReason()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 1, .mAccelerators = 1 },
                         { .mDataCentre = "dc", .mMaxQueuedTasks = 200 });
  JobSpec job{ .mId = "x", .mService = "s", .mTeam = "t0", .mKind = "k" };
  job.mDeadline = seconds(30);
  job.mTasks.resize(2);
  bool passed = true;
  const auto expect = [&](ErrorCode aCode, const std::function<void(JobSpec&)>& aChange) {
    auto changed = job;
    aChange(changed);
    passed &= Expect(RefusalOf(bench, changed) == aCode, ToString(aCode));
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
  SubmitJob(bench, 12, seconds(5), "t0", seconds(60));
  expect(ErrorCode::DeadlineUnreachable,
         [](JobSpec& aJob) { aJob.mTasks.resize(20, { .mDeclaredRun = seconds(5) }); });
  passed &= Expect(Of<Refuse>(bench.mActions)[0].mError.mRetryAfter.has_value(), "when to return");
  SubmitJob(bench, 2, milliseconds(50));
  passed &= Expect(!Of<Accepted>(bench.mActions).empty(), "a small job still passes");
  SubmitJob(bench, 160, milliseconds(1), "t0", seconds(60));
  expect(ErrorCode::Overloaded, [](JobSpec& aJob) { aJob.mTasks.resize(40); });
  Handle(bench, StopAccepting{});
  expect(ErrorCode::Stopping, [](JobSpec&) {});
  auto empty = Bench{ MakeState({}, 1) };
  passed &= Expect(RefusalOf(empty, job) == ErrorCode::NotReady, "not ready");
  return passed;
}

/// Guards against a resubmission that runs again, and against memory that grows with results.
bool AnswersAreKept()
{
  auto bench = MakeBench({ .mWorkers = 2 }, { .mDataCentre = "dc", .mMaxRetainedResultBytes = 9 });
  const auto id = SubmitJob(bench, 1);
  const auto first = Of<StartTask>(bench.mActions)[0];
  Handle(bench, Wait{ 50, id });
  Handle(bench, Wait{ 51, id });
  Handle(bench, Unwait{ 51 });
  Handle(bench, Ended(first, RanWell()));
  bool passed = Expect(Of<Answer>(bench.mActions).size() == 2, "all who wait are answered");
  JobSpec again{ .mId = id, .mService = "s", .mTeam = "t0", .mKind = "k" };
  Handle(bench, dispatch::Submit{ 52, again });
  passed &= Expect(bench.mActions.size() == 1 &&
                     Of<Answer>(bench.mActions)[0].mAnswer.mTasks[0].mResult == "result",
                   "a resubmission gets the kept answer and nothing else");
  again.mBodyHash = 1;
  passed &= Expect(RefusalOf(bench, again) == ErrorCode::IdConflict, "another body is refused");
  SubmitJob(bench, 1);
  Handle(bench, Ended(Of<StartTask>(bench.mActions)[0], RanWell()));
  const auto dropped = Find(*bench.mState, id);
  passed &= Expect(dropped && dropped->mState == JobState::Failed &&
                     dropped->mVerdict == Verdict::Ran && dropped->mTasks[0].mResult.empty(),
                   "beyond the bound the oldest results go, but not the knowledge that they ran");
  Advance(bench, seconds(61));
  Handle(bench, Tick{});
  Handle(bench, Wait{ 53, id });
  const auto refusals = Of<Refuse>(bench.mActions);
  passed &= Expect(refusals.size() == 1 && refusals[0].mError.mCode == ErrorCode::UnknownJob &&
                     refusals[0].mError.mVerdict == Verdict::MayHaveRun,
                   "a forgotten job is unknown and may have run");
  return passed;
}

/// Guards against a job that runs at two entries after a handover.
bool WithdrawnJobsNeverStart()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 1 });
  const auto started = SubmitJob(bench, 2);
  const auto start = Of<StartTask>(bench.mActions)[0];
  const auto queued = SubmitJob(bench, 1);
  bool passed =
    Expect(UnstartedJobs(*bench.mState, 10) == std::vector{ queued }, "one to hand over");
  passed &= Expect(!Withdraw(*bench.mState, started, bench.mNow), "a started job stays");
  Advance(bench, seconds(1));
  const auto withdrawn = Withdraw(*bench.mState, queued, bench.mNow);
  passed &= Expect(withdrawn && withdrawn->mRequests == std::vector<RequestId>{ 2 } &&
                     withdrawn->mJob.mDeadline == seconds(29),
                   "the job comes with its callers and the rest of its deadline");
  passed &= Expect(!Find(*bench.mState, queued), "it is unknown here");
  Handle(bench, Ended(start, RanWell()));
  passed &= Expect(Of<StartTask>(bench.mActions).at(0).mTask.mJob == started &&
                     LoadOf(*bench.mState).mQueuedTasks == 0,
                   "and does not start here");
  return passed;
}

/// Guards against a dump that cannot say why a job waits.
bool DumpTellsWhyAJobWaits()
{
  auto bench = MakeBench({ .mWorkers = 1, .mSlots = 4 });
  SubmitJob(bench, 3, seconds(10));
  bool passed =
    Expect(Dump(*bench.mState, bench.mNow).find("long_class_share_used") != std::string::npos,
           "a long job waits for its class");
  SubmitJob(bench, 3);
  passed &= Expect(Dump(*bench.mState, bench.mNow).find("no_free_slot") != std::string::npos,
                   "a short job waits for a slot");
  return passed;
}

} // namespace

bool PolicyTests()
{
  bool passed = FailingWorkerIsFoundAndProbed();
  passed &= FailureOfAllIsAServiceFault();
  // With free slots elsewhere the straggler is passed over; near saturation it has to be excluded.
  passed &= StragglerIsFound(0.7);
  passed &= StragglerIsFound(0.93);
  passed &= ShortTasksPassLongOnes();
  passed &= WrongDeclarationsAreCorrected();
  passed &= CancellationCostsDoNotGrow();
  passed &= CancelTellsTheTruth();
  passed &= QuotaBoundsATeam();
  passed &= RetriesAreBounded();
  passed &= DeadlineIsKept();
  passed &= TeamsShareByWeight();
  passed &= LeastRemainingWorkGoesFirst();
  passed &= UrgentJobsGoFirst();
  passed &= StartedJobsAreFinished();
  passed &= RefusedAtOnceBehindUrgentInflow();
  passed &= UrgentJobsIgnoreLessUrgentQueues();
  passed &= JobsSpreadOverRacks();
  passed &= SlotsAreFilledAtOnce();
  passed &= RefusalsNameTheirReason();
  passed &= AnswersAreKept();
  passed &= WithdrawnJobsNeverStart();
  passed &= DumpTellsWhyAJobWaits();
  return passed;
}

} // namespace pollenwall::test
