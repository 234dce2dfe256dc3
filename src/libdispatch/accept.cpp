#include <algorithm>
#include <cmath>

#include "state.h"

// Admission: checks of a job's specification, and estimates of its wait.

namespace pollenwall::dispatch {
namespace {

/// A job is refused when its estimated wait times this factor exceeds the time to its deadline. A
/// shorter queue does not reduce throughput, a job that misses its deadline wastes the work done
/// for it, and a queue of a third of a deadline drains soon after a burst.
constexpr double kWaitMarginFactor = 3;
/// Bounds the 95th percentile of a kind's run times to this multiple of its median, so that a few
/// long tasks among many short ones do not get all jobs of the kind refused.
constexpr int kMaxHighToMedianRatio = 4;
/// Time constant of the decay of the inflow; short compared with bursts, which last a few seconds.
constexpr double kInflowDecaySeconds = 0.5;
/// Fraction of the capacity that is assumed to be available however much more urgent work arrives,
/// because bursts end.
constexpr double kMinCapacityFraction = 0.2;
/// Fraction of a worker's millicores that is in use when it is full. This is about the value for
/// tasks that need a third to a half of a worker.
constexpr double kPackingEfficiency = 0.85;
/// Groups of needs that a service keeps without jobs; more than the needs of ordinary callers have
/// distinct values.
constexpr std::uint32_t kMaxUnusedGroups = 512;
/// Memory of a job beside its record and its tasks: its id, nodes of tables, slices, timers.
constexpr std::size_t kJobOverheadBytes = 512;
/// The memory for jobs is freed by jobs that end, which are short.
constexpr std::chrono::milliseconds kMemoryRetryAfter{ 200 };

/// Whether the group can stand for other needs: no job refers to it, not even the one that is being
/// built.
bool IsUnused(const State& aState, const Service& aService, std::uint32_t aGroup)
{
  const auto& group = aService.mGroups[aGroup];
  return group.mSlices == 0 && group.mUsedFor != aState.mBuiltJobs &&
         std::none_of(aService.mReservations.begin(),
                      aService.mReservations.end(),
                      [aGroup](const auto& aRecord) { return aRecord.mLane / 2 == aGroup; });
}

/// The index of a group to be filled: an unused one if there are many, otherwise a new one.
std::uint32_t TakeGroup(const State& aState, Service& aService)
{
  const auto count = static_cast<std::uint32_t>(aService.mGroups.size());
  for (std::uint32_t n = 0; count >= kMaxUnusedGroups && n < count; ++n) {
    if (!IsUnused(aState, aService, n)) {
      continue;
    }
    aService.mNoReservationBefore.erase(2 * n);
    aService.mNoReservationBefore.erase(2 * n + 1);
    return n;
  }
  aService.mGroups.emplace_back();
  return count;
}

/// The index of the group with these rounded needs, which a configured worker must meet. Callers
/// choose the needs, so groups without jobs are used again.
std::uint32_t FindOrAddGroup(State& aState, ServiceIndex aService, const Needs& aRounded)
{
  auto& service = aState.mServices[aService];
  auto& groups = service.mGroups;
  const auto it = std::find_if(groups.begin(), groups.end(), [&](const NeedsGroup& aGroup) {
    return aGroup.mNeeds == aRounded;
  });
  if (it != groups.end()) {
    it->mUsedFor = aState.mBuiltJobs;
    return static_cast<std::uint32_t>(it - groups.begin());
  }
  NeedsGroup group{ aRounded, {}, 0, aState.mBuiltJobs };
  const auto& shapes = aState.mPlacement.mPools[aService].mShapes;
  for (placement::ShapeIndex n = 0; n < shapes.size(); ++n) {
    if (placement::MeetsNeeds(shapes[n].mCapacity, aRounded)) {
      group.mShapes.push_back(n);
    }
  }
  const auto n = TakeGroup(aState, service);
  groups[n] = std::move(group);
  return n;
}

/// Inflow of work that is served before the job, in seconds of run time per second.
double MoreUrgentInflow(const State& aState, const Job& aJob, const Now& aNow)
{
  double sum = 0;
  for (const auto& [priority, inflow] : aState.mServices[aJob.mService].mInflow) {
    const bool first =
      priority < aJob.mPriority || (priority == aJob.mPriority && aJob.mLateness > 0);
    sum += first ? RateNow(inflow, kInflowDecaySeconds, aNow) : 0;
  }
  return sum;
}

/// Estimates the wait of a job's tasks of one class from the queued work of that class and the
/// job's own work, as far as that is known from outcomes.
Duration EstimateClassWait(const State& aState, const Job& aJob, bool aLong)
{
  const auto& queue = aState.mServices[aJob.mService].mQueue;
  const auto& team = queue.mTeams[aJob.mTeam];
  Duration own{ 0 };
  bool hasTasks = false;
  for (const auto& task : aJob.mTasks) {
    hasTasks |= task.mLong == aLong;
    own += task.mLong == aLong && task.mLearned ? task.mMean : Duration{ 0 };
  }
  if (!hasTasks) {
    return Duration{ 0 };
  }
  const auto n = aLong ? 1 : 0;
  const auto& service = aState.mServices[aJob.mService];
  const double capacity = ParallelCapacity(aState, aJob);
  // An entry without slots of its own runs on borrowed ones, so half of all slots always count.
  const double credits = std::max(capacity - service.mBorrowed, capacity / 2);
  const auto longRunning = static_cast<double>(service.mRunning[1]);
  const auto slots = aLong
                       ? std::min(credits, static_cast<double>(LongLimit(aState, aJob.mService)))
                       : credits - std::min(longRunning, credits / 2);
  const admission::Backlog backlog{ Duration{ team.mWork[n] } + own,
                                    Duration{ queue.mWork[n] } + own,
                                    team.mWeight,
                                    queue.mActiveWeight + (team.mTasks > 0 ? 0 : team.mWeight),
                                    slots };
  return admission::EstimateWait(backlog).value_or(Duration{ 0 });
}

} // namespace

double ParallelCapacity(const State& aState, const Job& aJob)
{
  const auto& pool = aState.mPlacement.mPools[aJob.mService];
  if (!aState.mOptions.mExclusiveUpstreams || aJob.mMilliCores == 0) {
    return pool.mHealthyCredits;
  }
  const double efficiency =
    aJob.mTag ? aState.mServices[aJob.mService].mUsedFraction : kPackingEfficiency;
  const auto room = placement::RoomOf(aState.mPlacement, aJob.mService);
  const double milliCoresPerTask =
    static_cast<double>(aJob.mMilliCores) / static_cast<double>(aJob.mTasks.size());
  return efficiency * static_cast<double>(room.mMilliCores) / milliCoresPerTask;
}

double RateNow(const DecayingRate& aRate, double aSeconds, const Now& aNow)
{
  return admission::RateAt(aRate, aSeconds, aNow.mTime);
}

void AddToRate(DecayingRate& aRate, double aAmount, double aSeconds, const Now& aNow)
{
  admission::AddArrival(aRate, aAmount, aSeconds, aNow.mTime);
}

Time LatestStart(const Job& aJob, Duration aWaited, int aTargetMultiple)
{
  return aJob.mAccepted - aWaited + aTargetMultiple * aJob.mTarget - aJob.mExpectedRun;
}

void CountInflow(State& aState, const Job& aJob, const Now& aNow)
{
  const Duration work{ aJob.mQueuedWork[0] + aJob.mQueuedWork[1] };
  AddToRate(aState.mServices[aJob.mService].mInflow[aJob.mPriority],
            Seconds(work),
            kInflowDecaySeconds,
            aNow);
}

Duration EstimateQueueWait(const State& aState, const Job& aJob, const Now& aNow)
{
  const auto rank = RankOf(aJob);
  std::int64_t ahead = 0;
  for (const auto& [other, work] : aState.mServices[aJob.mService].mQueuedWorkByRank) {
    ahead += other <= rank ? work : 0;
  }
  const double capacity =
    aJob.mTag ? QueuedTaskCapacity(aState, aJob.mService) : ParallelCapacity(aState, aJob);
  // In a shortage, a late job is behind all later work that can end in time.
  const double inflow =
    aJob.mTag && aJob.mLateness > 0 ? capacity : MoreUrgentInflow(aState, aJob, aNow);
  const double available = std::max(kMinCapacityFraction * capacity, capacity - inflow);
  return admission::EstimateWait({ Duration{ ahead }, Duration{ ahead }, 1, 1, available })
    .value_or(Duration{ 0 });
}

void CountDemand(Team& aTeam, std::size_t aTasks, const Now& aNow)
{
  AddToRate(aTeam.mDemand, static_cast<double>(aTasks), kDemandDecaySeconds, aNow);
}

std::optional<Error> CheckSpec(const State& aState, const JobSpec& aSpec)
{
  const auto refuse = [](ErrorCode aCode, std::string aMessage) {
    return MakeError(aCode, Verdict::NotRun, std::move(aMessage));
  };
  const auto service = aState.mPlacement.mServices.find(aSpec.mService);
  if (service == aState.mPlacement.mServices.end() || service->second >= aState.mServices.size() ||
      !aState.mServices[service->second].mConfigured) {
    return refuse(ErrorCode::UnknownService, "The service is not configured.");
  }
  const auto& settings = aState.mServices[service->second].mSettings;
  const auto team = aState.mTeamByName.find(aSpec.mTeam);
  if (team == aState.mTeamByName.end() || !aState.mTeams[team->second].mConfigured) {
    return refuse(ErrorCode::UnknownTeam, "The team has no quota.");
  }
  if (!settings.mKinds.empty() &&
      std::find(settings.mKinds.begin(), settings.mKinds.end(), aSpec.mKind) ==
        settings.mKinds.end()) {
    return refuse(ErrorCode::BadRequest, "The service has no such kind.");
  }
  if (aSpec.mId.empty() || aSpec.mTasks.empty()) {
    return refuse(ErrorCode::BadRequest, "The job has no id or no tasks.");
  }
  if (aSpec.mTasks.size() > aState.mOptions.mMaxTasksPerJob) {
    return refuse(ErrorCode::TooLarge,
                  "The job has more than " + std::to_string(aState.mOptions.mMaxTasksPerJob) +
                    " tasks.");
  }
  if (aSpec.mDeadline.count() <= 0 || aSpec.mDeadline > settings.mMaxDeadline) {
    return refuse(ErrorCode::BadRequest,
                  "The deadline is not within 1 and " +
                    std::to_string(settings.mMaxDeadline.count()) + " ms.");
  }
  return std::nullopt;
}

std::size_t JobBytes(const JobSpec& aSpec)
{
  std::size_t bytes = sizeof(Job) + sizeof(JobSpec) + kJobOverheadBytes +
                      aSpec.mTasks.size() * (sizeof(Task) + sizeof(TaskSpec));
  const std::string* last = nullptr;
  for (const auto& task : aSpec.mTasks) {
    const auto* text = &task.mPayload.Text();
    bytes += text == last ? 0 : text->size();
    last = text;
  }
  return bytes;
}

std::size_t EndedJobBytes(const Job& aJob)
{
  return sizeof(Job) + kJobOverheadBytes + aJob.mAnswer.mTasks.size() * sizeof(TaskAnswer);
}

std::optional<Error> CheckMemory(State& aState, const Submit& aEvent, const Now& aNow)
{
  const auto& options = aState.mOptions;
  const auto bytes = JobBytes(aEvent.mJob);
  if (bytes > options.mMaxJobBytes) {
    return MakeError(
      ErrorCode::TooLarge, Verdict::NotRun, "The job exceeds the memory for all jobs.");
  }
  std::optional<Error> error;
  if (aState.mJobBytes + bytes > options.mMaxJobBytes) {
    error = MakeError(ErrorCode::Overloaded, Verdict::NotRun, "The memory for jobs is used up.");
    error->mRetryAfter = admission::RetryAfter(kMemoryRetryAfter, aState.mRandom);
  } else if (aEvent.mCanRepeat && !aState.mEndedJobs.empty() &&
             aState.mEndedJobBytes >= options.mMaxEndedJobBytes) {
    error = MakeError(
      ErrorCode::Overloaded, Verdict::NotRun, "The memory for answers of ended jobs is used up.");
    error->mRetryAfter =
      admission::RetryAfter(aState.mEndedJobs.front().mAt - aNow.mTime, aState.mRandom);
  }
  return error;
}

std::optional<Job> BuildJob(State& aState, const Submit& aEvent, const Now& aNow)
{
  const auto& spec = aEvent.mJob;
  ++aState.mBuiltJobs;
  Job job;
  job.mService = aState.mPlacement.mServices.find(spec.mService)->second;
  job.mTeam = aState.mTeamByName.find(spec.mTeam)->second;
  job.mBodyHash = spec.mBodyHash;
  job.mCanRepeat = aEvent.mCanRepeat;
  job.mPriority = spec.mPriority;
  job.mMaxFailures = spec.mMaxFailures;
  job.mRestartable = spec.mRestartable;
  job.mAccepted = aNow.mTime;
  job.mDeadline = aNow.mTime + spec.mDeadline;
  auto& service = aState.mServices[job.mService];
  job.mKind = &run_times::FindOrAddKind(service.mKinds, spec.mKind);
  job.mTasks.resize(spec.mTasks.size());
  for (std::size_t n = 0; n < spec.mTasks.size(); ++n) {
    auto& task = job.mTasks[n];
    const auto& needs = spec.mTasks[n].mNeeds;
    const auto rounded = placement::RoundUp(aState.mPlacement, job.mService, needs);
    if (!rounded) {
      return std::nullopt;
    }
    const auto estimate = run_times::EstimateOf(*job.mKind,
                                                spec.mTasks[n].mDeclaredRunTime,
                                                service.mSettings.mExpectedRun,
                                                service.mSettings.mLongAfter);
    task.mLong = estimate.mLong;
    task.mLearned = estimate.mLearned;
    task.mMean = std::max(estimate.mMean, Duration{ 1 });
    job.mMilliCores += needs.mMilliCores;
    // Capacity is in slots instead of cores where upstreams are bound by slots.
    const double cores = aState.mOptions.mExclusiveUpstreams && needs.mMilliCores > 0
                           ? static_cast<double>(needs.mMilliCores) / kMilliCoresPerCore
                           : 1;
    job.mCoreSeconds += cores * Seconds(task.mMean);
    task.mMedian = estimate.mMedian;
    job.mExpectedRun = std::max(job.mExpectedRun, task.mMedian);
    if (estimate.mLearned) {
      job.mLongestRun =
        std::max(job.mLongestRun,
                 std::min(estimate.mPercentile95, kMaxHighToMedianRatio * estimate.mMedian));
    }
    // Temporarily the lane; EnqueueJob replaces it by the index of the slice.
    task.mSlice = 2 * FindOrAddGroup(aState, job.mService, *rounded) + (task.mLong ? 1 : 0);
    job.mQueuedWork[task.mLong ? 1 : 0] += task.mMean.count();
  }
  if (spec.mTargetStretch > 0) {
    job.mTarget =
      Duration(spec.mTargetSlack) +
      Duration{ std::llround(spec.mTargetStretch * static_cast<double>(job.mExpectedRun.count())) };
  }
  return job;
}

std::optional<Error> CheckLoad(State& aState,
                               const Job& aJob,
                               const JobSpec& aSpec,
                               const Now& aNow)
{
  const auto refuse = [&](ErrorCode aCode, std::string aMessage, Duration aMinDelay) {
    auto error = MakeError(aCode, Verdict::NotRun, std::move(aMessage));
    error.mRetryAfter = admission::RetryAfter(aMinDelay, aState.mRandom);
    return error;
  };
  auto& team = aState.mTeams[aJob.mTeam];
  const auto wait = aJob.mTarget.count() > 0 ? EstimateQueueWait(aState, aJob, aNow)
                                             : std::max(EstimateClassWait(aState, aJob, false),
                                                        EstimateClassWait(aState, aJob, true));
  if (!admission::HasRoom(
        aState.mQueuedTasks, team.mQueued, aSpec.mTasks.size(), aState.mOptions.mMaxQueuedTasks)) {
    return refuse(ErrorCode::Overloaded, "The queue is full.", wait / 4);
  }
  if (aJob.mTag) {
    if (auto error = CheckShare(aState, aJob, aSpec, aNow)) {
      return error;
    }
  }
  const auto waitWithMargin =
    Duration{ std::llround(kWaitMarginFactor * static_cast<double>(wait.count())) };
  if (waitWithMargin + aJob.mLongestRun > aSpec.mDeadline) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "The estimated wait is " + std::to_string(wait.count() / 1000) + " ms.",
                  waitWithMargin + aJob.mLongestRun - aSpec.mDeadline);
  }
  if (aJob.mTarget.count() > 0 &&
      aNow.mTime + wait > LatestStart(aJob, aSpec.mPriorWait, kFarPastTargetFactor)) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "The estimated wait of " + std::to_string(wait.count() / 1000) +
                    " ms is too long for the job's target.",
                  wait);
  }
  // The last check, because it consumes tokens.
  const auto tasks = static_cast<double>(aSpec.mTasks.size());
  if (!admission::TryTake(team.mQuota, tasks, aNow.mTime)) {
    const auto until = admission::TimeUntil(team.mQuota, tasks, aNow.mTime);
    return refuse(ErrorCode::QuotaExceeded,
                  "The team's quota of task starts is used up.",
                  until.value_or(Duration::max()));
  }
  return std::nullopt;
}

} // namespace pollenwall::dispatch
