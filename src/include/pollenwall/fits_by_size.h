#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <pollenwall/placement.h>

/// How many tasks of a few sizes fit on the upstreams of a service now. The sum of the free cores
/// does not tell: an upstream with 16 cores has no room for two tasks of 8.5 cores.
namespace pollenwall::placement {

/// Sizes of tasks in thousandths of a core. Each is the previous one times the square root of two,
/// which covers needs between 2 and 90 cores with an error of at most 41%.
inline constexpr std::array<std::uint32_t, 12> kSizeScale{
  2000, 2828, 4000, 5657, 8000, 11314, 16000, 22627, 32000, 45255, 64000, 90510
};

using FitsBySizeClass = std::array<std::uint32_t, kSizeScale.size()>;

/// The index of the smallest value of kSizeScale that is at least aMilliCores; nothing beyond the
/// last one.
std::optional<std::size_t> SizeClassOf(std::uint32_t aMilliCores);

/// For each value of kSizeScale, how many tasks of that size fit now on the usable upstreams of the
/// service if no others start. Counts free cores and free slots; upstreams that only take probes
/// are left out. All zero for an unknown service.
FitsBySizeClass FitsBySize(const State& aState, ServiceIndex aService);

} // namespace pollenwall::placement
