#include <pollenwall/fits_by_size.h>

#include <algorithm>

namespace pollenwall::placement {

std::optional<std::size_t> SizeClassOf(std::uint32_t aMilliCores)
{
  const auto* const it = std::lower_bound(kSizeScale.begin(), kSizeScale.end(), aMilliCores);
  if (it == kSizeScale.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - kSizeScale.begin());
}

FitsBySizeClass FitsBySize(const State& aState, ServiceIndex aService)
{
  FitsBySizeClass fits{};
  if (aService >= aState.mPools.size()) {
    return fits;
  }
  for (const auto& shape : aState.mPools[aService].mShapes) {
    const auto cores = shape.mCapacity.mMilliCores;
    for (const auto index : shape.mFree) {
      const auto& upstream = aState.mUpstreams[index];
      if (!IsUsable(aState, index)) {
        continue;
      }
      const auto slots = upstream.mHalfOpen ? 1 : upstream.mCredits - upstream.mRunning;
      const auto used = aState.mOptions.mExclusiveUpstreams ? upstream.mUsed.mMilliCores : 0;
      const auto room = cores - std::min(cores, used);
      for (std::size_t n = 0; n < kSizeScale.size() && kSizeScale[n] <= room; ++n) {
        // Without exclusive use the running tasks' needs are unknown, so only the slots count.
        const auto byRoom = aState.mOptions.mExclusiveUpstreams ? room / kSizeScale[n] : slots;
        fits[n] += std::min(slots, byRoom);
      }
    }
  }
  return fits;
}

} // namespace pollenwall::placement
