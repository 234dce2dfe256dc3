#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// Virtual time: a queue of timed calls that run in order of their time; calls at the same time run
/// in the order in which they were scheduled.
namespace pollenwall::bench {

using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

struct Clock
{
  struct TimedCall
  {
    Micros mAt = 0;
    std::uint64_t mSequence = 0;
    std::function<void()> mRun;
  };
  struct Later
  {
    bool operator()(const TimedCall& aOne, const TimedCall& aOther) const
    {
      return aOne.mAt != aOther.mAt ? aOne.mAt > aOther.mAt : aOne.mSequence > aOther.mSequence;
    }
  };

  Micros mNow = 0;
  std::uint64_t mNextSequence = 0;
  std::priority_queue<TimedCall, std::vector<TimedCall>, Later> mCalls;
};

/// Schedules a call aDelay from now.
void ScheduleAfter(Clock& aClock, Micros aDelay, std::function<void()> aRun);

/// Runs all calls that are due up to aEnd and sets the clock to aEnd.
void RunUntil(Clock& aClock, Micros aEnd);

} // namespace pollenwall::bench
