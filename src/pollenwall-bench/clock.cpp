#include "clock.h"

#include <utility>

namespace pollenwall::bench {

void ScheduleAfter(Clock& aClock, Micros aDelay, std::function<void()> aRun)
{
  aClock.mCalls.push({ aClock.mNow + aDelay, aClock.mNextSequence++, std::move(aRun) });
}

void RunUntil(Clock& aClock, Micros aEnd)
{
  while (!aClock.mCalls.empty() && aClock.mCalls.top().mAt <= aEnd) {
    auto call = aClock.mCalls.top();
    aClock.mCalls.pop();
    aClock.mNow = call.mAt;
    call.mRun();
  }
  aClock.mNow = aEnd;
}

} // namespace pollenwall::bench
