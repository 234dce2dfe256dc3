#pragma once

#include <chrono>
#include <cstdint>

/// Time as the decision core sees it: both clocks are handed in with each event, never read.
namespace pollenwall {

using Duration = std::chrono::microseconds;

/// A point of a process's own monotonic clock. Not comparable between processes.
struct MonotonicClock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using Time = MonotonicClock::time_point;

/// Milliseconds of wall-clock time since the Unix epoch, as sent between processes.
using UnixMs = std::int64_t;

/// The two readings that go with an event.
struct Now
{
  Time mTime{};       ///< Monotonic; every timeout is measured on it.
  UnixMs mUnixMs = 0; ///< Wall clock; may differ between processes by the configured skew.

  friend bool operator==(const Now&, const Now&) = default;
};

} // namespace pollenwall
