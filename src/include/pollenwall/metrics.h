#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// The process's own counters. One registry belongs to one event loop; nothing here is thread safe.
namespace pollenwall::metrics {

/// A histogram over fixed upper bounds in seconds, 100 microseconds to about 100 seconds, doubling.
struct Histogram
{
  static constexpr int kBuckets = 21;
  static constexpr double kFirstBoundSeconds = 0.0001;

  std::array<std::uint64_t, kBuckets + 1>
    mCounts{}; ///< The last one counts all beyond the last bound.
  double mSumSeconds = 0;
  std::uint64_t mCount = 0;
};

/// Names are snake_case with a unit suffix; a label set may follow the name in braces,
/// for example `task_refusals_total{code="busy"}`.
struct Registry
{
  std::map<std::string, std::uint64_t, std::less<>> mCounters; ///< Only ever rise.
  std::map<std::string, double, std::less<>> mGauges;
  std::map<std::string, Histogram, std::less<>> mHistograms;
};

void Add(Registry& aRegistry, std::string_view aName, std::uint64_t aAmount = 1);
void Set(Registry& aRegistry, std::string_view aName, double aValue);
void Observe(Registry& aRegistry, std::string_view aName, double aSeconds);

/// Upper bound in seconds of the histogram's bucket that holds the quantile (0 to 1); 0 when empty.
double Quantile(const Histogram& aHistogram, double aQuantile);

/// The text exposition format (version 0.0.4) that monitoring systems scrape. Every name gets the
/// prefix `pollenwall_`.
std::string ToText(const Registry& aRegistry);

} // namespace pollenwall::metrics
