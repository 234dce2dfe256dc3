#pragma once

#include <string>
#include <utility>
#include <vector>

#include "policy.h"

/// Statistics of one run.
namespace pollenwall::bench {

/// Jobs sent in [mFrom, mTo) are measured.
struct Window
{
  Micros mFrom = 0;
  Micros mTo = 0;
};

struct Statistics
{
  std::uint64_t mTasks = 0;
  std::uint64_t mJobs = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnanswered = 0;
  std::uint64_t mLate = 0; ///< Complete, but after the deadline.
  double mLoad = 0;        ///< Offered work divided by what all slots can do in the window.
  double mSlowdownP50 = 0;
  double mSlowdownP99 = 0;
  double mShortSlowdownP99 = 0; ///< Of the jobs without a long task.
  double mWastedPerTask = 0;    ///< Wasted messages and refusals by workers, over the whole run.
  /// Work of the jobs complete within their deadline, divided by the offered work or the capacity,
  /// whichever is less.
  double mGoodputRatio = 0;
};

/// Response time divided by the ideal response time, which is the longest task's run time plus the
/// round trip on an idle system.
double Slowdown(const Experiment& aExperiment, std::uint32_t aJob);

/// Returns the value below which the fraction aQuantile of the values lies; 0 without values.
double Quantile(std::vector<double> aValues, double aQuantile);

/// aCapacityPerSecond is the work, in seconds of run time, that the healthy slots can do per
/// second.
Statistics ComputeStatistics(const Experiment& aExperiment,
                             const Window& aWindow,
                             double aCapacityPerSecond);

/// Slowdowns of the complete jobs sent in the window, without the interfering load.
std::vector<double> Slowdowns(const Experiment& aExperiment,
                              const Window& aWindow,
                              bool aShortOnly);

/// Named numbers that a scenario adds to its result line.
using Fields = std::vector<std::pair<std::string, double>>;

/// Formats one JSON object; `missed_bounds` lists the names of the bounds that were not met.
std::string JsonLine(const std::string& aScenario,
                     const std::string& aPolicy,
                     const Experiment& aExperiment,
                     const Statistics& aStatistics,
                     const Fields& aFields,
                     const std::vector<std::string>& aMissedBounds);

} // namespace pollenwall::bench
