#include <algorithm>
#include <cmath>

#include "state.h"

// Whether a job is accepted: what it asks for, and what is queued before it.

namespace pollenwall::dispatch {
namespace {

/// Jobs are refused when this many times their estimated wait does not fit before the deadline. The
/// slots do the same work with a shorter queue, and a job that misses its deadline wastes what was
/// done for it; a queue of a third of a deadline is also gone soon after a burst.
constexpr double kWaitMargin = 3;
/// A few long tasks among many short ones of the same kind do not make all of its jobs hopeless.
constexpr int kMostHighRatio = 4;
/// Time constant with which arrivals are forgotten. Bursts last a few seconds.
constexpr double kInflowSeconds = 0.5;
/// Part of the places that is counted on whatever more urgent work comes: bursts end.
constexpr double kLeastPlacesLeft = 0.2;
/// Tasks of a third to a half of a worker's size leave about this part of it in use.
constexpr double kPackedPart = 0.85;

/// The group for needs that a configured worker meets.
std::uint32_t GroupOf(State& aState, ServiceIndex aService, const Needs& aRounded)
{
  auto& groups = aState.mServices[aService].mGroups;
  const auto it = std::find_if(
    groups.begin(), groups.end(), [&](const Group& aGroup) { return aGroup.mNeeds == aRounded; });
  if (it != groups.end()) {
    return static_cast<std::uint32_t>(it - groups.begin());
  }
  Group group{ aRounded, {} };
  const auto& shapes = aState.mPlacement.mPools[aService].mShapes;
  for (placement::ShapeIndex n = 0; n < shapes.size(); ++n) {
    if (placement::Suits(shapes[n].mCapacity, aRounded)) {
      group.mShapes.push_back(n);
    }
  }
  groups.push_back(std::move(group));
  return static_cast<std::uint32_t>(groups.size() - 1);
}

/// Tasks like the job's that can run at once. Where tasks are bounded by their needs, places are
/// counted in processor time; part of it stays free because tasks do not fill a worker exactly.
double Places(const State& aState, const Job& aJob)
{
  const auto& pool = aState.mPlacement.mPools[aJob.mService];
  if (!aState.mOptions.mHoldsWholeUpstreams || aJob.mMilliCores == 0) {
    return pool.mHealthyCredits;
  }
  const auto room = placement::RoomOf(aState.mPlacement, aJob.mService);
  const double each =
    static_cast<double>(aJob.mMilliCores) / static_cast<double>(aJob.mTasks.size());
  return kPackedPart * static_cast<double>(room.mMilliCores) / each;
}

/// Work that goes before the job's as it arrives, in seconds of run time a second.
double MoreUrgentInflow(const State& aState, const Job& aJob, const Now& aNow)
{
  double sum = 0;
  for (const auto& [priority, inflow] : aState.mServices[aJob.mService].mInflow) {
    const bool first =
      priority < aJob.mPriority || (priority == aJob.mPriority && aJob.mLateness > 0);
    sum += first ? RateNow(inflow, kInflowSeconds, aNow) : 0;
  }
  return sum;
}

/// The estimated wait of a job's tasks of one class, for the queued work of that class and the
/// job's own as far as it is known from outcomes.
Duration WaitOf(const State& aState, const Job& aJob, bool aLong)
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
  const double healthy = Places(aState, aJob);
  // An entry that has no slots of its own lives on borrowed ones.
  const double credits = std::max(healthy - service.mBorrowed, healthy / 2);
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

double RateNow(const DecayingRate& aRate, double aSeconds, const Now& aNow)
{
  const double passed = std::max(0.0, Seconds(aNow.mTime - aRate.mAt));
  return aRate.mPerSecond * std::exp(-passed / aSeconds);
}

void AddToRate(DecayingRate& aRate, double aAmount, double aSeconds, const Now& aNow)
{
  aRate = { RateNow(aRate, aSeconds, aNow) + aAmount / aSeconds, aNow.mTime };
}

Time LateAt(const Job& aJob, Duration aWaited, int aTargets)
{
  return aJob.mAccepted - aWaited + aTargets * aJob.mTarget - aJob.mExpectedRun;
}

void CountInflow(State& aState, const Job& aJob, const Now& aNow)
{
  const Duration work{ aJob.mQueuedWork[0] + aJob.mQueuedWork[1] };
  AddToRate(
    aState.mServices[aJob.mService].mInflow[aJob.mPriority], Seconds(work), kInflowSeconds, aNow);
}

Duration QueueTime(const State& aState, const Job& aJob, const Now& aNow)
{
  const Rank rank{ aJob.mPriority, aJob.mLateness };
  std::int64_t ahead = 0;
  for (const auto& [other, work] : aState.mServices[aJob.mService].mRankedWork) {
    ahead += other <= rank ? work : 0;
  }
  const double places = Places(aState, aJob);
  const double left =
    std::max(kLeastPlacesLeft * places, places - MoreUrgentInflow(aState, aJob, aNow));
  return admission::EstimateWait({ Duration{ ahead }, Duration{ ahead }, 1, 1, left })
    .value_or(Duration{ 0 });
}

void CountDemand(Team& aTeam, std::size_t aTasks, const Now& aNow)
{
  AddToRate(aTeam.mDemand, static_cast<double>(aTasks), kDemandSeconds, aNow);
}

/// What is wrong with a job regardless of load.
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

/// Builds the job's tasks. Nothing when a task suits no configured worker.
std::optional<Job> BuildJob(State& aState, const Submit& aEvent, const Now& aNow)
{
  const auto& spec = aEvent.mJob;
  Job job;
  job.mService = aState.mPlacement.mServices.find(spec.mService)->second;
  job.mTeam = aState.mTeamByName.find(spec.mTeam)->second;
  job.mBodyHash = spec.mBodyHash;
  job.mPriority = spec.mPriority;
  job.mMostFailures = spec.mMostFailures;
  job.mRestartable = spec.mRestartable;
  job.mAccepted = aNow.mTime;
  job.mDeadline = aNow.mTime + spec.mDeadline;
  auto& service = aState.mServices[job.mService];
  job.mKind = &run_times::KindOf(service.mKinds, spec.mKind);
  job.mTasks.resize(spec.mTasks.size());
  for (std::size_t n = 0; n < spec.mTasks.size(); ++n) {
    auto& task = job.mTasks[n];
    const auto& needs = spec.mTasks[n].mNeeds;
    const auto rounded = placement::RoundUp(aState.mPlacement, job.mService, needs);
    if (!rounded) {
      return std::nullopt;
    }
    job.mMilliCores += needs.mMilliCores;
    const auto estimate = run_times::EstimateOf(*job.mKind,
                                                spec.mTasks[n].mDeclaredRun,
                                                service.mSettings.mExpectedRun,
                                                service.mSettings.mLongAfter);
    task.mLong = estimate.mLong;
    task.mLearned = estimate.mLearned;
    task.mMean = std::max(estimate.mMean, Duration{ 1 });
    task.mMedian = estimate.mMedian;
    job.mExpectedRun = std::max(job.mExpectedRun, task.mMedian);
    if (estimate.mLearned) {
      job.mLongest =
        std::max(job.mLongest, std::min(estimate.mHigh, kMostHighRatio * estimate.mMedian));
    }
    // Holds the lane until the slices are made.
    task.mSlice = 2 * GroupOf(aState, job.mService, *rounded) + (task.mLong ? 1 : 0);
    job.mQueuedWork[task.mLong ? 1 : 0] += task.mMean.count();
  }
  if (spec.mTargetStretch > 0) {
    job.mTarget =
      Duration(spec.mTargetSlack) +
      Duration{ std::llround(spec.mTargetStretch * static_cast<double>(job.mExpectedRun.count())) };
  }
  return job;
}

/// What speaks against accepting the job now.
std::optional<Error> CheckLoad(State& aState,
                               const Job& aJob,
                               const JobSpec& aSpec,
                               const Now& aNow)
{
  const auto refuse = [&](ErrorCode aCode, std::string aMessage, Duration aLeast) {
    auto error = MakeError(aCode, Verdict::NotRun, std::move(aMessage));
    error.mRetryAfter = admission::RetryAfter(aLeast, aState.mRandom);
    return error;
  };
  auto& team = aState.mTeams[aJob.mTeam];
  const auto wait = aJob.mTarget.count() > 0
                      ? QueueTime(aState, aJob, aNow)
                      : std::max(WaitOf(aState, aJob, false), WaitOf(aState, aJob, true));
  if (!admission::HasRoom(
        aState.mQueuedTasks, team.mQueued, aSpec.mTasks.size(), aState.mOptions.mMaxQueuedTasks)) {
    return refuse(ErrorCode::Overloaded, "The queue is full.", wait / 4);
  }
  const auto margined = Duration{ std::llround(kWaitMargin * static_cast<double>(wait.count())) };
  if (margined + aJob.mLongest > aSpec.mDeadline) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "The estimated wait is " + std::to_string(wait.count() / 1000) + " ms.",
                  margined + aJob.mLongest - aSpec.mDeadline);
  }
  if (aJob.mTarget.count() > 0 && aNow.mTime + wait > LateAt(aJob, aSpec.mWaited, kFarPastTarget)) {
    return refuse(ErrorCode::DeadlineUnreachable,
                  "The estimated wait of " + std::to_string(wait.count() / 1000) +
                    " ms is too long for the job's target.",
                  wait);
  }
  // Last, because it takes the tokens.
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
