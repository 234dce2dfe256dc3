#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The process's own counters, on the core of prometheus-cpp. One registry belongs to one event
/// loop; nothing here is thread safe.
namespace pollenwall::metrics {

/// Series by name. Names are snake_case with a unit suffix; a label set may follow the name in
/// braces, for example `task_refusals_total{code="busy"}`. Series come into being with their first
/// value.
class Registry
{
public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  struct Series;
  Series& All() const { return *mSeries; }

private:
  std::unique_ptr<Series> mSeries;
};

void Add(Registry& aRegistry, std::string_view aName, std::uint64_t aAmount = 1);

void Set(Registry& aRegistry, std::string_view aName, double aValue);

/// Histograms have fixed upper bounds, 100 microseconds to about 100 seconds, doubling.
void Observe(Registry& aRegistry, std::string_view aName, double aSeconds);

/// Value of a counter; 0 when nothing has been added to it.
std::uint64_t CounterValue(const Registry& aRegistry, std::string_view aName);

/// Values that a component counts itself and that are read when the metrics are served.
struct Readings
{
  std::vector<std::pair<std::string, std::uint64_t>> mCounters; ///< Only ever rise.
  std::vector<std::pair<std::string, double>> mGauges;
};

/// The text exposition format (version 0.0.4) that monitoring systems scrape. Every name gets the
/// prefix `pollenwall_`.
std::string ToText(const Registry& aRegistry, const Readings& aReadings = {});

} // namespace pollenwall::metrics
