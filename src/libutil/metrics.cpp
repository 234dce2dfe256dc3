#include <pollenwall/metrics.h>

#include <cmath>
#include <cstdio>

namespace pollenwall::metrics {
namespace {

template<typename Map>
typename Map::mapped_type& Entry(Map& aMap, std::string_view aName)
{
  const auto it = aMap.find(aName);
  if (it != aMap.end()) {
    return it->second;
  }
  return aMap[std::string(aName)];
}

double Bound(int aBucket)
{
  return Histogram::kFirstBoundSeconds * std::ldexp(1.0, aBucket);
}

std::string Number(double aValue)
{
  char buf[40];
  std::snprintf(buf, sizeof buf, "%.9g", aValue);
  return buf;
}

/// A name with labels is split so that suffixes go before the labels.
struct SplitName
{
  std::string mBase;
  std::string mLabels; ///< Without braces; empty when there are none.
};

SplitName Split(const std::string& aName)
{
  const auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return { aName, "" };
  }
  return { aName.substr(0, brace), aName.substr(brace + 1, aName.size() - brace - 2) };
}

std::string Series(const SplitName& aName, std::string_view aSuffix, const std::string& aLabel)
{
  std::string labels = aName.mLabels;
  if (!aLabel.empty()) {
    labels += (labels.empty() ? "" : ",") + aLabel;
  }
  return "pollenwall_" + aName.mBase + std::string(aSuffix) +
         (labels.empty() ? "" : "{" + labels + "}");
}

void AppendType(std::string& aText, std::string& aLast, const SplitName& aName, const char* aType)
{
  if (aLast == aName.mBase) {
    return;
  }
  aLast = aName.mBase;
  aText += "# TYPE pollenwall_" + aName.mBase + " " + aType + "\n";
}

} // namespace

void Add(Registry& aRegistry, std::string_view aName, std::uint64_t aAmount)
{
  Entry(aRegistry.mCounters, aName) += aAmount;
}

void Set(Registry& aRegistry, std::string_view aName, double aValue)
{
  Entry(aRegistry.mGauges, aName) = aValue;
}

void Observe(Registry& aRegistry, std::string_view aName, double aSeconds)
{
  auto& histogram = Entry(aRegistry.mHistograms, aName);
  int bucket = 0;
  while (bucket < Histogram::kBuckets && aSeconds > Bound(bucket)) {
    ++bucket;
  }
  ++histogram.mCounts[static_cast<std::size_t>(bucket)];
  histogram.mSumSeconds += aSeconds;
  ++histogram.mCount;
}

double Quantile(const Histogram& aHistogram, double aQuantile)
{
  const double wanted = aQuantile * static_cast<double>(aHistogram.mCount);
  double seen = 0;
  for (int bucket = 0; bucket <= Histogram::kBuckets; ++bucket) {
    seen += static_cast<double>(aHistogram.mCounts[static_cast<std::size_t>(bucket)]);
    if (seen > 0 && seen >= wanted) {
      return Bound(bucket);
    }
  }
  return 0;
}

std::string ToText(const Registry& aRegistry)
{
  std::string text;
  std::string last;
  for (const auto& [name, value] : aRegistry.mCounters) {
    const auto split = Split(name);
    AppendType(text, last, split, "counter");
    text += Series(split, "", "") + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : aRegistry.mGauges) {
    const auto split = Split(name);
    AppendType(text, last, split, "gauge");
    text += Series(split, "", "") + " " + Number(value) + "\n";
  }
  for (const auto& [name, histogram] : aRegistry.mHistograms) {
    const auto split = Split(name);
    AppendType(text, last, split, "histogram");
    std::uint64_t total = 0;
    for (int bucket = 0; bucket < Histogram::kBuckets; ++bucket) {
      total += histogram.mCounts[static_cast<std::size_t>(bucket)];
      text += Series(split, "_bucket", "le=\"" + Number(Bound(bucket)) + "\"") + " " +
              std::to_string(total) + "\n";
    }
    text += Series(split, "_bucket", "le=\"+Inf\"") + " " + std::to_string(histogram.mCount) + "\n";
    text += Series(split, "_sum", "") + " " + Number(histogram.mSumSeconds) + "\n";
    text += Series(split, "_count", "") + " " + std::to_string(histogram.mCount) + "\n";
  }
  return text;
}

} // namespace pollenwall::metrics
