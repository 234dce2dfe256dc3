#include <algorithm>
#include <cmath>

#include "state.h"

// Shortage: shares of a service's capacity while demand exceeds it. See docs/design/shortage.md.

namespace pollenwall::dispatch {
namespace {

using std::chrono::milliseconds;

/// Interval of the ranks of tagged jobs, as a power of two of microseconds: 16 ms, short compared
/// with the time that the shortest jobs can wait.
constexpr int kTagIntervalBits = 14;
/// Part of the time until a job has to start that estimated waits may take. Tasks that run longer
/// than expected delay those behind them.
constexpr double kMaxWaitFraction = 0.8;
/// While the queue is shorter than this, it delays no job past its target, and jobs are admitted
/// beyond their shares.
constexpr milliseconds kShortQueue{ 10 };
/// A queue of at least this length fills all room that its tasks can use.
constexpr milliseconds kFillingQueue{ 30 };
constexpr milliseconds kCapacityInterval{ 100 };
/// Longer waits than any deadline need not be told apart.
constexpr milliseconds kMaxSentWait{ 60000 };
/// Bounds of the fraction of cores in use under a queue, and its time constant. Tasks of two thirds
/// of an upstream leave a third unused; nothing leaves half unused for long.
constexpr double kMinUsedFraction = 0.5;
constexpr double kMaxUsedFraction = 0.95;
constexpr double kUsedFractionSeconds = 5;

/// The time that the queue takes at the capacity of the service.
Duration QueueLength(const State& aState, ServiceIndex aService)
{
  const auto& service = aState.mServices[aService];
  const auto work = service.mQueue.mWork[0] + service.mQueue.mWork[1];
  if (work == 0) {
    return Duration{ 0 };
  }
  const double tasks = std::max(QueuedTaskCapacity(aState, aService), 1e-3);
  return Duration{ std::llround(static_cast<double>(work) / tasks) };
}

/// Measures the capacity of the service: the part of its cores that tasks use while there is a
/// queue, since upstreams are seldom filled exactly.
void UpdateCapacity(State& aState, ServiceIndex aService, const Now& aNow)
{
  auto& service = aState.mServices[aService];
  const auto passed = aNow.mTime - service.mCapacityAt;
  if (service.mShares.mCapacity > 0 && passed < kCapacityInterval) {
    return;
  }
  if (!aState.mOptions.mExclusiveUpstreams) {
    service.mShares.mCapacity = aState.mPlacement.mPools[aService].mHealthyCredits;
    service.mCapacityAt = aNow.mTime;
    return;
  }
  const auto room = placement::RoomOf(aState.mPlacement, aService);
  const auto cores = static_cast<double>(room.mMilliCores) / kMilliCoresPerCore;
  if (service.mShares.mCapacity > 0 && cores > 0 &&
      QueueLength(aState, aService) >= kFillingQueue) {
    const double used = 1 - static_cast<double>(room.mFreeMilliCores) / kMilliCoresPerCore / cores;
    const double part = 1 - std::exp(-std::min(Seconds(passed), 1.0) / kUsedFractionSeconds);
    service.mUsedFraction =
      std::clamp(service.mUsedFraction + part * (used - service.mUsedFraction),
                 kMinUsedFraction,
                 kMaxUsedFraction);
  }
  service.mShares.mCapacity = service.mUsedFraction * cores;
  service.mCapacityAt = aNow.mTime;
}

/// The longest wait after which the job still ends within its target or, without one, its deadline.
Duration SlackOf(const Job& aJob, const JobSpec& aSpec, const Now& aNow)
{
  return aJob.mTarget.count() > 0
           ? LatestStart(aJob, aSpec.mPriorWait, 1) - aNow.mTime
           : aJob.mDeadline - aNow.mTime - std::max(aJob.mLongestRun, aJob.mExpectedRun);
}

/// The time at which the job has to start, in microseconds.
std::int64_t TagOf(const Job& aJob, const JobSpec& aSpec, const Now& aNow)
{
  return Duration(aNow.mTime.time_since_epoch() + SlackOf(aJob, aSpec, aNow)).count();
}

/// Whether each task of the job fits on some upstream now. What waits does not fit there, since
/// free room is used at once.
bool FitsNow(const State& aState, const Job& aJob)
{
  return std::all_of(aJob.mTasks.begin(), aJob.mTasks.end(), [&](const Task& aTask) {
    const auto& group = aState.mServices[aJob.mService].mGroups[aTask.mSlice / 2];
    return placement::HasFreeUpstream(
      aState.mPlacement, aJob.mService, group.mShapes, group.mNeeds);
  });
}

/// Updates the state of the service. When it changes, the queued jobs are reordered.
void UpdateState(State& aState,
                 ServiceIndex aService,
                 bool aJobIsLate,
                 const Now& aNow,
                 Actions& aActions)
{
  auto& shares = aState.mServices[aService].mShares;
  const auto queue = QueueLength(aState, aService);
  if (!admission::UpdateShortage(shares, aJobIsLate, queue, aNow.mTime)) {
    return;
  }
  aActions.emplace_back(
    ShortageChanged{ aState.mPlacement.mPools[aService].mName,
                     shares.mShort,
                     admission::DemandRatio(shares, aNow.mTime) * shares.mCapacity,
                     shares.mCapacity });
  for (auto& job : aState.mJobs) {
    if (job.mId == nullptr || job.mState != JobState::Running || job.mService != aService) {
      continue;
    }
    ChangeTag(
      aState, job, shares.mShort ? std::optional(TagOf(job, *job.mSpec, aNow)) : std::nullopt);
  }
}

} // namespace

double QueuedTaskCapacity(const State& aState, ServiceIndex aService)
{
  const auto& service = aState.mServices[aService];
  const auto& pool = aState.mPlacement.mPools[aService];
  if (!aState.mOptions.mExclusiveUpstreams || service.mQueue.mTasks == 0) {
    return pool.mHealthyCredits;
  }
  const auto queued = static_cast<double>(QueuedMilliCores(aState, pool.mName));
  const auto tasks = static_cast<double>(service.mQueue.mTasks);
  return service.mShares.mCapacity * kMilliCoresPerCore / std::max(queued / tasks, 1.0);
}

Rank RankOf(const Job& aJob)
{
  return aJob.mTag ? Rank{ 0, aJob.mLateness, *aJob.mTag >> kTagIntervalBits }
                   : Rank{ aJob.mPriority, aJob.mLateness, 0 };
}

placement::TaskRank TaskRankOf(const Job& aJob)
{
  const auto rank = RankOf(aJob);
  return { rank.mPriority, rank.mLateness, rank.mTagInterval };
}

void JoinShares(State& aState, Job& aJob, const JobSpec& aSpec, const Now& aNow, Actions& aActions)
{
  auto& shares = aState.mServices[aJob.mService].mShares;
  UpdateCapacity(aState, aJob.mService, aNow);
  aJob.mShare = admission::CountDemand(
    shares, aSpec.mKind, aSpec.mPriority, aSpec.mCallerDataCentre, aJob.mCoreSeconds, aNow.mTime);
  const bool mayBegin =
    !shares.mShort && admission::IsNearCapacity(shares, aNow.mTime) &&
    ParallelCapacity(aState, aJob) >= static_cast<double>(aState.mOptions.mMinSharedPlaces);
  if (shares.mShort || mayBegin) {
    // A job that was late when it came shows nothing about this holder.
    const auto slack = SlackOf(aJob, aSpec, aNow);
    const bool late =
      mayBegin && slack.count() > 0 && EstimateQueueWait(aState, aJob, aNow) > slack;
    UpdateState(aState, aJob.mService, late, aNow, aActions);
  }
  if (!shares.mShort) {
    return;
  }
  admission::DivideIfDue(shares, QueueLength(aState, aJob.mService), aNow.mTime);
  aJob.mTag = TagOf(aJob, aSpec, aNow);
}

std::optional<Error> CheckShare(State& aState,
                                const Job& aJob,
                                const JobSpec& aSpec,
                                const Now& aNow)
{
  const bool isInShare = admission::CreditShare(aJob.mShare);
  const auto slack = SlackOf(aJob, aSpec, aNow);
  const auto wait = EstimateQueueWait(aState, aJob, aNow);
  const auto tasks = static_cast<double>(aJob.mTasks.size());
  const auto own = static_cast<double>(aJob.mQueuedWork[0] + aJob.mQueuedWork[1]);
  // The time between the starts of its first and of its last task. A job that needs more room than
  // there is would otherwise never be admitted.
  const double parallel = std::max(ParallelCapacity(aState, aJob), 1.0);
  const auto spread = std::min(Duration{ std::llround(own * (tasks - 1) / tasks / parallel) },
                               std::max(slack, Duration{ 0 }) / 2);
  const auto refuse = [&](ErrorCode aCode, std::string aMessage) {
    auto error = MakeError(aCode, Verdict::NotRun, std::move(aMessage));
    error.mRetryAfter = ReturnTime(aState, aJob, wait, aNow);
    return error;
  };
  const bool startsSoon = QueueLength(aState, aJob.mService) < kShortQueue || FitsNow(aState, aJob);
  // A job that was submitted before, to a holder that was lost, may be late but still of use.
  const auto latest = aJob.mTarget.count() > 0
                        ? LatestStart(aJob, aSpec.mPriorWait, kFarPastTargetFactor) - aNow.mTime
                        : slack;
  if (spread > (startsSoon ? latest : slack)) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "Demand exceeds the capacity, and the job can no longer end within its target.");
  }
  if (startsSoon) {
    return std::nullopt;
  }
  if (!isInShare) {
    return refuse(ErrorCode::Overloaded,
                  "Demand exceeds the capacity, and the share of the job's kind, size and data "
                  "centre is used up.");
  }
  if (static_cast<double>((wait + spread).count()) >
      kMaxWaitFraction * static_cast<double>(slack.count())) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "Demand exceeds the capacity, and the estimated wait of " +
                    std::to_string(wait.count() / 1000) + " ms is too long for the job's target.");
  }
  return std::nullopt;
}

std::string CountedKind(const State& aState, const JobSpec& aSpec)
{
  const auto it = aState.mPlacement.mServices.find(aSpec.mService);
  return it == aState.mPlacement.mServices.end() || it->second >= aState.mServices.size()
           ? std::string()
           : admission::KindName(aState.mServices[it->second].mShares, aSpec.mKind);
}

bool IsShort(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  return it != aState.mPlacement.mServices.end() && it->second < aState.mServices.size() &&
         aState.mServices[it->second].mShares.mShort;
}

std::chrono::milliseconds ReturnTime(State& aState,
                                     const Job& aJob,
                                     Duration aNotBefore,
                                     const Now& aNow)
{
  auto& service = aState.mServices[aJob.mService];
  if (!service.mShares.mShort) {
    return admission::RetryAfter(aNotBefore, aState.mRandom);
  }
  return admission::TakeRoom(service.mReturns,
                             service.mShares.mGain * service.mShares.mCapacity,
                             aJob.mCoreSeconds,
                             aJob.mPriority,
                             aNotBefore,
                             aState.mRandom,
                             aNow.mTime);
}

std::array<milliseconds, placement::kSizeScale.size()> WaitsBySize(const State& aState,
                                                                   std::string_view aService)
{
  std::array<milliseconds, placement::kSizeScale.size()> waits{};
  const auto it = aState.mPlacement.mServices.find(aService);
  if (it == aState.mPlacement.mServices.end() || it->second >= aState.mServices.size() ||
      !aState.mOptions.mShortageShares) {
    return waits;
  }
  const auto queue = QueueLength(aState, it->second);
  if (queue.count() == 0) {
    return waits;
  }
  const auto& pool = aState.mPlacement.mPools[it->second];
  for (std::size_t n = 0; n < waits.size(); ++n) {
    // The part of the cores that tasks of this size can use.
    double cores = 0;
    double used = 0;
    for (const auto& shape : pool.mShapes) {
      const auto size = shape.mCapacity.mMilliCores;
      cores += static_cast<double>(shape.mConfigured) * size;
      used += static_cast<double>(shape.mConfigured) * (size - size % placement::kSizeScale[n]);
    }
    const double factor =
      used > 0 ? std::max(1.0, aState.mServices[it->second].mUsedFraction * cores / used) : 0;
    const auto wait = std::chrono::duration_cast<milliseconds>(
      Duration{ std::llround(factor * static_cast<double>(queue.count())) });
    waits[n] = used > 0 ? std::min(wait, kMaxSentWait) : kMaxSentWait;
  }
  return waits;
}

void AdvanceShares(State& aState, ServiceIndex aService, const Now& aNow, Actions& aActions)
{
  UpdateCapacity(aState, aService, aNow);
  admission::DivideIfDue(
    aState.mServices[aService].mShares, QueueLength(aState, aService), aNow.mTime);
  UpdateState(aState, aService, false, aNow, aActions);
}

} // namespace pollenwall::dispatch
