#include <pollenwall/configuration_log.h>

#include <algorithm>
#include <stdexcept>

#include <boost/json.hpp>

#include <pollenwall/configuration_yaml.h>

#include "packed.h"

namespace pollenwall::configuration {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxItemBytes = 16384;
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxDeferredBytes = 32 * 1024 * 1024;
constexpr std::size_t kMaxProblems = 100;
constexpr std::size_t kRecordsPerSnapshot = 1000;
/// A snapshot is due at an age of this share of the log's retention time, plus a random part of the
/// spread.
constexpr double kMinSnapshotAgeRatio = 0.4;
constexpr double kSnapshotAgeRatioSpread = 0.2;

std::string Quoted(std::string_view aText)
{
  return std::string("'").append(aText).append("'");
}

using Items = std::map<std::string, Item, std::less<>>;

void AddProblem(yaml::Report& aReport,
                std::string_view aKey,
                std::string aFound,
                std::string aAllowed)
{
  aReport.mProblems.push_back(
    { aReport.mFile, 0, std::string(aKey), std::move(aFound), std::move(aAllowed) });
}

/// The key under which an object is stored when it is packed, see kPackThresholdBytes.
std::string PackedKey(std::string_view aKey)
{
  return std::string(aKey).append("_packed");
}

/// Adds an object under a key, packed when its text is large.
void AddObject(json::object& aRecord, std::string_view aKey, json::object aValue)
{
  const auto text = json::serialize(aValue);
  if (text.size() > kPackThresholdBytes) {
    aRecord[PackedKey(aKey)] = Pack(text);
  } else {
    aRecord[aKey] = std::move(aValue);
  }
}

/// The object under a key, plain or packed. Empty when the key is absent. A value of another form
/// is reported.
json::object GetObject(yaml::Report& aReport, const json::object& aRecord, std::string_view aKey)
{
  if (const auto* plain = aRecord.if_contains(aKey)) {
    if (plain->is_object()) {
      return plain->get_object();
    }
    AddProblem(aReport, aKey, "not an object", "an object of YAML texts");
    return {};
  }
  const auto key = PackedKey(aKey);
  const auto* packed = aRecord.if_contains(key);
  if (!packed) {
    return {};
  }
  const auto text =
    packed->is_string() ? Unpack(packed->get_string(), kMaxRecordBytes) : std::nullopt;
  json::error_code ec;
  auto value = text ? json::parse(*text, ec) : json::value();
  if (ec || !value.is_object()) {
    AddProblem(aReport, key, "not a packed object", "a packed object of YAML texts");
    return {};
  }
  return std::move(value.get_object());
}

bool HasObject(const json::object& aRecord, std::string_view aKey)
{
  return aRecord.contains(aKey) || aRecord.contains(PackedKey(aKey));
}

/// A decoded snapshot or restore record; the items are parsed only when it is adopted.
struct Snapshot
{
  Version mVersion = 0;
  std::uint64_t mThrough = 0;
  UnixMs mThroughMs = 0;
  std::vector<std::string> mIds;         ///< Of the latest versions' changes, oldest first.
  const json::object* mRecord = nullptr; ///< Holds the items.
};

Outcome Reject(yaml::Report& aReport, std::string aId, Version aVersion)
{
  if (aReport.mProblems.size() > kMaxProblems) {
    aReport.mProblems.resize(kMaxProblems);
  }
  return { OutcomeKind::Invalid, std::move(aId), aVersion, std::move(aReport.mProblems) };
}

/// Parses a record's text. Reports any text other than a JSON object and returns nothing.
std::optional<json::object> ParseObject(yaml::Report& aReport, std::string_view aText)
{
  if (aText.size() > kMaxRecordBytes) {
    AddProblem(aReport,
               "record",
               std::to_string(aText.size()) + " bytes",
               "at most " + std::to_string(kMaxRecordBytes));
    return std::nullopt;
  }
  json::error_code ec;
  auto value = json::parse(aText, ec);
  if (ec || !value.is_object()) {
    AddProblem(aReport, "record", ec ? ec.message() : "not an object", "a JSON object");
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string TextOf(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  const auto* text = value ? value->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

std::optional<std::uint64_t> NumberOf(yaml::Report& aReport,
                                      const json::object& aObject,
                                      std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  json::error_code ec;
  const auto n = value ? value->to_number<std::uint64_t>(ec) : 0;
  if (!value || ec || !(value->is_int64() || value->is_uint64())) {
    AddProblem(aReport, aKey, value ? json::serialize(*value) : "nothing", "an integer from 0");
    return std::nullopt;
  }
  return n;
}

bool IsId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength;
}

std::optional<Change> ParseChange(yaml::Report& aReport, const json::object& aObject)
{
  Change change;
  change.mId = TextOf(aObject, "id");
  if (!IsId(change.mId)) {
    AddProblem(aReport, "id", Quoted(change.mId), "1 to 128 characters");
  }
  change.mBase = NumberOf(aReport, aObject, "base").value_or(0);
  for (const auto& [key, value] : GetObject(aReport, aObject, "puts")) {
    if (!value.is_string()) {
      AddProblem(aReport, std::string_view(key), json::serialize(value), "a YAML text");
      continue;
    }
    change.mPuts.emplace(key, value.get_string());
  }
  if (const auto* deletes = aObject.if_contains("deletes")) {
    if (!deletes->is_array()) {
      AddProblem(aReport, "deletes", "not a list", "a list of keys");
    } else {
      for (const auto& value : deletes->get_array()) {
        if (!value.is_string()) {
          AddProblem(aReport, "deletes", json::serialize(value), "a key");
          continue;
        }
        if (!change.mDeletes.emplace(value.get_string()).second) {
          AddProblem(aReport, std::string_view(value.get_string()), "deleted twice", "once");
        }
      }
    }
  }
  return aReport.mProblems.empty() ? std::optional(std::move(change)) : std::nullopt;
}

std::optional<Snapshot> ParseSnapshot(yaml::Report& aReport, const json::object& aObject)
{
  Snapshot snapshot;
  snapshot.mVersion = NumberOf(aReport, aObject, "version").value_or(0);
  snapshot.mThrough = NumberOf(aReport, aObject, "through").value_or(0);
  snapshot.mThroughMs = static_cast<UnixMs>(NumberOf(aReport, aObject, "through_ms").value_or(0));
  const auto* ids = aObject.if_contains("ids");
  if (!ids || !ids->is_array()) {
    AddProblem(aReport, "ids", "not a list", "a list of texts");
  } else {
    std::set<std::string_view> seen;
    for (const auto& id : ids->get_array()) {
      if (!id.is_string() || !IsId(id.get_string()) || !seen.insert(id.get_string()).second) {
        AddProblem(aReport, "ids", json::serialize(id), "different texts of 1 to 128 characters");
        continue;
      }
      snapshot.mIds.emplace_back(id.get_string());
    }
    if (snapshot.mIds.size() > std::min<std::uint64_t>(snapshot.mVersion, kMaxRecentIds)) {
      AddProblem(aReport, "ids", std::to_string(snapshot.mIds.size()), "one for each version");
    }
  }
  snapshot.mRecord = &aObject;
  if (!HasObject(aObject, "items")) {
    AddProblem(aReport, "items", "nothing", "an object of YAML texts");
  }
  if (snapshot.mVersion > snapshot.mThrough) {
    AddProblem(aReport,
               "version",
               std::to_string(snapshot.mVersion),
               "at most one for each record, " + std::to_string(snapshot.mThrough));
  }
  return aReport.mProblems.empty() ? std::optional(std::move(snapshot)) : std::nullopt;
}

std::string Endpoint(const Worker& aWorker, const Upstream& aUpstream)
{
  return aWorker.mAddress + ":" + std::to_string(aUpstream.mPort);
}

template<typename Map>
const typename Map::mapped_type* FindOrNull(const Map& aMap, std::string_view aKey)
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : &it->second;
}

/// A configuration and a parsed change that has not been applied to it yet.
struct Overlay
{
  const Configuration& mBase;
  const Items& mPuts;
  const std::set<std::string, std::less<>>& mDeletes;
};

/// The item after the change; null when there is none.
template<typename T>
const T* ItemAfter(const Overlay& aOverlay,
                   std::string_view aPrefix,
                   std::string_view aName,
                   const std::map<std::string, T, std::less<>>& aMap)
{
  const auto key = std::string(aPrefix).append(aName);
  if (const auto* put = FindOrNull(aOverlay.mPuts, key)) {
    return std::get_if<T>(put);
  }
  return aOverlay.mDeletes.contains(key) ? nullptr : FindOrNull(aMap, aName);
}

const Worker* WorkerAfter(const Overlay& aOverlay, std::string_view aName)
{
  return ItemAfter(aOverlay, "worker/", aName, aOverlay.mBase.mWorkers);
}

const Upstream* UpstreamAfter(const Overlay& aOverlay, std::string_view aName)
{
  return ItemAfter(aOverlay, "upstream/", aName, aOverlay.mBase.mUpstreams);
}

void CheckPut(const Overlay& aOverlay,
              std::string_view aKey,
              const Item& aItem,
              yaml::Report& aReport)
{
  const auto& base = aOverlay.mBase;
  const auto unknown = [&](std::string_view aField, const std::string& aName) {
    AddProblem(aReport,
               std::string(aKey).append(".").append(aField),
               "unknown " + Quoted(aName),
               "a name that the configuration holds after the change");
  };
  if (const auto* worker = std::get_if<Worker>(&aItem)) {
    if (!ItemAfter(aOverlay, "data_centre/", worker->mDataCentre, base.mDataCentres)) {
      unknown("data_centre", worker->mDataCentre);
    }
  }
  if (const auto* upstream = std::get_if<Upstream>(&aItem)) {
    if (!ItemAfter(aOverlay, "service/", upstream->mService, base.mServices)) {
      unknown("service", upstream->mService);
    }
    if (!WorkerAfter(aOverlay, upstream->mWorker)) {
      unknown("worker", upstream->mWorker);
    }
  }
}

/// Number of references to each item that the change removes, so that the remaining ones are known
/// without a scan of the whole configuration.
struct ReleasedReferences
{
  std::map<std::string, std::size_t, std::less<>> mDataCentres;
  std::map<std::string, std::size_t, std::less<>> mServices;
  std::map<std::string, std::size_t, std::less<>> mWorkers;
};

ReleasedReferences CountReleased(const Overlay& aOverlay)
{
  ReleasedReferences released;
  const auto release = [&](const std::string& aKey, bool aDeleted) {
    const auto item = FindItem(aOverlay.mBase, aKey);
    if (!item) {
      return;
    }
    if (const auto* worker = std::get_if<Worker>(&*item)) {
      ++released.mDataCentres[worker->mDataCentre];
    }
    if (const auto* upstream = std::get_if<Upstream>(&*item); upstream && aDeleted) {
      ++released.mServices[upstream->mService];
      ++released.mWorkers[upstream->mWorker];
    }
  };
  for (const auto& [key, item] : aOverlay.mPuts) {
    release(key, false);
  }
  for (const auto& key : aOverlay.mDeletes) {
    release(key, true);
  }
  return released;
}

void CheckDelete(const Overlay& aOverlay,
                 const References& aReferences,
                 const ReleasedReferences& aReleased,
                 const std::string& aKey,
                 yaml::Report& aReport)
{
  const auto item = FindItem(aOverlay.mBase, aKey);
  if (!item) {
    AddProblem(aReport, aKey, "a delete of an unknown key", "a key of the configuration");
    return;
  }
  const auto count = [](const auto& aMap, std::string_view aName) {
    const auto* n = FindOrNull(aMap, aName);
    return n ? *n : 0;
  };
  std::size_t left = 0;
  if (const auto* centre = std::get_if<DataCentre>(&*item)) {
    left = count(aReferences.mWorkersOfDataCentre, centre->mName) -
           count(aReleased.mDataCentres, centre->mName);
  } else if (const auto* service = std::get_if<Service>(&*item)) {
    left = count(aReferences.mUpstreamsOfService, service->mName) -
           count(aReleased.mServices, service->mName);
  } else if (const auto* worker = std::get_if<Worker>(&*item)) {
    const auto* upstreams = FindOrNull(aReferences.mUpstreamsOfWorker, worker->mName);
    left = (upstreams ? upstreams->size() : 0) - count(aReleased.mWorkers, worker->mName);
  }
  if (left > 0) {
    AddProblem(aReport,
               aKey,
               "a delete while " + std::to_string(left) + " items refer to it",
               "a delete together with them");
  }
}

/// Upstreams whose endpoint the change may alter: those put or deleted, and those of workers that
/// get a new address.
std::set<std::string> AffectedUpstreams(const Overlay& aOverlay, const References& aReferences)
{
  std::set<std::string> affected;
  for (const auto& [key, item] : aOverlay.mPuts) {
    if (const auto* upstream = std::get_if<Upstream>(&item)) {
      affected.insert(UpstreamKey(upstream->mService, upstream->mWorker));
      continue;
    }
    const auto* worker = std::get_if<Worker>(&item);
    const auto* before = worker ? FindOrNull(aOverlay.mBase.mWorkers, worker->mName) : nullptr;
    const auto* upstreams =
      worker ? FindOrNull(aReferences.mUpstreamsOfWorker, worker->mName) : nullptr;
    if (before && upstreams && before->mAddress != worker->mAddress) {
      affected.insert(upstreams->begin(), upstreams->end());
    }
  }
  for (const std::string_view key : aOverlay.mDeletes) {
    constexpr std::string_view kPrefix = "upstream/";
    if (key.starts_with(kPrefix)) {
      affected.emplace(key.substr(kPrefix.size()));
    }
  }
  return affected;
}

void CheckEndpoints(const Overlay& aOverlay,
                    const References& aReferences,
                    const std::set<std::string>& aAffected,
                    yaml::Report& aReport)
{
  std::map<std::string, std::string> taken;
  for (const auto& name : aAffected) {
    const auto* upstream = UpstreamAfter(aOverlay, name);
    const auto* worker = upstream ? WorkerAfter(aOverlay, upstream->mWorker) : nullptr;
    if (!worker) {
      continue;
    }
    const auto endpoint = Endpoint(*worker, *upstream);
    const auto [it, inserted] = taken.emplace(endpoint, name);
    const auto* holder = FindOrNull(aReferences.mEndpoints, endpoint);
    if (inserted && (!holder || aAffected.contains(*holder))) {
      continue;
    }
    AddProblem(aReport,
               "upstream/" + name + ".port",
               endpoint + ", which upstream '" + (inserted ? *holder : it->second) + "' has",
               "an address and port of its own");
  }
}

void AdjustCount(std::map<std::string, std::size_t, std::less<>>& aCounts,
                 const std::string& aName,
                 int aBy)
{
  const auto it = aCounts.try_emplace(aName, 0).first;
  it->second += aBy;
  if (it->second == 0) {
    aCounts.erase(it);
  }
}

void UpdateReferences(References& aReferences, const Item& aItem, int aBy)
{
  if (const auto* worker = std::get_if<Worker>(&aItem)) {
    AdjustCount(aReferences.mWorkersOfDataCentre, worker->mDataCentre, aBy);
  }
  if (const auto* upstream = std::get_if<Upstream>(&aItem)) {
    AdjustCount(aReferences.mUpstreamsOfService, upstream->mService, aBy);
    auto name = UpstreamKey(upstream->mService, upstream->mWorker);
    auto& names = aReferences.mUpstreamsOfWorker[upstream->mWorker];
    if (aBy > 0) {
      names.insert(std::move(name));
    } else {
      names.erase(name);
    }
    if (names.empty()) {
      aReferences.mUpstreamsOfWorker.erase(upstream->mWorker);
    }
  }
}

/// The configuration for changes; copied first when it is shared.
Configuration& MutableConfiguration(ConfigurationLog& aLog)
{
  if (aLog.mConfiguration.use_count() > 1) {
    aLog.mConfiguration = std::make_shared<Configuration>(*aLog.mConfiguration);
  }
  // The object was created non-const, here or in ConfigurationLog.
  return const_cast<Configuration&>(*aLog.mConfiguration);
}

/// Checks parsed puts and deletes against the configuration and applies them when no check fails.
/// The cost is proportional to the size of the change plus the number of upstreams of workers that
/// get a new address.
bool CheckAndApply(ConfigurationLog& aLog,
                   const Items& aPuts,
                   const std::set<std::string, std::less<>>& aDeletes,
                   yaml::Report& aReport)
{
  const Overlay overlay{ *aLog.mConfiguration, aPuts, aDeletes };
  auto& references = aLog.mReferences;
  for (const auto& [key, item] : aPuts) {
    CheckPut(overlay, key, item, aReport);
    if (aDeletes.contains(key)) {
      AddProblem(aReport, key, "both put and deleted", "one of the two");
    }
  }
  const auto released = CountReleased(overlay);
  for (const auto& key : aDeletes) {
    CheckDelete(overlay, references, released, key, aReport);
  }
  const auto affected = AffectedUpstreams(overlay, references);
  CheckEndpoints(overlay, references, affected, aReport);
  if (!aReport.mProblems.empty()) {
    return false;
  }
  auto& configuration = MutableConfiguration(aLog);
  const auto endpoints = [&](const auto& aVisit) {
    for (const auto& name : affected) {
      if (const auto* upstream = FindOrNull(configuration.mUpstreams, name)) {
        aVisit(Endpoint(configuration.mWorkers.at(upstream->mWorker), *upstream), name);
      }
    }
  };
  endpoints([&](const auto& aEndpoint, const auto&) { references.mEndpoints.erase(aEndpoint); });
  for (const auto& key : aDeletes) {
    UpdateReferences(references, *FindItem(configuration, key), -1);
    DeleteItem(configuration, key);
  }
  for (const auto& [key, item] : aPuts) {
    if (const auto before = FindItem(configuration, key)) {
      UpdateReferences(references, *before, -1);
    }
    UpdateReferences(references, item, 1);
    PutItem(configuration, item);
  }
  endpoints([&](auto aEndpoint, const auto& aName) {
    references.mEndpoints.emplace(std::move(aEndpoint), aName);
  });
  return true;
}

std::optional<Item> ParseBoundedItem(yaml::Report& aReport,
                                     std::string_view aKey,
                                     std::string_view aText)
{
  if (aText.size() > kMaxItemBytes) {
    AddProblem(aReport,
               aKey,
               std::to_string(aText.size()) + " bytes",
               "at most " + std::to_string(kMaxItemBytes));
    return std::nullopt;
  }
  return ParseItem(aReport, aKey, aText);
}

void AddRecentId(ConfigurationLog& aLog, Version aVersion, const std::string& aId)
{
  aLog.mRecentIds.emplace(aVersion, aId);
  aLog.mRecentVersions.insert_or_assign(aId, aVersion);
  while (aLog.mRecentIds.size() > kMaxRecentIds) {
    const auto oldest = aLog.mRecentIds.begin();
    aLog.mRecentVersions.erase(oldest->second);
    aLog.mRecentIds.erase(oldest);
  }
}

Outcome ApplyChange(ConfigurationLog& aLog, yaml::Report& aReport, const json::object& aObject)
{
  const auto version = VersionOf(aLog);
  auto change = ParseChange(aReport, aObject);
  if (!change) {
    return Reject(aReport, TextOf(aObject, "id"), version);
  }
  if (const auto* known = FindOrNull(aLog.mRecentVersions, change->mId)) {
    return { OutcomeKind::Duplicate, change->mId, *known, {} };
  }
  if (change->mBase != version) {
    return { OutcomeKind::LostRace, change->mId, version, {} };
  }
  if (change->mPuts.empty() && change->mDeletes.empty()) {
    AddProblem(aReport, "record", "neither puts nor deletes", "at least one");
  }
  Items puts;
  for (const auto& [key, text] : change->mPuts) {
    if (auto item = ParseBoundedItem(aReport, key, text)) {
      puts.emplace(key, std::move(*item));
    }
  }
  if (!aReport.mProblems.empty() || !CheckAndApply(aLog, puts, change->mDeletes, aReport)) {
    return Reject(aReport, change->mId, version);
  }
  MutableConfiguration(aLog).mVersion = version + 1;
  AddRecentId(aLog, version + 1, change->mId);
  return { OutcomeKind::Accepted, change->mId, version + 1, {} };
}

/// Replaces the configuration and the change ids by those of a snapshot. Reports invalid items and
/// then returns false.
bool LoadSnapshot(ConfigurationLog& aLog, const Snapshot& aSnapshot, yaml::Report& aReport)
{
  Items items;
  for (const auto& [key, value] : GetObject(aReport, *aSnapshot.mRecord, "items")) {
    if (!value.is_string()) {
      AddProblem(aReport, std::string_view(key), json::serialize(value), "a YAML text");
      continue;
    }
    // Printing an item is much cheaper than parsing it, and a reader that missed a few records
    // already holds most items.
    auto known = FindItem(*aLog.mConfiguration, key);
    if (!known || PrintItem(*known) != std::string_view(value.get_string())) {
      known = ParseBoundedItem(aReport, key, value.get_string());
    }
    if (known) {
      items.emplace(key, std::move(*known));
    }
  }
  ConfigurationLog fresh;
  if (!aReport.mProblems.empty() || !CheckAndApply(fresh, items, {}, aReport)) {
    return false;
  }
  MutableConfiguration(fresh).mVersion = aSnapshot.mVersion;
  auto version = aSnapshot.mVersion - aSnapshot.mIds.size();
  for (const auto& id : aSnapshot.mIds) {
    AddRecentId(fresh, ++version, id);
  }
  aLog.mConfiguration = std::move(fresh.mConfiguration);
  aLog.mReferences = std::move(fresh.mReferences);
  aLog.mRecentIds = std::move(fresh.mRecentIds);
  aLog.mRecentVersions = std::move(fresh.mRecentVersions);
  return true;
}

/// Applies the deferred records that an adopted snapshot does not include.
void ApplyDeferred(ConfigurationLog& aLog, std::uint64_t aThrough)
{
  for (const auto& record : std::exchange(aLog.mDeferred, {})) {
    if (record.mOffset < aThrough) {
      continue;
    }
    yaml::Report report{ "offset " + std::to_string(record.mOffset), {} };
    if (const auto object = ParseObject(report, record.mText)) {
      ApplyChange(aLog, report, *object);
    }
    aLog.mThroughMs = record.mAtMs;
  }
}

/// Adopts a newer snapshot. If its offset is at or after the start of the records read without a
/// gap, the history is complete again; otherwise only the configuration is taken.
Outcome Adopt(ConfigurationLog& aLog, const Snapshot& aSnapshot, yaml::Report& aReport)
{
  const auto version = VersionOf(aLog);
  const bool isContiguous =
    aSnapshot.mThrough >= (aLog.mHistoryComplete ? aLog.mNext : aLog.mGaplessFrom);
  if (aSnapshot.mVersion < version ||
      (aSnapshot.mVersion == version && (aLog.mHistoryComplete || !isContiguous)) ||
      (aLog.mHistoryComplete && aSnapshot.mThrough <= aLog.mNext)) {
    return { OutcomeKind::Ignored, {}, version, {} };
  }
  if (aSnapshot.mVersion > version && !LoadSnapshot(aLog, aSnapshot, aReport)) {
    return Reject(aReport, {}, version);
  }
  aLog.mThrough = aSnapshot.mThrough;
  aLog.mThroughMs = aSnapshot.mThroughMs;
  if (isContiguous) {
    aLog.mHistoryComplete = true;
    aLog.mNext = std::max(aLog.mNext, aSnapshot.mThrough);
    ApplyDeferred(aLog, aSnapshot.mThrough);
    aLog.mThrough = aLog.mNext;
  }
  return { OutcomeKind::SnapshotAdopted, {}, VersionOf(aLog), {} };
}

Outcome ApplySnapshot(ConfigurationLog& aLog,
                      std::uint64_t aOffset,
                      UnixMs aAtMs,
                      const json::object& aObject,
                      yaml::Report& aReport)
{
  const auto version = VersionOf(aLog);
  const auto snapshot = ParseSnapshot(aReport, aObject);
  if (snapshot && snapshot->mThrough > aOffset) {
    AddProblem(aReport,
               "through",
               std::to_string(snapshot->mThrough),
               "at most the record's own offset " + std::to_string(aOffset));
  }
  if (snapshot && aLog.mHistoryComplete && snapshot->mVersion > version) {
    AddProblem(aReport,
               "version",
               std::to_string(snapshot->mVersion),
               "at most the current version at this offset, " + std::to_string(version));
  }
  if (!aReport.mProblems.empty()) {
    return Reject(aReport, {}, version);
  }
  auto outcome = aLog.mHistoryComplete ? Outcome{ OutcomeKind::Ignored, {}, version, {} }
                                       : Adopt(aLog, *snapshot, aReport);
  if (outcome.mKind == OutcomeKind::Invalid) {
    return outcome;
  }
  // A reader that starts from this snapshot needs the records from the offset `through` on. The log
  // time of that offset is known only if it is the snapshot's own; otherwise an earlier time is
  // used.
  const auto needed = snapshot->mThrough == aOffset ? aAtMs : std::min(snapshot->mThroughMs, aAtMs);
  if (needed >= aLog.mSnapshotMs) {
    aLog.mSnapshotMs = needed;
    aLog.mRecordsSinceSnapshot = aOffset - snapshot->mThrough;
  }
  return outcome;
}

/// Adopts the configuration of a restore record if the record has the offset that it names.
Outcome ApplyRestore(ConfigurationLog& aLog,
                     std::uint64_t aOffset,
                     UnixMs aAtMs,
                     const json::object& aObject,
                     yaml::Report& aReport)
{
  const auto version = VersionOf(aLog);
  const auto id = TextOf(aObject, "id");
  const auto at = NumberOf(aReport, aObject, "at");
  if (!IsId(id)) {
    AddProblem(aReport, "id", Quoted(id), "1 to 128 characters");
  }
  if (!HasObject(aObject, "items")) {
    AddProblem(aReport, "items", "nothing", "an object of YAML texts");
  }
  if (!aReport.mProblems.empty()) {
    return Reject(aReport, id, version);
  }
  if (*at != aOffset) {
    return { OutcomeKind::LostRace, id, version, {} };
  }
  const Snapshot snapshot{ aOffset + 1, aOffset + 1, aAtMs, { id }, &aObject };
  if (!LoadSnapshot(aLog, snapshot, aReport)) {
    return Reject(aReport, id, version);
  }
  aLog.mHistoryComplete = true;
  aLog.mDeferred.clear();
  // A reader can start from this record as from a snapshot.
  aLog.mSnapshotMs = aAtMs;
  aLog.mRecordsSinceSnapshot = 0;
  return { OutcomeKind::Accepted, id, aOffset + 1, {} };
}

void DeferRecord(ConfigurationLog& aLog,
                 std::uint64_t aOffset,
                 UnixMs aAtMs,
                 std::string_view aText)
{
  auto& deferred = aLog.mDeferred;
  deferred.push_back({ aOffset, aAtMs, std::string(aText) });
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < deferred.size() && kept < kMaxDeferredRecords) {
    bytes += deferred[deferred.size() - 1 - kept].mText.size();
    if (bytes > kMaxDeferredBytes) {
      break;
    }
    ++kept;
  }
  if (const auto dropped = deferred.size() - kept; dropped > 0) {
    aLog.mGaplessFrom = deferred[dropped - 1].mOffset + 1;
    deferred.erase(deferred.begin(), deferred.begin() + static_cast<std::ptrdiff_t>(dropped));
  }
}

json::object ItemsToJson(const Configuration& aConfiguration)
{
  json::object items;
  for (const auto& item : ItemsOf(aConfiguration)) {
    items[KeyOf(item)] = PrintItem(item);
  }
  return items;
}

} // namespace

std::string_view ToString(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Accepted:
      return "accepted";
    case OutcomeKind::LostRace:
      return "lost_race";
    case OutcomeKind::Duplicate:
      return "duplicate";
    case OutcomeKind::Invalid:
      return "invalid";
    case OutcomeKind::SnapshotAdopted:
      return "snapshot_adopted";
    case OutcomeKind::Deferred:
      return "deferred";
    case OutcomeKind::Ignored:
      break;
  }
  return "ignored";
}

Version VersionOf(const ConfigurationLog& aLog)
{
  return aLog.mConfiguration->mVersion;
}

bool NoteOldestOffset(ConfigurationLog& aLog, std::uint64_t aFirst)
{
  if (aFirst > aLog.mNext) {
    aLog.mHistoryComplete = false;
    aLog.mGaplessFrom = aFirst;
    aLog.mNext = aFirst;
    aLog.mDeferred.clear();
  }
  return !aLog.mHistoryComplete;
}

Outcome ApplyRecord(ConfigurationLog& aLog,
                    std::uint64_t aOffset,
                    UnixMs aAtMs,
                    std::string_view aText)
{
  if (aOffset < aLog.mNext) {
    return { OutcomeKind::Ignored, {}, VersionOf(aLog), {} };
  }
  NoteOldestOffset(aLog, aOffset);
  aLog.mNext = aOffset + 1;
  ++aLog.mRecordsSinceSnapshot;
  if (aLog.mSnapshotMs == 0) {
    aLog.mSnapshotMs = aAtMs;
  }
  yaml::Report report{ "offset " + std::to_string(aOffset), {} };
  const auto object = ParseObject(report, aText);
  const auto type = object ? TextOf(*object, "type") : std::string();
  Outcome outcome{ OutcomeKind::Ignored, {}, VersionOf(aLog), {} };
  if (!object) {
    outcome = Reject(report, {}, VersionOf(aLog));
  } else if (type == "snapshot") {
    outcome = ApplySnapshot(aLog, aOffset, aAtMs, *object, report);
  } else if (type == "restore") {
    outcome = ApplyRestore(aLog, aOffset, aAtMs, *object, report);
  } else if (type == "change" && aLog.mHistoryComplete) {
    outcome = ApplyChange(aLog, report, *object);
  } else if (type == "change") {
    DeferRecord(aLog, aOffset, aAtMs, aText);
    outcome = { OutcomeKind::Deferred, TextOf(*object, "id"), VersionOf(aLog), {} };
  }
  if (aLog.mHistoryComplete) {
    aLog.mThrough = aLog.mNext;
    aLog.mThroughMs = aAtMs;
  }
  return outcome;
}

Change MakeChange(const Configuration& aFrom, const Configuration& aTo, std::string aId)
{
  Change change;
  change.mId = std::move(aId);
  change.mBase = aFrom.mVersion;
  const auto compare = [&change](const auto& aOld, const auto& aNew) {
    for (const auto& [key, item] : aNew) {
      if (const auto* before = FindOrNull(aOld, key); !before || !(*before == item)) {
        change.mPuts.emplace(KeyOf(item), PrintItem(item));
      }
    }
    for (const auto& [key, item] : aOld) {
      if (!aNew.contains(key)) {
        change.mDeletes.insert(KeyOf(item));
      }
    }
  };
  compare(aFrom.mDataCentres, aTo.mDataCentres);
  compare(aFrom.mWorkers, aTo.mWorkers);
  compare(aFrom.mServices, aTo.mServices);
  compare(aFrom.mUpstreams, aTo.mUpstreams);
  compare(aFrom.mTeams, aTo.mTeams);
  return change;
}

std::string ChangeRecord(const Change& aChange)
{
  json::object puts;
  for (const auto& [key, text] : aChange.mPuts) {
    puts[key] = text;
  }
  json::array deletes;
  for (const auto& key : aChange.mDeletes) {
    deletes.emplace_back(key);
  }
  json::object record{ { "type", "change" },
                       { "id", aChange.mId },
                       { "base", aChange.mBase },
                       { "deletes", std::move(deletes) } };
  AddObject(record, "puts", std::move(puts));
  return json::serialize(record);
}

std::string RestoreRecord(const Configuration& aConfiguration,
                          std::string_view aId,
                          std::uint64_t aOffset)
{
  json::object record{ { "type", "restore" }, { "id", aId }, { "at", aOffset } };
  AddObject(record, "items", ItemsToJson(aConfiguration));
  return json::serialize(record);
}

std::string SnapshotRecord(const ConfigurationLog& aLog)
{
  json::array ids;
  for (const auto& [version, id] : aLog.mRecentIds) {
    ids.emplace_back(id);
  }
  json::object record{ { "type", "snapshot" },
                       { "version", VersionOf(aLog) },
                       { "through", aLog.mThrough },
                       { "through_ms", aLog.mThroughMs },
                       { "ids", std::move(ids) } };
  AddObject(record, "items", ItemsToJson(*aLog.mConfiguration));
  return json::serialize(record);
}

Outcome AdoptSnapshot(ConfigurationLog& aLog, std::string_view aText)
{
  yaml::Report report{ "peer", {} };
  const auto object = ParseObject(report, aText);
  const auto snapshot = object ? ParseSnapshot(report, *object) : std::nullopt;
  if (!snapshot) {
    return Reject(report, {}, VersionOf(aLog));
  }
  auto outcome = Adopt(aLog, *snapshot, report);
  if (outcome.mKind == OutcomeKind::SnapshotAdopted && aLog.mSnapshotMs == 0) {
    aLog.mSnapshotMs = snapshot->mThroughMs;
  }
  return outcome;
}

bool IsSnapshotDue(const ConfigurationLog& aLog,
                   UnixMs aNowMs,
                   std::chrono::milliseconds aRetention,
                   double aJitter)
{
  // Version 0 is not excluded: a log that holds only rejected changes needs a snapshot too. Without
  // it a new reader could not tell that there is no configuration.
  if (!aLog.mHistoryComplete || aLog.mSnapshotMs == 0) {
    return false;
  }
  const auto age = static_cast<double>(aNowMs - aLog.mSnapshotMs);
  const auto due = static_cast<double>(aRetention.count()) *
                   (kMinSnapshotAgeRatio + kSnapshotAgeRatioSpread * aJitter);
  return age >= due || aLog.mRecordsSinceSnapshot >= kRecordsPerSnapshot;
}

} // namespace pollenwall::configuration
