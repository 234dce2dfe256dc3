#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include <pollenwall/time.h>

/// What decides whether a job is accepted, and how often a task may be sent again. Plain state and
/// free functions; no I/O and no clock. Nothing here is thread safe.
namespace pollenwall::admission {

/// A token bucket (Turner 1986). A request larger than the bucket is admitted when the bucket is
/// full and leaves it in debt, so that the long-run rate holds for requests of any size.
struct TokenBucket
{
  double mPerSecond = 0;
  double mBurst = 0; ///< Most tokens that an idle bucket holds.
  double mTokens = 0;
  Time mFilled{}; ///< Tokens are counted up to here.
};

/// A full bucket.
TokenBucket MakeTokenBucket(double aPerSecond, double aBurst, Time aNow);

/// Changes rate and size; the fill level in excess of the new size is lost.
void SetLimits(TokenBucket& aBucket, double aPerSecond, double aBurst, Time aNow);

/// Takes tokens when the bucket holds them, or is full.
bool TryTake(TokenBucket& aBucket, double aTokens, Time aNow);

/// Time until the same request would be admitted; nothing when it never is.
std::optional<Duration> TimeUntil(const TokenBucket& aBucket, double aTokens, Time aNow);

/// Limits retries to a ratio of starts, so that a fault of many upstreams cannot multiply the load
/// (the retry budget of Finagle). A slow trickle lets an entry whose starts all fail find out that
/// its upstreams are back.
struct RetryBudget
{
  double mRatio = 0.1;
  double mBurst = 50;
  double mTricklePerSecond = 1;
  double mTokens = 50;
  Time mFilled{};
};

void CountStart(RetryBudget& aBudget);
bool TryRetry(RetryBudget& aBudget, Time aNow);

/// Whether a team may queue more tasks. A team's limit is a multiple of the free room (dynamic
/// thresholds, Choudhury and Hahne 1998): one team alone may fill eight ninths of the queue, and
/// one that floods it leaves room for others.
bool HasRoom(std::size_t aQueued, std::size_t aTeamQueued, std::size_t aTasks, std::size_t aMost);

/// What an estimate of the wait is made from. Work is in slot time: tasks times run time.
struct Backlog
{
  Duration mTeamAhead{ 0 };  ///< Queued work of the job's team that goes first.
  Duration mTotalAhead{ 0 }; ///< Queued work of all teams.
  double mTeamWeight = 1;
  double mActiveWeight = 1; ///< Of all teams with queued work, the job's own included.
  double mSlots = 0;
};

/// Time until slots have been free for the work ahead. A team waits for its own work at its share
/// of the slots, and never longer than for all queued work. Nothing when there are no slots, so
/// that nothing is known.
std::optional<Duration> EstimateWait(const Backlog& aBacklog);

/// A retry-after between one and two times the given time, within 50 ms to 30 s. The jitter keeps
/// refused callers from returning all at once.
std::chrono::milliseconds RetryAfter(Duration aLeast, std::mt19937_64& aRandom);

/// A number from 0 up to 1. The standard distributions differ between libraries; this does not.
double UnitRandom(std::mt19937_64& aRandom);

} // namespace pollenwall::admission
