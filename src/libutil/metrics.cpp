#include <pollenwall/metrics.h>

#include <algorithm>
#include <cmath>
#include <map>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pollenwall::metrics {
namespace {

constexpr std::string_view kPrefix = "pollenwall_";
constexpr int kBucketCount = 21;
constexpr double kFirstBoundSeconds = 0.0001;

const prometheus::Histogram::BucketBoundaries& BucketBounds()
{
  static const auto bounds = [] {
    prometheus::Histogram::BucketBoundaries all;
    for (int n = 0; n < kBucketCount; ++n) {
      all.push_back(kFirstBoundSeconds * std::ldexp(1.0, n));
    }
    return all;
  }();
  return bounds;
}

/// The parts of a name of the form `name{key="value",...}`.
struct NameAndLabels
{
  std::string mBase;
  prometheus::Labels mLabels;
};

NameAndLabels SplitLabels(std::string_view aName)
{
  NameAndLabels split;
  const auto brace = aName.find('{');
  split.mBase = std::string(kPrefix) + std::string(aName.substr(0, brace));
  if (brace == std::string_view::npos) {
    return split;
  }
  auto rest = aName.substr(brace + 1);
  for (;;) {
    const auto equals = rest.find("=\"");
    if (equals == std::string_view::npos) {
      return split;
    }
    const auto end = rest.find('"', equals + 2);
    split.mLabels.emplace(rest.substr(0, equals), rest.substr(equals + 2, end - equals - 2));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (rest.starts_with(',')) {
      rest.remove_prefix(1);
    }
  }
}

} // namespace

struct Registry::Series
{
  prometheus::Registry mFamilies;
  std::map<std::string, prometheus::Counter*, std::less<>> mCounters;
  std::map<std::string, prometheus::Gauge*, std::less<>> mGauges;
  std::map<std::string, prometheus::Histogram*, std::less<>> mHistograms;
};

Registry::Registry()
  : mSeries(std::make_unique<Series>())
{
}

Registry::~Registry() = default;

void Add(Registry& aRegistry, std::string_view aName, std::uint64_t aAmount)
{
  auto& all = aRegistry.AllSeries();
  auto it = all.mCounters.find(aName);
  if (it == all.mCounters.end()) {
    const auto name = SplitLabels(aName);
    auto& family = prometheus::BuildCounter().Name(name.mBase).Register(all.mFamilies);
    it = all.mCounters.emplace(aName, &family.Add(name.mLabels)).first;
  }
  it->second->Increment(static_cast<double>(aAmount));
}

void Set(Registry& aRegistry, std::string_view aName, double aValue)
{
  auto& all = aRegistry.AllSeries();
  auto it = all.mGauges.find(aName);
  if (it == all.mGauges.end()) {
    const auto name = SplitLabels(aName);
    auto& family = prometheus::BuildGauge().Name(name.mBase).Register(all.mFamilies);
    it = all.mGauges.emplace(aName, &family.Add(name.mLabels)).first;
  }
  it->second->Set(aValue);
}

void Observe(Registry& aRegistry, std::string_view aName, double aSeconds)
{
  auto& all = aRegistry.AllSeries();
  auto it = all.mHistograms.find(aName);
  if (it == all.mHistograms.end()) {
    const auto name = SplitLabels(aName);
    auto& family = prometheus::BuildHistogram().Name(name.mBase).Register(all.mFamilies);
    it = all.mHistograms.emplace(aName, &family.Add(name.mLabels, BucketBounds())).first;
  }
  it->second->Observe(aSeconds);
}

std::uint64_t CounterValue(const Registry& aRegistry, std::string_view aName)
{
  const auto& counters = aRegistry.AllSeries().mCounters;
  const auto it = counters.find(aName);
  return it == counters.end() ? 0 : static_cast<std::uint64_t>(it->second->Value());
}

std::string ToText(const Registry& aRegistry, const Readings& aReadings)
{
  // The text format requires that all series of one name are grouped.
  std::map<std::string, prometheus::MetricFamily> gathered;
  const auto add = [&gathered](const std::string& aName, prometheus::MetricType aType) -> auto&
  {
    auto name = SplitLabels(aName);
    auto& family = gathered[name.mBase];
    family.name = name.mBase;
    family.type = aType;
    auto& metric = family.metric.emplace_back();
    for (auto& [key, value] : name.mLabels) {
      metric.label.push_back({ key, value });
    }
    return metric;
  };
  for (const auto& [name, value] : aReadings.mCounters) {
    add(name, prometheus::MetricType::Counter).counter.value = static_cast<double>(value);
  }
  for (const auto& [name, value] : aReadings.mGauges) {
    add(name, prometheus::MetricType::Gauge).gauge.value = value;
  }
  auto families = aRegistry.AllSeries().mFamilies.Collect();
  for (auto& [name, family] : gathered) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace pollenwall::metrics
