#include <algorithm>
#include <cmath>

#include "state.h"

// Evaluates progress reports and moves runs that make no progress or are far slower than others.

namespace pollenwall::dispatch {
namespace {

using std::chrono::milliseconds;

/// A run without progress for this time has stalled. Reports are rounded to 1%, so a healthy run of
/// more than 20 s may also report no progress for this time.
constexpr milliseconds kStallTimeout{ 200 };
/// Minimum time and minimum gain between two progress reports for an estimate of a run's speed. A
/// run that gains less within kSlowProjectionTime is slow whatever the rounding.
constexpr milliseconds kMinProjectionTime{ 30 };
constexpr milliseconds kSlowProjectionTime{ 150 };
constexpr double kMinProgressGain = 0.05;
constexpr double kProgressResolution = 0.01;
/// Run times of tasks of one job differ by about 15%, and workers in speed by up to 1.6 times.
constexpr double kSlowRatio = 3;
/// Tasks of one kind differ more: some take seven times as long as others.
constexpr double kSlowKindRatio = 4;
/// A task is moved if a run elsewhere, times kMoveMargin and plus this overhead, takes less than
/// the rest of its current run. A stop and a start take some tens of milliseconds.
constexpr milliseconds kMoveOverhead{ 60 };
constexpr double kMoveMargin = 1.3;

/// The total run time of the attempt at its current speed; nothing until that is known.
std::optional<Duration> ProjectedRun(const Attempt& aAttempt, const Now& aNow)
{
  if (!aAttempt.mFirstFraction) {
    return std::nullopt;
  }
  const auto elapsed = aNow.mTime - aAttempt.mFirstFractionAt;
  const double gained = aAttempt.mDoneFraction - *aAttempt.mFirstFraction;
  if (elapsed < kMinProjectionTime ||
      (gained < kMinProgressGain && elapsed < kSlowProjectionTime)) {
    return std::nullopt;
  }
  return Duration{ std::llround(static_cast<double>(elapsed.count()) /
                                std::max(gained, kProgressResolution)) };
}

/// Stops a run so that its task is retried on another upstream.
void RestartElsewhere(Job& aJob, Attempt& aAttempt, std::uint64_t& aCount, Actions& aActions)
{
  ++aCount;
  aAttempt.mMoving = true;
  aJob.mTasks[aAttempt.mTask].mMoved = true;
  aActions.emplace_back(StopTask{ { *aJob.mId, aAttempt.mTask }, aAttempt.mUpstream });
}

/// Moves the run to another upstream if it stalled or is too slow.
void EvaluateProgress(State& aState,
                      Job& aJob,
                      Attempt& aAttempt,
                      const Now& aNow,
                      Actions& aActions)
{
  auto& placement = aState.mPlacement;
  if (aNow.mTime - aAttempt.mFractionChangedAt > kStallTimeout && aAttempt.mFirstFraction &&
      aNow.mTime - aAttempt.mFirstFractionAt > kStallTimeout / 2) {
    placement::ExcludeSlow(placement, aAttempt.mUpstream, aNow);
    RestartElsewhere(aJob, aAttempt, aState.mCounts.mTasksStalled, aActions);
    return;
  }
  const auto projected = ProjectedRun(aAttempt, aNow);
  if (!projected) {
    return;
  }
  RecordRun(aJob, *projected, aAttempt.mUpstream);
  const auto& task = aJob.mTasks[aAttempt.mTask];
  const auto projectedMicroseconds = static_cast<double>(projected->count());
  auto expectedElsewhere = static_cast<double>(aJob.mShortestRun.count());
  bool slow = aJob.mShortestRunUpstream != aAttempt.mUpstream &&
              projectedMicroseconds > kSlowRatio * expectedElsewhere;
  if (slow) {
    placement::ExcludeSlow(placement, aAttempt.mUpstream, aNow);
  } else if (aJob.mShortestRunUpstream == aAttempt.mUpstream && task.mLearned &&
             projectedMicroseconds > kSlowKindRatio * static_cast<double>(task.mMedian.count())) {
    // No run of this job on another upstream was faster, so another job has to confirm it.
    if (!std::exchange(aAttempt.mSlowCounted, true)) {
      placement::CountSlowJob(placement, aAttempt.mUpstream, aJob.mSequence, aNow);
    }
    slow = !placement::IsUsable(placement, aAttempt.mUpstream);
    expectedElsewhere = static_cast<double>(task.mMedian.count());
  }
  const double remaining = projectedMicroseconds * (1 - aAttempt.mDoneFraction);
  if (slow && remaining > kMoveMargin * expectedElsewhere +
                            static_cast<double>(Duration(kMoveOverhead).count())) {
    RestartElsewhere(aJob, aAttempt, aState.mCounts.mTasksSlow, aActions);
  }
}

} // namespace

void RecordRun(Job& aJob, Duration aRun, UpstreamIndex aUpstream)
{
  if (aJob.mShortestRun.count() == 0 || aRun < aJob.mShortestRun) {
    aJob.mShortestRun = aRun;
    aJob.mShortestRunUpstream = aUpstream;
  }
}

void ApplyProgress(State& aState, const TaskProgress& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mJobByName.find(aEvent.mTask.mJob);
  if (it == aState.mJobByName.end() ||
      aEvent.mTask.mIndex >= aState.mJobs[it->second].mTasks.size()) {
    return;
  }
  auto& job = aState.mJobs[it->second];
  const auto& task = job.mTasks[aEvent.mTask.mIndex];
  if (task.mActiveAttempt == kNone || task.mAttempt != aEvent.mAttempt) {
    return;
  }
  auto& attempt = aState.mAttempts[task.mActiveAttempt];
  if (attempt.mUpstream != aEvent.mUpstream || attempt.mStopped || attempt.mMoving) {
    return;
  }
  if (!attempt.mFirstFraction) {
    attempt.mFirstFraction = aEvent.mDoneFraction;
    attempt.mFirstFractionAt = aNow.mTime;
  }
  if (aEvent.mDoneFraction > attempt.mDoneFraction) {
    attempt.mDoneFraction = aEvent.mDoneFraction;
    attempt.mFractionChangedAt = aNow.mTime;
  }
  if (job.mState == JobState::Running && job.mRestartable) {
    EvaluateProgress(aState, job, attempt, aNow, aActions);
  }
}

} // namespace pollenwall::dispatch
