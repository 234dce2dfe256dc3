#pragma once

#include <chrono>
#include <cstdint>

/// Time in the decision core: each event carries the readings of both clocks; the core reads no
/// clock.
namespace pollenwall {

using Duration = std::chrono::microseconds;

/// The monotonic clock of a process. Its times are not comparable between processes.
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

/// The readings of both clocks at an event.
struct Now
{
  Time mTime{};       ///< Monotonic; used for every timeout.
  UnixMs mUnixMs = 0; ///< Wall clock; may differ between processes by the configured skew.

  friend bool operator==(const Now&, const Now&) = default;
};

} // namespace pollenwall
