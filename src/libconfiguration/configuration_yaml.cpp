#include <pollenwall/configuration_yaml.h>

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

#include <boost/json.hpp>

namespace pollenwall::configuration {
namespace {

using yaml::Section;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kMaxLatencyUs = 10'000'000;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryBytes = std::int64_t{ 1 } << 50;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxRunMs = 86'400'000;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxConnections = 65536;
constexpr double kMaxRate = 1e9;
constexpr double kMinTeamWeight = 0.001;
constexpr double kMaxTeamWeight = 1e6;

constexpr std::string_view kNameFormat = "1 to 64 characters of [A-Za-z0-9._-]";

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

std::string Quoted(std::string_view aText)
{
  return std::string("'").append(aText).append("'");
}

/// A plain scalar when YAML reads it as a string, a quoted one otherwise.
std::string ToYamlScalar(const std::string& aText)
{
  const bool letter = !aText.empty() && ((aText.front() >= 'a' && aText.front() <= 'z') ||
                                         (aText.front() >= 'A' && aText.front() <= 'Z'));
  const bool null = aText == "null" || aText == "Null" || aText == "NULL";
  if (letter && !null && std::all_of(aText.begin(), aText.end(), IsNameCharacter)) {
    return aText;
  }
  return boost::json::serialize(boost::json::string(aText));
}

std::string FormatNumber(double aNumber)
{
  std::array<char, 64> buf{};
  const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), aNumber);
  return ec == std::errc() ? std::string(buf.data(), end) : "0";
}

/// The text of a flow mapping under construction, without the closing brace.
struct FlowMapping
{
  std::string mText;
};

void Add(FlowMapping& aMapping, std::string_view aKey, const std::string& aValue)
{
  aMapping.mText += aMapping.mText.empty() ? "{" : ", ";
  aMapping.mText.append(aKey).append(": ").append(aValue);
}

template<typename Integer>
requires std::is_integral_v<Integer>
void Add(FlowMapping& aMapping, std::string_view aKey, Integer aValue)
{
  Add(aMapping, aKey, std::to_string(aValue));
}

std::string FormatList(const std::vector<std::string>& aTexts)
{
  std::string list = "[";
  for (const auto& text : aTexts) {
    list.append(list.size() > 1 ? ", " : "").append(ToYamlScalar(text));
  }
  return list + "]";
}

void Print(FlowMapping& aMapping, const DataCentre& aItem)
{
  Add(aMapping, "region", ToYamlScalar(aItem.mRegion));
  Add(aMapping, "one_way_latency_us", aItem.mOneWayLatency.count());
}

void Print(FlowMapping& aMapping, const Worker& aItem)
{
  Add(aMapping, "data_centre", ToYamlScalar(aItem.mDataCentre));
  Add(aMapping, "rack", ToYamlScalar(aItem.mRack));
  Add(aMapping, "address", ToYamlScalar(aItem.mAddress));
  Add(aMapping, "cores", aItem.mMilliCores / kMilliCoresPerCore);
  Add(aMapping, "memory_bytes", aItem.mMemoryBytes);
  Add(aMapping, "accelerators", aItem.mAccelerators);
}

void Print(FlowMapping& aMapping, const Service& aItem)
{
  Add(aMapping, "kinds", FormatList(aItem.mKinds));
  Add(aMapping, "max_deadline_ms", aItem.mMaxDeadline.count());
  Add(aMapping, "expected_run_ms", aItem.mExpectedRun.count());
  Add(aMapping, "long_after_ms", aItem.mLongAfter.count());
  Add(aMapping, "long_share", FormatNumber(aItem.mLongShare));
}

void Print(FlowMapping& aMapping, const Upstream& aItem)
{
  Add(aMapping, "port", aItem.mPort);
  Add(aMapping, "slots", aItem.mSlots);
  Add(aMapping, "connections", aItem.mConnections);
}

void Print(FlowMapping& aMapping, const Team& aItem)
{
  Add(aMapping, "weight", FormatNumber(aItem.mWeight));
  Add(aMapping, "starts_per_second", FormatNumber(aItem.mStartsPerSecond));
  Add(aMapping, "burst_starts", FormatNumber(aItem.mBurstStarts));
}

void PrintName(FlowMapping& aMapping, const Upstream& aItem)
{
  Add(aMapping, "service", ToYamlScalar(aItem.mService));
  Add(aMapping, "worker", ToYamlScalar(aItem.mWorker));
}

template<typename T>
void PrintName(FlowMapping& aMapping, const T& aItem)
{
  Add(aMapping, "name", ToYamlScalar(aItem.mName));
}

/// Reads a name; it may be empty or absent when it is not required.
std::string ReadName(Section& aSection, std::string_view aKey, bool aRequired = true)
{
  auto text = aRequired ? yaml::GetString(aSection, aKey) : yaml::GetString(aSection, aKey, "");
  const bool present = yaml::Has(aSection, aKey);
  if (present && !IsName(text) && (aRequired || !text.empty())) {
    yaml::AddProblem(aSection, aKey, Quoted(text), std::string(kNameFormat));
  }
  return text;
}

void Read(Section& aSection, DataCentre& aItem)
{
  aItem.mRegion = ReadName(aSection, "region", false);
  aItem.mOneWayLatency = std::chrono::microseconds(yaml::GetInteger(
    aSection, "one_way_latency_us", 0, kMaxLatencyUs, aItem.mOneWayLatency.count()));
}

void Read(Section& aSection, Worker& aItem)
{
  aItem.mDataCentre = ReadName(aSection, "data_centre");
  aItem.mRack = ReadName(aSection, "rack", false);
  aItem.mAddress = yaml::GetString(aSection, "address");
  in6_addr buf{};
  if (yaml::Has(aSection, "address") && inet_pton(AF_INET, aItem.mAddress.c_str(), &buf) != 1 &&
      inet_pton(AF_INET6, aItem.mAddress.c_str(), &buf) != 1) {
    yaml::AddProblem(aSection, "address", Quoted(aItem.mAddress), "an IP number");
  }
  aItem.mMilliCores = kMilliCoresPerCore *
                      static_cast<std::uint32_t>(yaml::GetInteger(
                        aSection, "cores", 1, kMaxCores, aItem.mMilliCores / kMilliCoresPerCore));
  aItem.mMemoryBytes = yaml::GetInteger(aSection, "memory_bytes", 0, kMaxMemoryBytes, 0);
  aItem.mAccelerators = yaml::GetInteger(aSection, "accelerators", 0, kMaxAccelerators, 0);
}

void Read(Section& aSection, Service& aItem)
{
  aItem.mKinds = yaml::GetStrings(aSection, "kinds");
  std::set<std::string> seen;
  for (const auto& kind : aItem.mKinds) {
    if (!IsName(kind)) {
      yaml::AddProblem(aSection, "kinds", Quoted(kind), std::string(kNameFormat));
    } else if (!seen.insert(kind).second) {
      yaml::AddProblem(aSection, "kinds", Quoted(kind) + " twice", "each kind once");
    }
  }
  const auto milliseconds = [&aSection](std::string_view aKey, std::chrono::milliseconds aDefault) {
    return std::chrono::milliseconds(
      yaml::GetInteger(aSection, aKey, 1, kMaxRunMs, aDefault.count()));
  };
  aItem.mMaxDeadline = milliseconds("max_deadline_ms", aItem.mMaxDeadline);
  aItem.mExpectedRun = milliseconds("expected_run_ms", aItem.mExpectedRun);
  aItem.mLongAfter = milliseconds("long_after_ms", aItem.mLongAfter);
  aItem.mLongShare = yaml::GetNumber(aSection, "long_share", 0, 1, aItem.mLongShare);
}

void Read(Section& aSection, Upstream& aItem)
{
  aItem.mPort = yaml::GetInteger(aSection, "port", 1, 65535);
  aItem.mSlots = yaml::GetInteger(aSection, "slots", 1, kMaxSlots, aItem.mSlots);
  aItem.mConnections =
    yaml::GetInteger(aSection, "connections", 1, kMaxConnections, aItem.mConnections);
}

void Read(Section& aSection, Team& aItem)
{
  aItem.mWeight =
    yaml::GetNumber(aSection, "weight", kMinTeamWeight, kMaxTeamWeight, aItem.mWeight);
  aItem.mStartsPerSecond =
    yaml::GetNumber(aSection, "starts_per_second", 0, kMaxRate, aItem.mStartsPerSecond);
  aItem.mBurstStarts = yaml::GetNumber(aSection, "burst_starts", 0, kMaxRate, aItem.mBurstStarts);
}

/// Removes a prefix from the front of a key; returns whether it was there.
bool ConsumePrefix(std::string_view& aKey, std::string_view aPrefix)
{
  if (!aKey.starts_with(aPrefix)) {
    return false;
  }
  aKey.remove_prefix(aPrefix.size());
  return true;
}

/// An item with the names in the key and default values otherwise; nothing for an invalid key.
std::optional<Item> MakeDefaultItem(std::string_view aKey)
{
  auto rest = aKey;
  if (ConsumePrefix(rest, "upstream/")) {
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos || !IsName(rest.substr(0, slash)) ||
        !IsName(rest.substr(slash + 1))) {
      return std::nullopt;
    }
    return Upstream{ std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1)) };
  }
  const bool isDataCentre = ConsumePrefix(rest, "data_centre/");
  const bool isWorker = !isDataCentre && ConsumePrefix(rest, "worker/");
  const bool isService = !isDataCentre && !isWorker && ConsumePrefix(rest, "service/");
  const bool isTeam = !isDataCentre && !isWorker && !isService && ConsumePrefix(rest, "team/");
  if (!IsName(rest)) {
    return std::nullopt;
  }
  const std::string name(rest);
  if (isDataCentre) {
    return DataCentre{ name };
  }
  if (isWorker) {
    return Worker{ name };
  }
  if (isService) {
    return Service{ name };
  }
  return isTeam ? std::optional<Item>(Team{ name }) : std::nullopt;
}

template<typename Map>
std::optional<Item> FindIn(const Map& aMap, std::string_view aName)
{
  const auto it = aMap.find(aName);
  return it == aMap.end() ? std::nullopt : std::optional<Item>(it->second);
}

template<typename Map>
void EraseFrom(Map& aMap, std::string_view aName)
{
  if (const auto it = aMap.find(aName); it != aMap.end()) {
    aMap.erase(it);
  }
}

template<typename Map>
void PrintList(std::string& aText, std::string_view aKey, const Map& aMap)
{
  aText.append(aKey).append(aMap.empty() ? ": []\n" : ":\n");
  for (const auto& [key, item] : aMap) {
    FlowMapping mapping;
    PrintName(mapping, item);
    Print(mapping, item);
    aText.append("  - ").append(mapping.mText).append("}\n");
  }
}

void ReadNames(Section& aSection, Upstream& aItem)
{
  aItem.mService = ReadName(aSection, "service");
  aItem.mWorker = ReadName(aSection, "worker");
}

template<typename T>
void ReadNames(Section& aSection, T& aItem)
{
  aItem.mName = ReadName(aSection, "name");
}

std::string NameOf(const Upstream& aItem)
{
  return UpstreamKey(aItem.mService, aItem.mWorker);
}

template<typename T>
std::string NameOf(const T& aItem)
{
  return aItem.mName;
}

/// Reads one list of the document into a map. aCheck is called with each item and its section, so
/// that problems are reported with the item's position.
template<typename Map, typename Check>
void ReadList(Section& aRoot, std::string_view aKey, Map& aMap, const Check& aCheck)
{
  for (auto& section : yaml::GetSections(aRoot, aKey)) {
    if (!section.mNode.IsDefined() || !section.mNode.IsMap()) {
      continue; // Reported by GetSections.
    }
    typename Map::mapped_type item;
    ReadNames(section, item);
    Read(section, item);
    yaml::CheckKeys(section);
    aCheck(section, item);
    auto name = NameOf(item);
    if (name.empty()) {
      continue;
    }
    const auto [it, inserted] = aMap.emplace(std::move(name), std::move(item));
    if (!inserted) {
      const bool isUpstream = std::is_same_v<typename Map::mapped_type, Upstream>;
      yaml::AddProblem(
        section, isUpstream ? "worker" : "name", Quoted(it->first) + " twice", "each item once");
    }
  }
}

template<typename Map>
void CheckReference(Section& aSection,
                    std::string_view aKey,
                    const std::string& aName,
                    const Map& aMap)
{
  if (IsName(aName) && !aMap.contains(aName)) {
    yaml::AddProblem(aSection,
                     aKey,
                     "unknown " + Quoted(aName),
                     "one of the " + std::to_string(aMap.size()) + " defined in this document");
  }
}

} // namespace

std::string UpstreamKey(std::string_view aService, std::string_view aWorker)
{
  std::string key(aService);
  return key.append("/").append(aWorker);
}

std::string KeyOf(const Item& aItem)
{
  struct Visitor
  {
    std::string operator()(const DataCentre& aIt) const { return "data_centre/" + aIt.mName; }
    std::string operator()(const Worker& aIt) const { return "worker/" + aIt.mName; }
    std::string operator()(const Service& aIt) const { return "service/" + aIt.mName; }
    std::string operator()(const Upstream& aIt) const
    {
      return "upstream/" + UpstreamKey(aIt.mService, aIt.mWorker);
    }
    std::string operator()(const Team& aIt) const { return "team/" + aIt.mName; }
  };
  return std::visit(Visitor{}, aItem);
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

std::string PrintItem(const Item& aItem)
{
  FlowMapping mapping;
  std::visit([&mapping](const auto& aIt) { Print(mapping, aIt); }, aItem);
  return mapping.mText + "}";
}

std::optional<Item> ParseItem(yaml::Report& aReport, std::string_view aKey, std::string_view aText)
{
  const auto problems = aReport.mProblems.size();
  auto item = MakeDefaultItem(aKey);
  if (!item) {
    aReport.mProblems.push_back({ aReport.mFile,
                                  0,
                                  std::string(aKey.substr(0, 3 * kMaxNameLength)),
                                  "an unknown key",
                                  "data_centre/N, worker/N, service/N, upstream/SERVICE/WORKER or "
                                  "team/N with names of " +
                                    std::string(kNameFormat) });
    return std::nullopt;
  }
  auto section = yaml::OpenDocument(aReport, aText);
  section.mPath = aKey;
  std::visit([&section](auto& aIt) { Read(section, aIt); }, *item);
  yaml::CheckKeys(section);
  return aReport.mProblems.size() == problems ? item : std::nullopt;
}

std::vector<Item> ItemsOf(const Configuration& aConfiguration)
{
  std::vector<Item> items;
  const auto add = [&items](const auto& aMap) {
    for (const auto& [key, item] : aMap) {
      items.emplace_back(item);
    }
  };
  add(aConfiguration.mDataCentres);
  add(aConfiguration.mWorkers);
  add(aConfiguration.mServices);
  add(aConfiguration.mUpstreams);
  add(aConfiguration.mTeams);
  return items;
}

std::optional<Item> FindItem(const Configuration& aConfiguration, std::string_view aKey)
{
  if (ConsumePrefix(aKey, "data_centre/")) {
    return FindIn(aConfiguration.mDataCentres, aKey);
  }
  if (ConsumePrefix(aKey, "worker/")) {
    return FindIn(aConfiguration.mWorkers, aKey);
  }
  if (ConsumePrefix(aKey, "service/")) {
    return FindIn(aConfiguration.mServices, aKey);
  }
  if (ConsumePrefix(aKey, "upstream/")) {
    return FindIn(aConfiguration.mUpstreams, aKey);
  }
  return ConsumePrefix(aKey, "team/") ? FindIn(aConfiguration.mTeams, aKey) : std::nullopt;
}

void PutItem(Configuration& aConfiguration, Item aItem)
{
  struct Visitor
  {
    Configuration& mTo;
    void operator()(DataCentre& aIt) const { mTo.mDataCentres[aIt.mName] = std::move(aIt); }
    void operator()(Worker& aIt) const { mTo.mWorkers[aIt.mName] = std::move(aIt); }
    void operator()(Service& aIt) const { mTo.mServices[aIt.mName] = std::move(aIt); }
    void operator()(Upstream& aIt) const { mTo.mUpstreams[NameOf(aIt)] = std::move(aIt); }
    void operator()(Team& aIt) const { mTo.mTeams[aIt.mName] = std::move(aIt); }
  };
  std::visit(Visitor{ aConfiguration }, aItem);
}

void DeleteItem(Configuration& aConfiguration, std::string_view aKey)
{
  if (ConsumePrefix(aKey, "data_centre/")) {
    EraseFrom(aConfiguration.mDataCentres, aKey);
  } else if (ConsumePrefix(aKey, "worker/")) {
    EraseFrom(aConfiguration.mWorkers, aKey);
  } else if (ConsumePrefix(aKey, "service/")) {
    EraseFrom(aConfiguration.mServices, aKey);
  } else if (ConsumePrefix(aKey, "upstream/")) {
    EraseFrom(aConfiguration.mUpstreams, aKey);
  } else if (ConsumePrefix(aKey, "team/")) {
    EraseFrom(aConfiguration.mTeams, aKey);
  }
}

std::string PrintDocument(const Configuration& aConfiguration)
{
  std::string text;
  PrintList(text, "data_centres", aConfiguration.mDataCentres);
  PrintList(text, "workers", aConfiguration.mWorkers);
  PrintList(text, "services", aConfiguration.mServices);
  PrintList(text, "upstreams", aConfiguration.mUpstreams);
  PrintList(text, "teams", aConfiguration.mTeams);
  return text;
}

Configuration ParseDocument(yaml::Report& aReport, std::string_view aText)
{
  Configuration configuration;
  auto root = yaml::OpenDocument(aReport, aText);
  const auto accept = [](Section&, const auto&) {};
  ReadList(root, "data_centres", configuration.mDataCentres, accept);
  ReadList(root,
           "workers",
           configuration.mWorkers,
           [&configuration](Section& aSection, const Worker& aWorker) {
             CheckReference(
               aSection, "data_centre", aWorker.mDataCentre, configuration.mDataCentres);
           });
  ReadList(root, "services", configuration.mServices, accept);
  std::map<std::string, std::string> endpoints;
  ReadList(root,
           "upstreams",
           configuration.mUpstreams,
           [&configuration, &endpoints](Section& aSection, const Upstream& aUpstream) {
             CheckReference(aSection, "service", aUpstream.mService, configuration.mServices);
             CheckReference(aSection, "worker", aUpstream.mWorker, configuration.mWorkers);
             const auto worker = configuration.mWorkers.find(aUpstream.mWorker);
             if (worker == configuration.mWorkers.end() || aUpstream.mPort == 0) {
               return;
             }
             const auto endpoint =
               worker->second.mAddress + " port " + std::to_string(aUpstream.mPort);
             const auto [it, inserted] = endpoints.emplace(endpoint, NameOf(aUpstream));
             if (!inserted && it->second != NameOf(aUpstream)) {
               yaml::AddProblem(aSection,
                                "port",
                                endpoint + ", which upstream '" + it->second + "' has",
                                "an address and port of its own");
             }
           });
  ReadList(root, "teams", configuration.mTeams, accept);
  yaml::CheckKeys(root);
  return configuration;
}

} // namespace pollenwall::configuration
