#include <pollenwall/admission.h>

#include <algorithm>
#include <cmath>

namespace pollenwall::admission {
namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{ 50 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 30000 };
/// A team's limit as a multiple of the free space; 8 lets one team alone use 8/9 of the queue.
constexpr std::size_t kThresholdMultiple = 8;
/// Tolerance for rounding errors, since sums of fractional refills may fall short of the exact
/// value.
constexpr double kRoundingTolerance = 1e-9;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double TokensAt(const TokenBucket& aBucket, Time aNow)
{
  const double elapsed = std::max(0.0, Seconds(aNow - aBucket.mRefilledAt));
  return std::min(aBucket.mBurst, aBucket.mTokens + elapsed * aBucket.mPerSecond);
}

void Refill(TokenBucket& aBucket, Time aNow)
{
  aBucket.mTokens = TokensAt(aBucket, aNow);
  aBucket.mRefilledAt = std::max(aBucket.mRefilledAt, aNow);
}

} // namespace

TokenBucket MakeTokenBucket(double aPerSecond, double aBurst, Time aNow)
{
  return { aPerSecond, aBurst, aBurst, aNow };
}

void SetLimits(TokenBucket& aBucket, double aPerSecond, double aBurst, Time aNow)
{
  Refill(aBucket, aNow);
  // A bucket that was full stays full when its size rises, as for a team that has just appeared.
  const bool full = aBucket.mTokens >= aBucket.mBurst;
  aBucket.mPerSecond = aPerSecond;
  aBucket.mBurst = aBurst;
  aBucket.mTokens = full ? aBurst : std::min(aBucket.mTokens, aBurst);
}

bool TryTake(TokenBucket& aBucket, double aTokens, Time aNow)
{
  Refill(aBucket, aNow);
  if (aBucket.mBurst <= 0 ||
      aBucket.mTokens + kRoundingTolerance < std::min(aTokens, aBucket.mBurst)) {
    return false;
  }
  aBucket.mTokens -= aTokens;
  return true;
}

std::optional<Duration> TimeUntil(const TokenBucket& aBucket, double aTokens, Time aNow)
{
  const double missing = std::min(aTokens, aBucket.mBurst) - TokensAt(aBucket, aNow);
  if (aBucket.mBurst <= 0 || (missing > 0 && aBucket.mPerSecond <= 0)) {
    return std::nullopt;
  }
  if (missing <= 0) {
    return Duration{ 0 };
  }
  // Limited to a year, since the exact value would overflow at very low rates.
  const double seconds = std::min(missing / aBucket.mPerSecond, 365.0 * 86400);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

void CountStart(RetryBudget& aBudget)
{
  aBudget.mTokens = std::min(aBudget.mBurst, aBudget.mTokens + aBudget.mRatio);
}

bool TryRetry(RetryBudget& aBudget, Time aNow)
{
  const double elapsed = std::max(0.0, Seconds(aNow - aBudget.mRefilledAt));
  aBudget.mTokens =
    std::min(aBudget.mBurst, aBudget.mTokens + elapsed * aBudget.mMinRetriesPerSecond);
  aBudget.mRefilledAt = std::max(aBudget.mRefilledAt, aNow);
  if (aBudget.mTokens + kRoundingTolerance < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

bool HasRoom(std::size_t aQueued,
             std::size_t aTeamQueued,
             std::size_t aTasks,
             std::size_t aMaxQueued)
{
  if (aQueued + aTasks > aMaxQueued) {
    return false;
  }
  return aTeamQueued + aTasks <= kThresholdMultiple * (aMaxQueued - aQueued);
}

std::optional<Duration> EstimateWait(const Backlog& aBacklog)
{
  if (aBacklog.mSlots <= 0 || aBacklog.mTeamWeight <= 0) {
    return std::nullopt;
  }
  const double share = std::max(1.0, aBacklog.mActiveWeight / aBacklog.mTeamWeight);
  const double ahead = std::min(static_cast<double>(aBacklog.mTeamAhead.count()) * share,
                                static_cast<double>(aBacklog.mTotalAhead.count()));
  return Duration{ std::llround(ahead / aBacklog.mSlots) };
}

std::chrono::milliseconds RetryAfter(Duration aMinimum, std::mt19937_64& aRandom)
{
  const auto least = std::chrono::duration_cast<std::chrono::milliseconds>(aMinimum);
  const double ms = static_cast<double>(std::clamp(least, kMinRetryAfter, kMaxRetryAfter).count()) *
                    (1 + UnitRandom(aRandom));
  return std::min(kMaxRetryAfter, std::chrono::milliseconds(std::llround(ms)));
}

double UnitRandom(std::mt19937_64& aRandom)
{
  constexpr int kDroppedBits = 11; // A double holds 53 bits.
  return static_cast<double>(aRandom() >> kDroppedBits) * 0x1.0p-53;
}

} // namespace pollenwall::admission
