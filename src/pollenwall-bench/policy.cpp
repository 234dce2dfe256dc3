#include "policy.h"

#include <algorithm>

namespace pollenwall::bench {
namespace {

constexpr std::uint32_t kMaxSubmissions = 3;
constexpr std::chrono::milliseconds kDefaultRetryAfter{ 1000 };

} // namespace

void RecordAnswer(Experiment& aExperiment, std::uint32_t aJob, bool aComplete)
{
  auto& result = aExperiment.mResults[aJob];
  if (result.mAnsweredAt >= 0) {
    return;
  }
  result.mAnsweredAt = aExperiment.mClock.mNow + aExperiment.mPlatform.mDeployment.mCallerLatency;
  result.mComplete = aComplete;
}

void HandleRefusal(Experiment& aExperiment,
                   const Policy& aPolicy,
                   std::uint32_t aJob,
                   std::optional<std::chrono::milliseconds> aRetryAfter)
{
  auto& result = aExperiment.mResults[aJob];
  const auto& deployment = aExperiment.mPlatform.mDeployment;
  const auto deadline = result.mSentAt + (*aExperiment.mJobs)[aJob].mDeadlineMs * kMillisecond;
  const auto wait = aRetryAfter.value_or(kDefaultRetryAfter).count() * kMillisecond;
  const auto again = aExperiment.mClock.mNow + 2 * deployment.mCallerLatency + wait;
  if (++result.mAttempts >= kMaxSubmissions || again >= deadline) {
    result.mRefused = true;
    result.mAnsweredAt = aExperiment.mClock.mNow + deployment.mCallerLatency;
    return;
  }
  ScheduleAfter(aExperiment.mClock, again - aExperiment.mClock.mNow, [&aPolicy, aJob] {
    aPolicy.mSubmit(aJob);
  });
}

} // namespace pollenwall::bench
