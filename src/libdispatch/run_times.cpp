#include <pollenwall/run_times.h>

#include <algorithm>
#include <cmath>

namespace pollenwall::run_times {
namespace {

constexpr double kBucketsPerOctave = 4;
constexpr float kMaxTotalCount = 512;
/// Observations from which a sketch is preferred to a declaration or default.
constexpr std::uint32_t kMinObservations = 10;
/// From this many observations the cached values are computed only at every 16th one.
constexpr std::uint32_t kEagerUpdateLimit = 64;
constexpr std::uint32_t kUpdateInterval = 16;
constexpr Duration kMaxRunTime = std::chrono::hours(24);

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Duration FromMilliseconds(double aMilliseconds)
{
  return Duration{ std::llround(aMilliseconds * 1000) };
}

int BucketOf(Duration aRunTime)
{
  const double ms = std::max(1.0, Milliseconds(aRunTime));
  return std::min(Sketch::kBuckets - 1, static_cast<int>(std::log2(ms) * kBucketsPerOctave));
}

int DeclaredBucketOf(Duration aDeclared)
{
  const double ms = std::max(1.0, Milliseconds(aDeclared));
  return std::min(Kind::kDeclaredBuckets - 1, static_cast<int>(std::log2(ms) / 2));
}

Estimate EstimateFromSketch(const Sketch& aSketch, Duration aLongAfter)
{
  return {
    aSketch.mMean, aSketch.mMedian, aSketch.mPercentile95, aSketch.mUpperQuartile > aLongAfter, true
  };
}

} // namespace

void Observe(Sketch& aSketch, Duration aRunTime)
{
  const auto runTime = std::clamp(aRunTime, Duration{ 0 }, kMaxRunTime);
  aSketch.mCounts[BucketOf(runTime)] += 1;
  aSketch.mTotal += 1;
  aSketch.mSumSeconds += Milliseconds(runTime) / 1000;
  ++aSketch.mObservations;
  if (aSketch.mTotal >= kMaxTotalCount) {
    for (auto& count : aSketch.mCounts) {
      count /= 2;
    }
    aSketch.mTotal /= 2;
    aSketch.mSumSeconds /= 2;
  }
  if (--aSketch.mObservationsUntilUpdate > 0) {
    return;
  }
  aSketch.mObservationsUntilUpdate =
    aSketch.mObservations < kEagerUpdateLimit ? 1 : kUpdateInterval;
  aSketch.mMean = FromMilliseconds(1000 * aSketch.mSumSeconds / aSketch.mTotal);
  aSketch.mMedian = Quantile(aSketch, 0.5);
  aSketch.mUpperQuartile = Quantile(aSketch, 0.75);
  aSketch.mPercentile95 = Quantile(aSketch, 0.95);
}

Duration Quantile(const Sketch& aSketch, double aQuantile)
{
  if (aSketch.mTotal <= 0) {
    return Duration{ 0 };
  }
  const double rank = aQuantile * aSketch.mTotal;
  double below = 0;
  int last = 0;
  for (int n = 0; n < Sketch::kBuckets; ++n) {
    if (aSketch.mCounts[n] <= 0) {
      continue;
    }
    last = n;
    below += aSketch.mCounts[n];
    if (below >= rank) {
      break;
    }
  }
  return FromMilliseconds(std::exp2((last + 0.5) / kBucketsPerOctave));
}

std::optional<Duration> QuantileBeyond(const Sketch& aSketch, Duration aElapsed, double aQuantile)
{
  const auto valueOf = [](int aBucket) {
    return FromMilliseconds(std::exp2((aBucket + 0.5) / kBucketsPerOctave));
  };
  int first = BucketOf(aElapsed);
  first += first < Sketch::kBuckets && valueOf(first) <= aElapsed ? 1 : 0;
  double total = 0;
  for (int n = first; n < Sketch::kBuckets; ++n) {
    total += aSketch.mCounts[n];
  }
  if (total <= 0) {
    return std::nullopt;
  }
  double below = 0;
  int last = first;
  for (int n = first; n < Sketch::kBuckets && below < aQuantile * total; ++n) {
    below += aSketch.mCounts[n];
    last = n;
  }
  return valueOf(last);
}

const Sketch* SketchOf(const Kind& aKind, Duration aDeclared)
{
  const auto& sketch =
    aDeclared.count() > 0 ? aKind.mByDeclared[DeclaredBucketOf(aDeclared)] : aKind.mAll;
  return sketch.mObservations >= kMinObservations ? &sketch : nullptr;
}

Kind& FindOrAddKind(Kinds& aKinds, std::string_view aName)
{
  if (const auto it = aKinds.mByName.find(aName); it != aKinds.mByName.end()) {
    return it->second;
  }
  if (aKinds.mByName.size() >= Kinds::kMaxKinds) {
    return aKinds.mOther;
  }
  return aKinds.mByName[std::string(aName)];
}

void Observe(Kind& aKind, Duration aDeclared, Duration aRunTime)
{
  Observe(aKind.mAll, aRunTime);
  if (aDeclared.count() > 0) {
    Observe(aKind.mByDeclared[DeclaredBucketOf(aDeclared)], aRunTime);
  }
}

Estimate EstimateOf(const Kind& aKind, Duration aDeclared, Duration aDefault, Duration aLongAfter)
{
  if (aDeclared.count() > 0) {
    const auto& similar = aKind.mByDeclared[DeclaredBucketOf(aDeclared)];
    if (similar.mObservations >= kMinObservations) {
      return EstimateFromSketch(similar, aLongAfter);
    }
    const auto declared = std::min(aDeclared, kMaxRunTime);
    return { declared, declared, declared, declared > aLongAfter, false };
  }
  if (aKind.mAll.mObservations >= kMinObservations) {
    return EstimateFromSketch(aKind.mAll, aLongAfter);
  }
  return { aDefault, aDefault, aDefault, aDefault > aLongAfter, false };
}

} // namespace pollenwall::run_times
