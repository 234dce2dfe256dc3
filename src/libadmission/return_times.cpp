#include <pollenwall/return_times.h>

#include <algorithm>
#include <cmath>

#include <pollenwall/admission.h>

namespace pollenwall::admission {
namespace {

/// Part of an interval that is kept from jobs for each step of their priority value, and the part
/// that is open to all.
constexpr double kKeptPart = 0.25;
constexpr double kOpenPart = 0.4;
constexpr std::chrono::milliseconds kMinReturn{ 50 };

/// Drops the intervals that have passed.
void Advance(ReturnSchedule& aSchedule, std::int64_t aNow)
{
  const auto passed = std::min<std::int64_t>(aNow - aSchedule.mFirst, ReturnSchedule::kIntervals);
  for (std::int64_t n = 0; n < passed; ++n) {
    const auto ended = static_cast<std::size_t>(aSchedule.mFirst + n);
    aSchedule.mTaken[ended % ReturnSchedule::kIntervals] = 0;
  }
  aSchedule.mFirst = std::max(aSchedule.mFirst, aNow);
}

} // namespace

std::chrono::milliseconds TakeRoom(ReturnSchedule& aSchedule,
                                   double aPerSecond,
                                   double aWork,
                                   std::uint32_t aPriority,
                                   Duration aNotBefore,
                                   std::mt19937_64& aRandom,
                                   Time aNow)
{
  using Milliseconds = std::chrono::milliseconds;
  constexpr auto kIntervals = static_cast<std::int64_t>(ReturnSchedule::kIntervals);
  const Duration interval{ ReturnSchedule::kInterval };
  const auto now = aNow.time_since_epoch();
  Advance(aSchedule, now / interval);
  const auto notBefore = std::max(aNotBefore, Duration{ kMinReturn });
  const double open = std::max(kOpenPart, 1 - kKeptPart * aPriority);
  const double limit = open * aPerSecond * std::chrono::duration<double>(interval).count();
  double left = aWork;
  for (auto n = (now + notBefore) / interval; n < aSchedule.mFirst + kIntervals; ++n) {
    auto& taken = aSchedule.mTaken[static_cast<std::size_t>(n % kIntervals)];
    const double part = std::clamp(limit - taken, 0.0, left);
    taken += part;
    left -= part;
    if (left <= 0) {
      // Within the interval, but not before the earliest time.
      const auto least = std::max(Duration{ n * interval - now }, notBefore);
      const auto most = std::max(Duration{ (n + 1) * interval - now }, least);
      const double at = static_cast<double>(least.count()) +
                        UnitRandom(aRandom) * static_cast<double>((most - least).count());
      return std::chrono::ceil<Milliseconds>(Duration{ std::llround(at) });
    }
  }
  const auto horizon = kIntervals * ReturnSchedule::kInterval;
  const auto least = std::max(horizon / 2, std::chrono::ceil<Milliseconds>(notBefore));
  return least + Milliseconds(
                   std::llround(UnitRandom(aRandom) * static_cast<double>((horizon / 2).count())));
}

} // namespace pollenwall::admission
