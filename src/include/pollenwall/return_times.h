#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <random>

#include <pollenwall/time.h>

/// When refused callers may return. Plain state and free functions; no I/O and no clock. Nothing
/// here is thread safe.
namespace pollenwall::admission {

/// The room that a holder expects to have over the next seconds, and the part of it that has been
/// handed out to refused callers.
struct ReturnSchedule
{
  static constexpr std::chrono::milliseconds kInterval{ 200 };
  static constexpr std::size_t kIntervals = 50;

  std::int64_t mFirst = 0;                 ///< Number of the first interval, counted from time 0.
  std::array<double, kIntervals> mTaken{}; ///< Work handed out, in a ring by interval number.
};

/// Hands out room for a refused job: the first intervals after aNotBefore that have some left.
/// Less urgent jobs may take only a part of each interval, so that callers with more urgent ones
/// that are refused later still find near room. aPerSecond is the room that is expected in a
/// second, aWork the job's work in the same unit. Returns a random time in the last of these
/// intervals; where there is no room, a random time in the second half of the schedule.
std::chrono::milliseconds TakeRoom(ReturnSchedule& aSchedule,
                                   double aPerSecond,
                                   double aWork,
                                   std::uint32_t aPriority,
                                   Duration aNotBefore,
                                   std::mt19937_64& aRandom,
                                   Time aNow);

} // namespace pollenwall::admission
