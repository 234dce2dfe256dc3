#pragma once

#include <cstdint>
#include <string_view>

namespace pollenwall {

/// XXH3, 64 bits: the same value in every process and on every machine.
std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/// The weight of a node for a key in rendezvous (highest random weight) hashing, Thaler and
/// Ravishankar 1998. The node with the highest weight owns the key; removing another node does not
/// move the key.
std::uint64_t RendezvousWeight(std::string_view aKey, std::uint64_t aNode);

} // namespace pollenwall
