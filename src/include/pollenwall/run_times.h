#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <pollenwall/time.h>

/// Estimates run times from outcomes. No I/O and no clock. Nothing here is thread safe.
namespace pollenwall::run_times {

/// A histogram of run times with logarithmic buckets, four to an octave from 1 ms to about 18
/// minutes (as in DDSketch, Masson et al. 2019; its relative error is 9%). All counts are halved
/// when their sum reaches a limit, so that old observations decay.
struct Sketch
{
  static constexpr int kBuckets = 81;

  std::array<float, kBuckets> mCounts{};
  float mTotal = 0;
  double mSumSeconds = 0;
  std::uint32_t mObservations = 0;
  std::uint32_t mObservationsUntilUpdate = 1; ///< Until the values below are next computed.
  Duration mMean{ 0 };
  Duration mMedian{ 0 };
  Duration mUpperQuartile{ 0 };
  Duration mPercentile95{ 0 }; ///< The 95th percentile.
};

void Observe(Sketch& aSketch, Duration aRunTime);

/// The geometric mean of the limits of the bucket that holds the quantile (0 to 1); 0 when empty.
Duration Quantile(const Sketch& aSketch, double aQuantile);

/// As Quantile, of the observations that are longer than aElapsed; nothing without such ones. A
/// bucket counts as longer if its geometric mean is.
std::optional<Duration> QuantileBeyond(const Sketch& aSketch, Duration aElapsed, double aQuantile);

/// The estimated run time of a task that has not run yet.
struct Estimate
{
  Duration mMean{ 0 };         ///< Used to sum up queued work.
  Duration mMedian{ 0 };       ///< Used to compare upstreams.
  Duration mPercentile95{ 0 }; ///< Used to check deadlines, since a job ends with its longest task.
  bool mLong = false;          ///< Whether the task belongs to the long class.
  bool mLearned = false;       ///< From outcomes and not from a declaration or default.
};

/// The run times of one kind of job. Declared run times are wrong by a factor that is similar for
/// similar declarations, so outcomes are also kept apart by the declared time, in buckets of powers
/// of four.
struct Kind
{
  static constexpr int kDeclaredBuckets = 12;

  Sketch mAll;
  std::array<Sketch, kDeclaredBuckets> mByDeclared;
};

/// The kinds of one service. Callers choose the names, so all kinds beyond a limit share one Kind.
struct Kinds
{
  static constexpr std::size_t kMaxKinds = 64;

  std::map<std::string, Kind, std::less<>> mByName;
  Kind mOther;
};

Kind& FindOrAddKind(Kinds& aKinds, std::string_view aName);

void Observe(Kind& aKind, Duration aDeclared, Duration aRunTime);

/// The sketch from which the run time of a task is estimated; null if there are not enough
/// outcomes.
const Sketch* SketchOf(const Kind& aKind, Duration aDeclared);

/// Estimates from outcomes of tasks with a similar declaration if there are enough of them, else
/// takes the declared time. Without a declaration it estimates from all outcomes of the kind, else
/// takes the default. A task is long when at least a quarter of the tasks on which the estimate is
/// based ran longer than aLongAfter or, without outcomes, when the declared or default time is
/// longer.
Estimate EstimateOf(const Kind& aKind, Duration aDeclared, Duration aDefault, Duration aLongAfter);

} // namespace pollenwall::run_times
