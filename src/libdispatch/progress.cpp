#include <algorithm>
#include <cmath>

#include "state.h"

// What reports of progress tell: runs that stand still or are far slower than others move.

namespace pollenwall::dispatch {
namespace {

using std::chrono::milliseconds;

/// A run whose part has not risen for this long stands still. Reports are rounded to 1%, so this
/// holds for tasks of up to 20 s.
constexpr milliseconds kStalledAfter{ 200 };
/// Least time between two progress reports that show a run's speed, and least part gained. Runs
/// that gain less in the longer time are slow whatever the rounding.
constexpr milliseconds kLeastProjection{ 30 };
constexpr milliseconds kSlowProjection{ 150 };
constexpr double kLeastGain = 0.05;
constexpr double kRounding = 0.01;
/// Tasks of one job differ by about 15%, and workers in speed by up to 1.6 times.
constexpr double kSlowRatio = 3;
/// Tasks of one kind differ more: some take seven times as long.
constexpr double kSlowKindRatio = 4;
/// A task starts elsewhere when that takes this much less than the rest of its run: a stop and a
/// start take some tens of milliseconds.
constexpr milliseconds kMoveCost{ 60 };
constexpr double kFreshMargin = 1.3;

/// The attempt's whole run at its present speed; nothing until that is known.
std::optional<Duration> ProjectedRun(const Attempt& aAttempt, const Now& aNow)
{
  if (!aAttempt.mFirstPart) {
    return std::nullopt;
  }
  const auto elapsed = aNow.mTime - aAttempt.mFirstPartAt;
  const double gained = aAttempt.mPart - *aAttempt.mFirstPart;
  if (elapsed < kLeastProjection || (gained < kLeastGain && elapsed < kSlowProjection)) {
    return std::nullopt;
  }
  return Duration{ std::llround(static_cast<double>(elapsed.count()) /
                                std::max(gained, kRounding)) };
}

/// Stops a run so that its task starts elsewhere.
void Move(Job& aJob, Attempt& aAttempt, std::uint64_t& aCount, Actions& aActions)
{
  ++aCount;
  aAttempt.mMoving = true;
  aJob.mTasks[aAttempt.mTask].mMoved = true;
  aActions.emplace_back(StopTask{ { *aJob.mId, aAttempt.mTask }, aAttempt.mUpstream });
}

/// Decides whether a run is worth its time where it is.
void JudgeProgress(State& aState, Job& aJob, Attempt& aAttempt, const Now& aNow, Actions& aActions)
{
  auto& placement = aState.mPlacement;
  if (aNow.mTime - aAttempt.mPartChanged > kStalledAfter && aAttempt.mFirstPart &&
      aNow.mTime - aAttempt.mFirstPartAt > kStalledAfter / 2) {
    placement::ExcludeSlow(placement, aAttempt.mUpstream, aNow);
    Move(aJob, aAttempt, aState.mCounts.mTasksStalled, aActions);
    return;
  }
  const auto projected = ProjectedRun(aAttempt, aNow);
  if (!projected) {
    return;
  }
  NoteRun(aJob, *projected, aAttempt.mUpstream);
  const auto& task = aJob.mTasks[aAttempt.mTask];
  const auto run = static_cast<double>(projected->count());
  auto fresh = static_cast<double>(aJob.mFastest.count());
  bool slow = aJob.mFastestAt != aAttempt.mUpstream && run > kSlowRatio * fresh;
  if (slow) {
    placement::ExcludeSlow(placement, aAttempt.mUpstream, aNow);
  } else if (aJob.mFastestAt == aAttempt.mUpstream && task.mLearned &&
             run > kSlowKindRatio * static_cast<double>(task.mMedian.count())) {
    // No task of the job runs elsewhere, so other jobs have to confirm it.
    if (!std::exchange(aAttempt.mFoundSlow, true)) {
      placement::CountSlowJob(placement, aAttempt.mUpstream, aJob.mSequence, aNow);
    }
    slow = !placement::IsUsable(placement, aAttempt.mUpstream);
    fresh = static_cast<double>(task.mMedian.count());
  }
  const double rest = run * (1 - aAttempt.mPart);
  if (slow && rest > kFreshMargin * fresh + static_cast<double>(Duration(kMoveCost).count())) {
    Move(aJob, aAttempt, aState.mCounts.mTasksSlow, aActions);
  }
}

} // namespace

void NoteRun(Job& aJob, Duration aRun, UpstreamIndex aUpstream)
{
  if (aJob.mFastest.count() == 0 || aRun < aJob.mFastest) {
    aJob.mFastest = aRun;
    aJob.mFastestAt = aUpstream;
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
  if (task.mSlot == kNone || task.mAttempt != aEvent.mAttempt) {
    return;
  }
  auto& attempt = aState.mAttempts[task.mSlot];
  if (attempt.mUpstream != aEvent.mUpstream || attempt.mStopped || attempt.mMoving) {
    return;
  }
  if (!attempt.mFirstPart) {
    attempt.mFirstPart = aEvent.mPart;
    attempt.mFirstPartAt = aNow.mTime;
  }
  if (aEvent.mPart > attempt.mPart) {
    attempt.mPart = aEvent.mPart;
    attempt.mPartChanged = aNow.mTime;
  }
  if (job.mState == JobState::Running && job.mRestartable) {
    JudgeProgress(aState, job, attempt, aNow, aActions);
  }
}

} // namespace pollenwall::dispatch
