#include "leases.h"

#include <algorithm>
#include <cmath>

namespace pollenwall::holding {
namespace {

using std::chrono::milliseconds;

double Milliseconds(Duration aDuration)
{
  return static_cast<double>(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

/// Whether a run that was given up may still be at work.
bool HasUnconfirmedStop(const Session& aSession)
{
  return std::any_of(aSession.mRuns.begin(), aSession.mRuns.end(), [](const auto& aRun) {
    return aRun.second.mStopRequested && !aRun.second.mStopConfirmed;
  });
}

/// What the upstream's clock shows now at least, in ms, if it runs as slow as mMaxClockDrift
/// allows.
double EarliestClock(const Options& aOptions, const Session& aSession, Time aNow)
{
  return static_cast<double>(aSession.mClockMs.value_or(0)) +
         Milliseconds(aNow - aSession.mClockReadBefore) * (1 - aOptions.mMaxClockDrift);
}

/// The end, on this entry's clock, of the longest lease that is given by aTime.
Time LongestLeaseEnd(const Options& aOptions, Time aTime)
{
  const auto longest =
    static_cast<double>(aOptions.mMaxLease.count()) / (1 - aOptions.mMaxClockDrift);
  return aTime + milliseconds(std::llround(std::ceil(longest)));
}

} // namespace

bool IsOfSameProcess(const Options& aOptions,
                     const Session& aSession,
                     std::int64_t aClockMs,
                     Time aSentAt,
                     Time aNow)
{
  constexpr double kRoundingMs = 1;
  const double known = static_cast<double>(aSession.mClockMs.value_or(0));
  const double passed = Milliseconds(aSentAt - aSession.mClockReadBefore);
  const double earliest = known + passed * (passed > 0 ? 1 - aOptions.mMaxClockDrift : 1);
  const double latest = known + Milliseconds(aNow - aSession.mClockReadAfter);
  const double reading = static_cast<double>(aClockMs);
  return reading >= earliest - kRoundingMs && reading <= latest + kRoundingMs;
}

void UpdateClock(Session& aSession, std::optional<std::int64_t> aClockMs, Time aSentAt, Time aNow)
{
  if (aClockMs) {
    aSession.mClockMs = aClockMs;
    aSession.mClockReadAfter = aSentAt;
    aSession.mClockReadBefore = aNow;
  }
}

std::int64_t NextLeaseEnd(const Options& aOptions, Session& aSession, Time aNow)
{
  if (HasUnconfirmedStop(aSession)) {
    return aSession.mSentLeaseEndMs;
  }
  const auto end =
    static_cast<std::int64_t>(EarliestClock(aOptions, aSession, aNow)) + aOptions.mLease.count();
  aSession.mSentLeaseEndMs = std::max(aSession.mSentLeaseEndMs, end);
  aSession.mLeaseEndMs = std::max(aSession.mLeaseEndMs, aSession.mSentLeaseEndMs);
  return aSession.mSentLeaseEndMs;
}

void AssumeLongestLease(const Options& aOptions, Session& aSession)
{
  aSession.mLeaseEndMs =
    std::max(aSession.mLeaseEndMs, aSession.mClockMs.value_or(0) + aOptions.mMaxLease.count());
}

void AssumeLongestUnknownLease(const Options& aOptions, Session& aSession, Time aTime)
{
  aSession.mUnknownLeaseEnd = std::max(aSession.mUnknownLeaseEnd, LongestLeaseEnd(aOptions, aTime));
}

bool IsEachCopyAnswered(const OwnRun& aOwn)
{
  return aOwn.mCopiesPending == 0 && !aOwn.mCopyUnknown;
}

bool MakesLeaseKnown(const Options& aOptions,
                     const OwnRun& aOwn,
                     const PollAnswered& aEvent,
                     bool aListed)
{
  const bool haveCopiesExpired = aEvent.mSentAt >= aOwn.mLastCopyAt + aOptions.mAnswerTimeout;
  return haveCopiesExpired || (aListed && IsEachCopyAnswered(aOwn));
}

bool HasRunOfUnknownLease(const Session& aSession)
{
  return std::any_of(aSession.mRuns.begin(), aSession.mRuns.end(), [](const auto& aRun) {
    return !aRun.second.mLeaseKnown;
  });
}

bool HaveKnownLeasesLapsed(const Options& aOptions, const Session& aSession, Time aNow)
{
  return EarliestClock(aOptions, aSession, aNow) >
         static_cast<double>(aSession.mLeaseEndMs + aOptions.mLapseMargin.count());
}

bool HasRunLapsed(const Options& aOptions, const Session& aSession, const OwnRun& aOwn, Time aNow)
{
  if (aOwn.mLeaseKnown) {
    return true;
  }
  auto end = aSession.mUnknownLeaseEnd;
  if (aOwn.mCopiesPending > 0) {
    end = std::max(end, LongestLeaseEnd(aOptions, aOwn.mLastCopyAt + aOptions.mAnswerTimeout));
  }
  return aNow > end + aOptions.mLapseMargin;
}

} // namespace pollenwall::holding
