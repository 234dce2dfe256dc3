#include <pollenwall/hash.h>

#include <xxhash.h>

namespace pollenwall {

std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t RendezvousWeight(std::string_view aKey, std::uint64_t aNode)
{
  return Hash64(aKey, aNode);
}

} // namespace pollenwall
