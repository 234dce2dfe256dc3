#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Metrics of the process, built on the core of prometheus-cpp. A registry belongs to one event
/// loop; nothing here is thread safe.
namespace pollenwall::metrics {

/// Time series by name. Names are snake_case with a unit suffix; a label set may follow the name in
/// braces, for example `task_refusals_total{code="busy"}`. A series is created with its first
/// value.
class Registry
{
public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  struct Series;
  Series& AllSeries() const { return *mSeries; }

private:
  std::unique_ptr<Series> mSeries;
};

/// Adds to a counter.
void Add(Registry& aRegistry, std::string_view aName, std::uint64_t aAmount = 1);

/// Sets the value of a gauge.
void Set(Registry& aRegistry, std::string_view aName, double aValue);

/// Adds a value to a histogram. Its buckets have fixed upper bounds that double from 100
/// microseconds to about 100 seconds.
void Observe(Registry& aRegistry, std::string_view aName, double aSeconds);

/// Returns the value of a counter; 0 if nothing has been added to it.
std::uint64_t CounterValue(const Registry& aRegistry, std::string_view aName);

/// Values that a component keeps itself and that are read when the metrics are served.
struct Readings
{
  std::vector<std::pair<std::string, std::uint64_t>> mCounters; ///< Values that never decrease.
  std::vector<std::pair<std::string, double>> mGauges;
};

/// Returns the metrics in the Prometheus text exposition format, version 0.0.4. Every name gets the
/// prefix `pollenwall_`.
std::string ToText(const Registry& aRegistry, const Readings& aReadings = {});

} // namespace pollenwall::metrics
