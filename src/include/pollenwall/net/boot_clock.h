#pragma once

#include <ctime>

#include <pollenwall/time.h>

namespace pollenwall::net {

/// Reads the monotonic clock. Unlike the steady clock, it includes time during which the machine is
/// suspended, as the expiry of leases does.
inline Time ReadBootClock()
{
  timespec boot{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto time = std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
  return Time(std::chrono::duration_cast<Duration>(time));
}

} // namespace pollenwall::net
