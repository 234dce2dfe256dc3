#pragma once

#include <cstdint>
#include <iosfwd>

namespace pollenwall::bench {

/// Runs one holder of upstreams of 16 and 24 cores on tasks of about 8 cores at 70, 90 and 110% of
/// its capacity, with look-ahead off and on and the same arrivals. Writes a JSON line for each run
/// with waits and served shares by kind of job and by size of task.
void RunMixedSizes(std::uint64_t aSeed, double aScale, std::ostream& aOut);

} // namespace pollenwall::bench
