#pragma once

#include <string>
#include <utility>
#include <vector>

#include "policy.h"

/// The figures of one run.
namespace pollenwall::bench {

/// Jobs that are sent in [mFrom, mTo) count.
struct Window
{
  Micros mFrom = 0;
  Micros mTo = 0;
};

struct Figures
{
  std::uint64_t mTasks = 0;
  std::uint64_t mJobs = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnanswered = 0;
  std::uint64_t mLate = 0; ///< Complete, but after the deadline.
  double mLoad = 0;
  double mSlowdownP50 = 0;
  double mSlowdownP99 = 0;
  double mShortSlowdownP99 = 0;
  double mWastedPerTask = 0;
  double mGoodputRatio = 0;
};

/// Response time over the ideal: the longest task's run time and the round trip on an empty system.
double Slowdown(const Experiment& aExperiment, std::uint32_t aJob);

/// The value below which the part aQuantile of the values lies; 0 when there are none.
double QuantileOf(std::vector<double> aValues, double aQuantile);

/// aCapacityPerSecond is the work in seconds that the healthy slots can do in a second.
Figures Measure(const Experiment& aExperiment, const Window& aWindow, double aCapacityPerSecond);

/// Slowdowns of complete jobs sent in the window that are no part of the disturbance.
std::vector<double> Slowdowns(const Experiment& aExperiment,
                              const Window& aWindow,
                              bool aShortOnly);

/// Named numbers that a scenario adds to its line.
using Extras = std::vector<std::pair<std::string, double>>;

/// One JSON object. Bounds that are missed are named in `missed_bounds`.
std::string Line(const std::string& aScenario,
                 const std::string& aPolicy,
                 const Experiment& aExperiment,
                 const Figures& aFigures,
                 const Extras& aExtras,
                 const std::vector<std::string>& aMissedBounds);

} // namespace pollenwall::bench
