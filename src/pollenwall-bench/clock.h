#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// Virtual time: a queue of timed calls, run in order of time and, at equal times, of scheduling.
namespace pollenwall::bench {

using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

struct Clock
{
  struct Call
  {
    Micros mAt = 0;
    std::uint64_t mSequence = 0;
    std::function<void()> mRun;
  };
  struct Later
  {
    bool operator()(const Call& aOne, const Call& aOther) const
    {
      return aOne.mAt != aOther.mAt ? aOne.mAt > aOther.mAt : aOne.mSequence > aOther.mSequence;
    }
  };

  Micros mNow = 0;
  std::uint64_t mNextSequence = 0;
  std::priority_queue<Call, std::vector<Call>, Later> mCalls;
};

/// Runs the call aDelay from now.
void After(Clock& aClock, Micros aDelay, std::function<void()> aRun);

/// Runs all calls due up to aEnd and leaves the clock there.
void RunUntil(Clock& aClock, Micros aEnd);

} // namespace pollenwall::bench
