#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include <pollenwall/time.h>

/// Admission control: team quotas, the queue limit, the estimated wait and the retry budget. Plain
/// state and free functions; no I/O and no clock. Nothing here is thread safe.
namespace pollenwall::admission {

/// A token bucket (Turner 1986). A request larger than the bucket is admitted when the bucket is
/// full and leaves it with a negative balance, so that the long-run rate holds for requests of any
/// size.
struct TokenBucket
{
  double mPerSecond = 0;
  double mBurst = 0; ///< The size of the bucket.
  double mTokens = 0;
  Time mRefilledAt{}; ///< The time to which mTokens applies.
};

/// Returns a full bucket.
TokenBucket MakeTokenBucket(double aPerSecond, double aBurst, Time aNow);

/// Changes rate and size. Tokens in excess of the new size are lost; a full bucket stays full.
void SetLimits(TokenBucket& aBucket, double aPerSecond, double aBurst, Time aNow);

/// Takes the tokens if the bucket holds them or is full.
bool TryTake(TokenBucket& aBucket, double aTokens, Time aNow);

/// Time until TryTake would succeed; nothing when it never will.
std::optional<Duration> TimeUntil(const TokenBucket& aBucket, double aTokens, Time aNow);

/// Limits retries to a ratio of starts, so that a fault of many upstreams cannot multiply the load
/// (the retry budget of Finagle). A minimum rate of retries lets an entry whose starts all fail
/// detect that its upstreams have recovered.
struct RetryBudget
{
  double mRatio = 0.1;
  double mBurst = 50;
  double mMinRetriesPerSecond = 1;
  double mTokens = 50;
  Time mRefilledAt{};
};

void CountStart(RetryBudget& aBudget);
bool TryRetry(RetryBudget& aBudget, Time aNow);

/// Whether a team may queue more tasks. A team's limit is a multiple of the queue's free space
/// (dynamic thresholds, Choudhury and Hahne 1998): one team alone may fill eight ninths of the
/// queue, so that there is always space for others.
bool HasRoom(std::size_t aQueued,
             std::size_t aTeamQueued,
             std::size_t aTasks,
             std::size_t aMaxQueued);

/// Input of EstimateWait. Work is in slot time: the sum of the tasks' run times.
struct Backlog
{
  Duration mTeamAhead{ 0 };  ///< Queued work of the job's team that runs before it.
  Duration mTotalAhead{ 0 }; ///< Queued work of all teams.
  double mTeamWeight = 1;
  double mActiveWeight = 1; ///< Summed weights of the teams with queued work and the job's team.
  double mSlots = 0;
};

/// Estimates a job's time in the queue. The team's own work ahead of it is served at the team's
/// share of the slots; the result is never longer than for the queued work of all teams at all
/// slots. Returns nothing without slots.
std::optional<Duration> EstimateWait(const Backlog& aBacklog);

/// A retry-after of one to two times the given time, within 50 ms to 30 s. The jitter prevents
/// refused callers from returning all at once.
std::chrono::milliseconds RetryAfter(Duration aMinimum, std::mt19937_64& aRandom);

/// A uniformly distributed number from 0 to below 1. Unlike the standard distributions it gives the
/// same sequence with every library.
double UnitRandom(std::mt19937_64& aRandom);

} // namespace pollenwall::admission
