#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <pollenwall/time.h>

/// Run times learned from outcomes. No I/O and no clock. Nothing here is thread safe.
namespace pollenwall::run_times {

/// Run times of one population as counts of logarithmic buckets, four to an octave from 1 ms to
/// about 18 minutes (the sketch of DDSketch, Masson et al. 2019, with a relative error of 9%).
/// Counts are halved when they reach a limit, so that old observations decay.
struct Sketch
{
  static constexpr int kBuckets = 81;

  std::array<float, kBuckets> mCounts{};
  float mTotal = 0;
  double mSumSeconds = 0;
  std::uint32_t mObserved = 0;
  std::uint32_t mUntilUpdate = 1; ///< Observations until the values below are computed again.
  Duration mMean{ 0 };
  Duration mMedian{ 0 };
  Duration mUpperQuartile{ 0 };
  Duration mHigh{ 0 }; ///< 95% of the run times are shorter.
};

void Observe(Sketch& aSketch, Duration aRunTime);

/// The geometric middle of the bucket that holds the quantile (0 to 1); 0 when empty.
Duration Quantile(const Sketch& aSketch, double aQuantile);

/// What the queue needs to know of a task before it runs.
struct Estimate
{
  Duration mMean{ 0 };   ///< Work is summed from means.
  Duration mMedian{ 0 }; ///< An upstream is compared by medians.
  Duration mHigh{ 0 };   ///< A deadline is judged by the longest of many tasks, not by the mean.
  bool mLong = false;    ///< Belongs to the long class.
  bool mLearned = false; ///< From outcomes and not from a declaration.
};

/// The run times of one kind of job. A declared time is wrong by a factor, but by a similar one for
/// similar declarations, so outcomes are also kept by the declared time's power of four.
struct Kind
{
  static constexpr int kDeclaredBuckets = 12;

  Sketch mAll;
  std::array<Sketch, kDeclaredBuckets> mByDeclared;
};

/// The kinds of one service. Callers can invent kinds, so all beyond a limit share one entry.
struct Kinds
{
  static constexpr std::size_t kMost = 64;

  std::map<std::string, Kind, std::less<>> mByName;
  Kind mOther;
};

Kind& KindOf(Kinds& aKinds, std::string_view aName);

void Observe(Kind& aKind, Duration aDeclared, Duration aRunTime);

/// Learned from tasks of similar declaration; else the declared time; else learned from all tasks
/// of the kind; else the default. A task is long when at least a quarter of its like run longer
/// than aLongAfter.
Estimate EstimateOf(const Kind& aKind, Duration aDeclared, Duration aDefault, Duration aLongAfter);

} // namespace pollenwall::run_times
