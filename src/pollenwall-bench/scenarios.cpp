#include "scenarios.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <random>

#include <malloc.h>

#include "mixed_sizes.h"
#include "report.h"

namespace pollenwall::bench {
namespace {

constexpr Micros kWarmUpTime = 10 * kSecond;
constexpr Micros kMaxDrainTime = 120 * kSecond;

/// Workload and environment of a scenario. Times count from the start of the arrivals.
struct Plan
{
  std::vector<JobLoad> mJobs;
  Window mWindow; ///< Send times of the jobs that are measured.
  std::uint32_t mTeams = 10;
  double mQuotaPerTeam = 1e6;
  double mCapacityShare = 1; ///< Share of all slots that belongs to healthy workers.
  std::function<void(Platform&)> mPreparePlatform;
};

struct Outcome
{
  std::unique_ptr<Experiment> mExperiment;
  Statistics mStatistics;
};

double TasksPerSecond(const Deployment& aDeployment, double aLoad)
{
  return aLoad * TotalSlots(aDeployment) / MeanShortRunSeconds();
}

std::shared_ptr<Policy> MakePolicy(Experiment& aExperiment, const std::string& aName)
{
  if (aName == "random") {
    return MakeBaseline(aExperiment, Baseline::Random);
  }
  if (aName == "round_robin") {
    return MakeBaseline(aExperiment, Baseline::RoundRobin);
  }
  if (aName == "least_loaded") {
    return MakeBaseline(aExperiment, Baseline::LeastLoaded);
  }
  return MakeNodePolicy(aExperiment);
}

void ScheduleArrivals(Experiment& aExperiment, const std::shared_ptr<Policy>& aPolicy)
{
  const auto toEntry = aExperiment.mPlatform.mDeployment.mCallerLatency;
  for (std::uint32_t n = 0; n < aExperiment.mJobs->size(); ++n) {
    const auto& job = (*aExperiment.mJobs)[n];
    aExperiment.mResults[n].mSentAt = job.mAt;
    ScheduleAfter(aExperiment.mClock, job.mAt + toEntry, [aPolicy, n] { aPolicy->mSubmit(n); });
    if (job.mCancelAt >= 0) {
      ScheduleAfter(
        aExperiment.mClock, job.mCancelAt + toEntry, [aPolicy, n] { aPolicy->mCancel(n); });
    }
  }
}

Outcome RunPlan(const Plan& aPlan,
                const Deployment& aDeployment,
                const std::string& aPolicy,
                std::uint64_t aSeed)
{
  Outcome outcome;
  outcome.mExperiment = std::make_unique<Experiment>();
  auto& experiment = *outcome.mExperiment;
  experiment.mJobs = &aPlan.mJobs;
  experiment.mTeams = aPlan.mTeams;
  experiment.mQuotaPerTeam = aPlan.mQuotaPerTeam;
  experiment.mSeed = aSeed;
  experiment.mResults.resize(aPlan.mJobs.size());
  // The policy starts at a negative time so that the arrivals start at 0.
  experiment.mClock.mNow = -kStartupTime;
  experiment.mPlatform = MakePlatform(experiment.mClock, aDeployment, aPlan.mJobs);
  if (aPlan.mPreparePlatform) {
    aPlan.mPreparePlatform(experiment.mPlatform);
  }
  const auto policy = MakePolicy(experiment, aPolicy);
  RunUntil(experiment.mClock, 0);
  ScheduleCutOffCounts(experiment.mPlatform);
  ScheduleArrivals(experiment, policy);
  RunUntil(experiment.mClock, aPlan.mWindow.mTo + kMaxDrainTime);
  for (const auto& task : experiment.mReportedNotRun) {
    experiment.mWrongVerdicts += HasStarted(experiment.mPlatform, task) ? 1 : 0;
  }
  experiment.mClock.mCalls = {};
  outcome.mStatistics =
    ComputeStatistics(experiment, aPlan.mWindow, TotalSlots(aDeployment) * aPlan.mCapacityShare);
  return outcome;
}

struct Bounds
{
  std::vector<std::string> mMissed; ///< Names of the bounds that the run did not meet.
};

void CheckAtMost(Bounds& aBounds, const std::string& aName, double aValue, double aMax)
{
  if (!(aValue <= aMax)) {
    aBounds.mMissed.push_back(aName);
  }
}

void CheckAtLeast(Bounds& aBounds, const std::string& aName, double aValue, double aMin)
{
  if (!(aValue >= aMin)) {
    aBounds.mMissed.push_back(aName);
  }
}

struct Context
{
  std::string mScenario;
  const ScenarioOptions& mOptions;
  Deployment mDeployment;
  std::ostream& mOut;
};

void WriteSamples(const Context& aContext, const std::string& aPolicy, const Outcome& aOutcome)
{
  if (aContext.mOptions.mSamples.empty()) {
    return;
  }
  std::ofstream file(aContext.mOptions.mSamples, std::ios::app);
  const auto& experiment = *aOutcome.mExperiment;
  for (std::uint32_t n = 0; n < experiment.mJobs->size(); ++n) {
    if (!experiment.mResults[n].mComplete || (*experiment.mJobs)[n].mInterfering) {
      continue;
    }
    file << aContext.mScenario << ' ' << aPolicy << ' '
         << static_cast<double>(experiment.mResults[n].mSentAt) / kSecond << ' '
         << Slowdown(experiment, n) << '\n';
  }
}

using Evaluator = std::function<void(const Outcome&, Fields&, Bounds&)>;

/// Runs the plan under every policy and writes a line for each. aEvaluate adds fields and checks
/// bounds, which are meant for the product only.
void RunPolicies(const Context& aContext, const Plan& aPlan, const Evaluator& aEvaluate)
{
  constexpr double kMaxWasted = 0.1;
  constexpr double kMaxWastedSteady = 0.02;
  for (const auto& policy : aContext.mOptions.mPolicies) {
    const auto outcome = RunPlan(aPlan, aContext.mDeployment, policy, aContext.mOptions.mSeed);
    Fields fields;
    Bounds bounds;
    aEvaluate(outcome, fields, bounds);
    CheckAtMost(bounds,
                "wasted_messages_per_task",
                outcome.mStatistics.mWastedPerTask,
                aContext.mScenario == "steady" ? kMaxWastedSteady : kMaxWasted);
    CheckAtMost(bounds,
                "duplicate_starts",
                static_cast<double>(outcome.mExperiment->mPlatform.mDuplicateStarts),
                0);
    CheckAtMost(
      bounds, "wrong_verdicts", static_cast<double>(outcome.mExperiment->mWrongVerdicts), 0);
    CheckAtMost(bounds, "unanswered", static_cast<double>(outcome.mStatistics.mUnanswered), 0);
    WriteSamples(aContext, policy, outcome);
    aContext.mOut << JsonLine(aContext.mScenario,
                              policy,
                              *outcome.mExperiment,
                              outcome.mStatistics,
                              fields,
                              bounds.mMissed)
                  << std::endl;
  }
}

Micros ScaledTime(const Context& aContext, double aSeconds)
{
  return static_cast<Micros>(aSeconds * aContext.mOptions.mScale * kSecond);
}

std::mt19937_64 MakeRandom(const Context& aContext)
{
  return std::mt19937_64(aContext.mOptions.mSeed);
}

void Steady(const Context& aContext)
{
  constexpr double kLoad = 0.7;
  constexpr double kMaxP50 = 1.05;
  constexpr double kMaxP99 = 1.5;
  auto random = MakeRandom(aContext);
  Plan plan;
  plan.mWindow = { kWarmUpTime, kWarmUpTime + ScaledTime(aContext, 120) };
  ShortJobStream stream;
  stream.mTasksPerSecond = TasksPerSecond(aContext.mDeployment, kLoad);
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  double best = 0;
  for (const auto* name : { "random", "round_robin", "least_loaded" }) {
    const auto p99 =
      RunPlan(plan, aContext.mDeployment, name, aContext.mOptions.mSeed).mStatistics.mSlowdownP99;
    best = best == 0 ? p99 : std::min(best, p99);
  }
  RunPolicies(aContext, plan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
    const auto& statistics = aOutcome.mStatistics;
    aFields.emplace_back("best_baseline_slowdown_p99", best);
    CheckAtMost(aBounds, "slowdown_p50", statistics.mSlowdownP50, kMaxP50);
    CheckAtMost(aBounds, "slowdown_p99", statistics.mSlowdownP99, kMaxP99);
    CheckAtMost(
      aBounds, "slowdown_excess_of_best_baseline", statistics.mSlowdownP99 - 1, (best - 1) / 2);
  });
}

void LongMix(const Context& aContext)
{
  constexpr double kLoad = 0.7;
  constexpr double kLongTaskShare = 0.02;
  constexpr double kMaxRatio = 1.2;
  const auto shortRate = TasksPerSecond(aContext.mDeployment, kLoad / 2);
  Plan plan;
  plan.mWindow = { 3 * kWarmUpTime, 3 * kWarmUpTime + ScaledTime(aContext, 180) };
  ShortJobStream stream;
  stream.mTasksPerSecond = shortRate;
  auto random = MakeRandom(aContext);
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  SortByTime(plan.mJobs);
  const Plan control = plan;
  AddLongJobs(
    plan.mJobs, shortRate * kLongTaskShare / (1 - kLongTaskShare), 0, plan.mWindow.mTo, random);
  SortByTime(plan.mJobs);
  for (const auto& policy : aContext.mOptions.mPolicies) {
    ScenarioOptions single = aContext.mOptions;
    single.mPolicies = { policy };
    const auto controlRun = RunPlan(control, aContext.mDeployment, policy, aContext.mOptions.mSeed);
    const Context context{ aContext.mScenario, single, aContext.mDeployment, aContext.mOut };
    RunPolicies(context, plan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
      const auto p99 = controlRun.mStatistics.mShortSlowdownP99;
      aFields.emplace_back("slowdown_p99_without", p99);
      CheckAtMost(
        aBounds, "short_slowdown_p99", aOutcome.mStatistics.mShortSlowdownP99, kMaxRatio * p99);
    });
  }
}

/// Work of the jobs answered complete within their deadline between two times, divided by the most
/// that the slots could have done in that time. Jobs count by the time of their answer, so work of
/// the burst that is answered after its end is left out.
double GoodputDuring(const Experiment& aExperiment, Micros aFrom, Micros aTo)
{
  double done = 0;
  for (std::uint32_t n = 0; n < aExperiment.mJobs->size(); ++n) {
    const auto& result = aExperiment.mResults[n];
    const auto& job = (*aExperiment.mJobs)[n];
    const bool inTime = result.mAnsweredAt - result.mSentAt <= job.mDeadlineMs * kMillisecond;
    if (!result.mComplete || !inTime || result.mAnsweredAt < aFrom || result.mAnsweredAt >= aTo) {
      continue;
    }
    for (const auto& task : job.mTasks) {
      done += static_cast<double>(task.mRun) / kSecond;
    }
  }
  const double seconds = static_cast<double>(aTo - aFrom) / kSecond;
  return done / (TotalSlots(aExperiment.mPlatform.mDeployment) * seconds);
}

/// Seconds from the end of the burst until the p90 slowdown of every following quarter of a second
/// is at most 1.1 times the p90 before the burst.
double RecoverySeconds(const Experiment& aExperiment,
                       Micros aBurstFrom,
                       Micros aBurstTo,
                       Micros aEnd)
{
  constexpr Micros kSlice = kSecond / 4;
  constexpr double kQuantile = 0.9;
  constexpr double kRecoveredRatio = 1.1;
  const auto before =
    Quantile(Slowdowns(aExperiment, { aBurstFrom - 10 * kSecond, aBurstFrom }, false), kQuantile);
  Micros recovered = aBurstTo;
  for (Micros at = aBurstTo; at + kSlice <= aEnd; at += kSlice) {
    const auto now = Quantile(Slowdowns(aExperiment, { at, at + kSlice }, false), kQuantile);
    if (now > kRecoveredRatio * before) {
      recovered = at + kSlice;
    }
  }
  return static_cast<double>(recovered - aBurstTo) / kSecond;
}

void Burst(const Context& aContext)
{
  constexpr double kLoad = 0.3;
  constexpr double kBurstFactor = 10; // From 30% to 300% load.
  constexpr Micros kRampTime = kSecond;
  constexpr Micros kBurstTime = 10 * kSecond;
  constexpr std::int64_t kDeadlineMs = 3000;
  const Micros from = 2 * kWarmUpTime;
  const Micros to = from + kBurstTime;
  const Micros end = to + 20 * kSecond;
  Plan plan;
  plan.mWindow = { from, to };
  ShortJobStream stream;
  stream.mTasksPerSecond = TasksPerSecond(aContext.mDeployment, kLoad);
  stream.mDeadlineMs = kDeadlineMs;
  auto random = MakeRandom(aContext);
  const auto rate = [from, to](Micros aAt) {
    if (aAt < from || aAt >= to) {
      return 1.0;
    }
    const auto ramp = std::min(1.0, static_cast<double>(aAt - from) / kRampTime);
    return 1 + (kBurstFactor - 1) * ramp;
  };
  AddShortJobs(plan.mJobs, stream, 0, end, random, rate, kBurstFactor);
  RunPolicies(aContext, plan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
    const auto& statistics = aOutcome.mStatistics;
    // The slots are full once the ramp has ended and the first jobs at the full rate have run.
    const auto goodput = GoodputDuring(*aOutcome.mExperiment, from + 2 * kRampTime, to);
    const auto accepted = std::max<std::uint64_t>(1, statistics.mComplete + statistics.mFailed);
    // An accepted job that failed at its deadline counts as late, like one answered after it.
    const double late =
      static_cast<double>(statistics.mLate + statistics.mFailed) / static_cast<double>(accepted);
    const auto recovery = RecoverySeconds(*aOutcome.mExperiment, from, to, end);
    aFields.emplace_back("goodput_during", goodput);
    aFields.emplace_back("late_ratio", late);
    aFields.emplace_back("recovery_seconds", recovery);
    CheckAtLeast(aBounds, "goodput_during", goodput, 0.95);
    CheckAtMost(aBounds, "late_ratio", late, 0.001);
    CheckAtMost(aBounds, "recovery_seconds", recovery, 2);
  });
}

void FaultyWorkers(const Context& aContext)
{
  constexpr double kLoad = 0.7;
  constexpr double kStragglerShare = 0.1;
  constexpr double kFailingShare = 0.04;
  constexpr double kSlowdownFactor = 10;
  Plan plan;
  plan.mWindow = { 0, ScaledTime(aContext, 120) };
  ShortJobStream stream;
  stream.mTasksPerSecond = TasksPerSecond(aContext.mDeployment, kLoad);
  auto random = MakeRandom(aContext);
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  plan.mPreparePlatform = [seed = aContext.mOptions.mSeed](Platform& aPlatform) {
    std::vector<std::uint32_t> order(aPlatform.mWorkers.size());
    for (std::uint32_t n = 0; n < order.size(); ++n) {
      order[n] = n;
    }
    std::mt19937_64 shuffle(seed);
    std::shuffle(order.begin(), order.end(), shuffle);
    const auto stragglerCount =
      static_cast<std::size_t>(kStragglerShare * static_cast<double>(order.size()));
    const auto failing =
      static_cast<std::size_t>(kFailingShare * static_cast<double>(order.size()));
    for (std::size_t n = 0; n < stragglerCount + failing; ++n) {
      aPlatform.mWorkers[order[n]].mFailsAll = n >= stragglerCount;
      aPlatform.mWorkers[order[n]].mSlowdownFactor = n < stragglerCount ? kSlowdownFactor : 1;
    }
  };
  plan.mCapacityShare = 1 - kStragglerShare - kFailingShare;
  RunPolicies(aContext, plan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
    const auto& platform = aOutcome.mExperiment->mPlatform;
    const double lost =
      static_cast<double>(platform.mLostToFailingWorkers) /
      static_cast<double>(std::max<std::uint64_t>(1, aOutcome.mStatistics.mTasks));
    aFields.emplace_back("lost_ratio", lost);
    CheckAtLeast(aBounds, "goodput_ratio", aOutcome.mStatistics.mGoodputRatio, 0.95);
    if (!(lost < 0.005)) {
      aBounds.mMissed.emplace_back("lost_ratio");
    }
  });
}

void Leaving(const Context& aContext)
{
  constexpr double kLoad = 0.5;
  constexpr Micros kLeavingInterval = 2 * kSecond;
  constexpr Micros kLeavingTime = 30 * kSecond;
  Plan plan;
  plan.mWindow = { 0, kWarmUpTime + ScaledTime(aContext, 60) };
  ShortJobStream stream;
  stream.mTasksPerSecond = TasksPerSecond(aContext.mDeployment, kLoad);
  auto random = MakeRandom(aContext);
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  plan.mPreparePlatform = [](Platform& aPlatform) {
    Micros at = kWarmUpTime;
    for (std::size_t n = 0; n < aPlatform.mWorkers.size(); n += 3) {
      aPlatform.mWorkers[n].mLeavingFrom = at;
      aPlatform.mWorkers[n].mUnreachableFrom = at + kLeavingTime;
      at += kLeavingInterval;
    }
  };
  RunPolicies(aContext, plan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
    const auto& platform = aOutcome.mExperiment->mPlatform;
    aFields.emplace_back("starts_after_3s", static_cast<double>(platform.mRequestsAfter3s));
    aFields.emplace_back("cut_off", static_cast<double>(platform.mCutOffTasks));
    CheckAtMost(aBounds, "starts_after_3s", static_cast<double>(platform.mRequestsAfter3s), 0);
    CheckAtMost(aBounds, "cut_off", static_cast<double>(platform.mCutOffTasks), 0);
  });
}

/// Runs a plan and, as a control, the same plan without its interference. Bounds the p99 slowdown
/// of the other jobs by 1.1 times that of the control run.
void RunPairedPlans(const Context& aContext, const Plan& aPlan, const Plan& aControl)
{
  constexpr double kMaxRatio = 1.1;
  for (const auto& policy : aContext.mOptions.mPolicies) {
    ScenarioOptions single = aContext.mOptions;
    single.mPolicies = { policy };
    const Context context{ aContext.mScenario, single, aContext.mDeployment, aContext.mOut };
    const auto controlRun =
      RunPlan(aControl, aContext.mDeployment, policy, aContext.mOptions.mSeed);
    RunPolicies(context, aPlan, [&](const Outcome& aOutcome, Fields& aFields, Bounds& aBounds) {
      aFields.emplace_back("slowdown_p99_without", controlRun.mStatistics.mSlowdownP99);
      CheckAtMost(aBounds,
                  "slowdown_p99",
                  aOutcome.mStatistics.mSlowdownP99,
                  kMaxRatio * controlRun.mStatistics.mSlowdownP99);
    });
  }
}

void CancelWave(const Context& aContext)
{
  constexpr double kLoad = 0.4;
  constexpr std::uint32_t kQueuedTasks = 100000;
  constexpr std::uint32_t kTasksPerJob = 100;
  constexpr std::uint32_t kBatchTeam = 10;
  constexpr std::int64_t kBatchDeadlineMs = 3600000;
  auto random = MakeRandom(aContext);
  Plan plan;
  plan.mTeams = kBatchTeam + 1;
  const Micros wave = kWarmUpTime;
  plan.mWindow = { wave, wave + ScaledTime(aContext, 20) };
  ShortJobStream stream;
  stream.mTasksPerSecond = TasksPerSecond(aContext.mDeployment, kLoad);
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  for (std::uint32_t n = 0; n < kQueuedTasks / kTasksPerJob; ++n) {
    JobLoad job;
    job.mAt = static_cast<Micros>(n) * kMillisecond;
    job.mEntry = n;
    job.mTeam = kBatchTeam;
    job.mKind = "batch";
    job.mDeadlineMs = kBatchDeadlineMs;
    job.mInterfering = true;
    for (std::uint32_t task = 0; task < kTasksPerJob; ++task) {
      job.mTasks.push_back({ DrawShortRun(random), 300, false });
    }
    plan.mJobs.push_back(std::move(job));
  }
  SortByTime(plan.mJobs);
  // Both runs have the queue of batch jobs; only the control run has no cancellations. In both,
  // every batch job is marked as one that its caller may cancel, so that it is submitted in the
  // same way.
  constexpr Micros kNever = std::int64_t{ 1 } << 50;
  Plan control = plan;
  std::uint32_t batch = 0;
  for (std::size_t n = 0; n < plan.mJobs.size(); ++n) {
    if (!plan.mJobs[n].mInterfering) {
      continue;
    }
    control.mJobs[n].mCancelAt = kNever;
    plan.mJobs[n].mCancelAt = batch % 2 == 0 ? wave + batch * kMillisecond : kNever;
    ++batch;
  }
  RunPairedPlans(aContext, plan, control);
}

void Teams(const Context& aContext)
{
  constexpr double kLoad = 0.5;
  constexpr std::uint32_t kTeams = 150;
  constexpr double kExcessFactor = 50;
  auto random = MakeRandom(aContext);
  const auto rate = TasksPerSecond(aContext.mDeployment, kLoad);
  Plan plan;
  plan.mTeams = kTeams;
  plan.mQuotaPerTeam = 2 * rate / kTeams;
  plan.mWindow = { kWarmUpTime, kWarmUpTime + ScaledTime(aContext, 60) };
  ShortJobStream stream;
  stream.mTasksPerSecond = rate;
  stream.mTeams = kTeams - 1;
  AddShortJobs(plan.mJobs, stream, 0, plan.mWindow.mTo, random);
  const Plan control = plan;
  ShortJobStream excess;
  excess.mTasksPerSecond = kExcessFactor * plan.mQuotaPerTeam;
  excess.mTeams = 1;
  excess.mFirstTeam = kTeams - 1;
  const auto others = plan.mJobs.size();
  AddShortJobs(plan.mJobs, excess, kWarmUpTime, plan.mWindow.mTo, random);
  for (std::size_t n = others; n < plan.mJobs.size(); ++n) {
    plan.mJobs[n].mInterfering = true;
  }
  SortByTime(plan.mJobs);
  RunPairedPlans(aContext, plan, control);
}

/// One point of the slopes scenario: the size of a deployment with no load or a low one.
struct DeploymentSize
{
  std::uint32_t mDataCentres = 3;
  std::uint32_t mEntriesEach = 2;
  std::uint32_t mWorkersEach = 17;
  std::uint32_t mTeams = 10;
  std::uint32_t mServices = 1;
  double mTasksPerSecond = 0;
};

/// Bytes in use on the heap. Freed memory stays resident, so resident memory would not show how
/// little a smaller deployment needs that is measured after a larger one.
double HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

Deployment DeploymentOf(const DeploymentSize& aSize)
{
  Deployment deployment;
  for (std::uint32_t n = 0; n < aSize.mDataCentres; ++n) {
    deployment.mDataCentres.push_back("dc" + std::to_string(n));
    deployment.mEntries.push_back(aSize.mEntriesEach);
    deployment.mWorkers.push_back(aSize.mWorkersEach);
  }
  return deployment;
}

void MeasureCost(const Context& aContext, const DeploymentSize& aSize)
{
  constexpr double kMeasuredSeconds = 60;
  const auto deployment = DeploymentOf(aSize);
  std::vector<JobLoad> jobs;
  const auto end = static_cast<Micros>(kMeasuredSeconds * kSecond);
  if (aSize.mTasksPerSecond > 0) {
    ShortJobStream stream;
    stream.mTasksPerSecond = aSize.mTasksPerSecond;
    stream.mTeams = aSize.mTeams;
    auto random = MakeRandom(aContext);
    AddShortJobs(jobs, stream, 0, end, random);
  }
  const auto memory = HeapBytes();
  Experiment experiment;
  experiment.mJobs = &jobs;
  experiment.mTeams = aSize.mTeams;
  experiment.mServices = aSize.mServices;
  experiment.mResults.resize(jobs.size());
  experiment.mClock.mNow = -kStartupTime;
  experiment.mPlatform = MakePlatform(experiment.mClock, deployment, jobs);
  const auto policy = MakeNodePolicy(experiment);
  RunUntil(experiment.mClock, 0);
  ScheduleArrivals(experiment, policy);
  const auto costAtStart = experiment.mCost;
  RunUntil(experiment.mClock, end);
  const double entries = TotalEntries(deployment);
  const auto perSecond = [&](auto Cost::*aField) {
    return static_cast<double>(experiment.mCost.*aField - costAtStart.*aField) / kMeasuredSeconds;
  };
  aContext.mOut << "{\"scenario\":\"slopes\",\"data_centres\":" << aSize.mDataCentres
                << ",\"entries\":" << entries
                << ",\"workers\":" << aSize.mDataCentres * aSize.mWorkersEach
                << ",\"teams\":" << aSize.mTeams << ",\"services\":" << aSize.mServices
                << ",\"tasks_per_second\":" << aSize.mTasksPerSecond
                << ",\"core_fraction_per_entry\":" << perSecond(&Cost::mCoreSeconds) / entries
                << ",\"peer_bytes_per_second_per_entry\":" << perSecond(&Cost::mPeerBytes) / entries
                << ",\"peer_messages_per_second_per_entry\":"
                << perSecond(&Cost::mPeerMessages) / entries
                << ",\"log_appends_per_second\":" << perSecond(&Cost::mLogAppends)
                << ",\"log_bytes_per_second\":" << perSecond(&Cost::mLogBytes)
                << ",\"heap_bytes_per_entry\":" << (HeapBytes() - memory) / entries << "}"
                << std::endl;
  experiment.mClock.mCalls = {};
}

/// Measures the cost of an entry for varying numbers of entries, workers, teams and services and
/// for varying load, one at a time; the last size raises all but the load.
void Slopes(const Context& aContext)
{
  const DeploymentSize base;
  MeasureCost(aContext, base);
  for (const std::uint32_t each : { 1U, 4U, 8U }) {
    DeploymentSize size = base;
    size.mEntriesEach = each;
    MeasureCost(aContext, size);
  }
  for (const std::uint32_t each : { 50U, 125U, 250U }) {
    DeploymentSize size = base;
    size.mWorkersEach = each;
    MeasureCost(aContext, size);
  }
  for (const std::uint32_t teams : { 50U, 150U }) {
    DeploymentSize size = base;
    size.mTeams = teams;
    MeasureCost(aContext, size);
  }
  for (const std::uint32_t services : { 500U, 2000U }) {
    DeploymentSize size = base;
    size.mServices = services;
    MeasureCost(aContext, size);
  }
  for (const double load : { 200.0, 400.0, 800.0 }) {
    DeploymentSize size = base;
    size.mTasksPerSecond = load;
    MeasureCost(aContext, size);
  }
  MeasureCost(aContext, { 6, 4, 250, 150, 2000, 0 });
}

/// Has its own two policies; see mixed_sizes.h.
void MixedSizes(const Context& aContext)
{
  RunMixedSizes(aContext.mOptions.mSeed, aContext.mOptions.mScale, aContext.mOut);
}

struct Scenario
{
  std::string mName;
  void (*mRun)(const Context&);
};

const std::vector<Scenario>& Scenarios()
{
  static const std::vector<Scenario> scenarios{
    { "steady", Steady },
    { "long_mix", LongMix },
    { "burst", Burst },
    { "faulty_workers", FaultyWorkers },
    { "leaving", Leaving },
    { "cancel", CancelWave },
    { "teams", Teams },
    { "slopes", Slopes },
    { "mixed_sizes", MixedSizes },
  };
  return scenarios;
}

Deployment FindDeployment(const std::string& aName)
{
  if (aName == "ironing_baskets") {
    return IroningBaskets();
  }
  return aName == "single" ? SingleEntry() : KiteWinds();
}

} // namespace

std::vector<std::string> ScenarioNames()
{
  std::vector<std::string> names;
  for (const auto& scenario : Scenarios()) {
    names.push_back(scenario.mName);
  }
  return names;
}

bool RunScenario(const std::string& aName, const ScenarioOptions& aOptions, std::ostream& aOut)
{
  const auto deployment = FindDeployment(aOptions.mDeployment);
  for (const auto& scenario : Scenarios()) {
    if (scenario.mName != aName) {
      continue;
    }
    scenario.mRun({ aName, aOptions, deployment, aOut });
    return true;
  }
  return false;
}

} // namespace pollenwall::bench
