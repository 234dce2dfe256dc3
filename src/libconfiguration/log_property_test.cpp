// Simulates several readers and operators on one log from a seed, with restarts, pauses, retention,
// outages, lost answers, repeated and late appends, late snapshots of paused processes, and
// restores.

#include <pollenwall/configuration_log.h>
#include <pollenwall/configuration_yaml.h>

#include <iostream>
#include <optional>
#include <random>
#include <set>

#include <boost/json.hpp>
#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::configuration;

namespace {

/// A rule of the configuration log, or of its use, that the simulation breaks to show that the
/// checks detect it.
enum class BrokenRule
{
  Nothing,
  MissedRecords,  ///< Readers skip trimmed records as if they had read them.
  SnapshotOffset, ///< A snapshot's `through` is its own offset, after records it does not include.
  RestoreOffset,  ///< A restore record takes effect at any offset.
  RepeatId,       ///< A repeated append has a new id and the current version as its base.
  LowerSnapshot,  ///< A reader discards its version and adopts a peer's lower one.
  StaleBase,      ///< The base of a change is replaced by the current version at the append.
  NoSnapshots,    ///< No process republishes a snapshot.
};

constexpr UnixMs kRetentionMs = 100000;
constexpr std::chrono::milliseconds kRetention{ kRetentionMs };

struct Record
{
  UnixMs mAtMs = 0;
  std::string mText;
};

struct Reader
{
  ConfigurationLog mLog;
  Version mHighestVersion = 0; ///< Highest version since the process started.
  bool mPaused = false;
  double mJitter = 0;
  std::optional<std::string> mDelayedSnapshot; ///< Made before a pause, not yet appended.
};

struct World
{
  std::mt19937_64 mRandom;
  BrokenRule mBrokenRule = BrokenRule::Nothing;
  /// Reader 0 reads every record at once and is never paused; no restore may be needed then.
  bool mHasSteadyReader = false;
  UnixMs mNowMs = 1'000'000;
  bool mOutage = false;
  std::uint64_t mFirst = 0;
  std::vector<Record> mRecords;
  std::vector<Reader> mReaders;
  std::vector<Reader> mOperators;
  std::vector<std::string> mPendingRepeats; ///< Records to be appended again or late.
  std::size_t mIds = 0;
  std::size_t mRestores = 0;

  ConfigurationLog mReference; ///< Has applied every record since the first.
  std::vector<Outcome> mOutcomes;
  std::map<Version, Configuration> mContents;
  std::set<std::string> mAppliedIds; ///< Ids that took effect, without the suffix of RepeatId.
  std::string mFailure;              ///< The first violation; empty while there is none.
};

std::size_t Draw(World& aWorld, std::size_t aBelow)
{
  return aWorld.mRandom() % aBelow;
}

bool Chance(World& aWorld, double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(aWorld.mRandom) < aProbability;
}

void Fail(World& aWorld, std::string aWhat)
{
  if (aWorld.mFailure.empty()) {
    aWorld.mFailure = std::move(aWhat);
  }
}

std::string Field(const std::string& aText, std::string_view aKey)
{
  const auto value = boost::json::parse(aText);
  const auto* field = value.as_object().if_contains(aKey);
  return field && field->is_string() ? std::string(field->get_string()) : std::string();
}

std::string Replaced(const std::string& aText, std::string_view aKey, std::uint64_t aNumber)
{
  auto value = boost::json::parse(aText);
  value.as_object()[aKey] = aNumber;
  return boost::json::serialize(value);
}

/// The record as it is appended; altered if a broken rule requires it.
std::string Altered(const World& aWorld, std::string aText)
{
  const auto type = Field(aText, "type");
  const std::uint64_t offset = aWorld.mRecords.size();
  if (aWorld.mBrokenRule == BrokenRule::SnapshotOffset && type == "snapshot") {
    return Replaced(aText, "through", offset);
  }
  if (aWorld.mBrokenRule == BrokenRule::RestoreOffset && type == "restore") {
    return Replaced(aText, "at", offset);
  }
  if (aWorld.mBrokenRule == BrokenRule::StaleBase && type == "change") {
    return Replaced(aText, "base", VersionOf(aWorld.mReference));
  }
  return aText;
}

void Append(World& aWorld, const std::string& aText)
{
  const auto offset = aWorld.mRecords.size();
  aWorld.mRecords.push_back({ aWorld.mNowMs, Altered(aWorld, aText) });
  const auto& text = aWorld.mRecords.back().mText;
  const auto before = VersionOf(aWorld.mReference);
  const auto outcome = ApplyRecord(aWorld.mReference, offset, aWorld.mNowMs, text);
  aWorld.mOutcomes.push_back(outcome);
  if (outcome.mKind != OutcomeKind::Accepted) {
    return;
  }
  if (outcome.mVersion <= before) {
    Fail(aWorld, "an accepted change did not raise the version");
  }
  aWorld.mContents[outcome.mVersion] = *aWorld.mReference.mConfiguration;
  const auto id = outcome.mId.substr(0, outcome.mId.find('+'));
  if (!aWorld.mAppliedIds.insert(id).second) {
    Fail(aWorld, id + " took effect twice");
  }
  if (Field(text, "type") == "change") {
    // A change may take effect only on the version that its operator saw, which is in its id.
    const auto seen = id.substr(id.find('@') + 1);
    if (std::to_string(before) != seen) {
      Fail(aWorld, "change " + outcome.mId + " took effect on version " + std::to_string(before));
    }
  }
}

void Expire(World& aWorld)
{
  auto& first = aWorld.mFirst;
  while (first < aWorld.mRecords.size() &&
         aWorld.mRecords[first].mAtMs + kRetentionMs < aWorld.mNowMs) {
    ++first;
  }
}

void CheckReader(World& aWorld, Reader& aReader)
{
  const auto version = VersionOf(aReader.mLog);
  if (version < aReader.mHighestVersion) {
    Fail(aWorld,
         "a version decreased from " + std::to_string(aReader.mHighestVersion) + " to " +
           std::to_string(version));
  }
  aReader.mHighestVersion = version;
  if (version == 0) {
    return;
  }
  const auto it = aWorld.mContents.find(version);
  if (it == aWorld.mContents.end() || !(it->second == *aReader.mLog.mConfiguration)) {
    Fail(aWorld, "a reader has a different content of version " + std::to_string(version));
  }
}

void Read(World& aWorld, Reader& aReader, std::size_t aMax)
{
  if (aWorld.mOutage) {
    return;
  }
  auto& log = aReader.mLog;
  if (aWorld.mBrokenRule == BrokenRule::MissedRecords) {
    log.mNext = std::max(log.mNext, aWorld.mFirst);
  } else if (aWorld.mRecords.size() == aWorld.mFirst || Chance(aWorld, 0.5)) {
    // Without this call the first record read reveals the gap.
    NoteOldestOffset(log, aWorld.mFirst);
  }
  auto offset = std::max(log.mNext, aWorld.mFirst);
  for (std::size_t n = 0; n < aMax && offset < aWorld.mRecords.size(); ++n, ++offset) {
    const auto& record = aWorld.mRecords[offset];
    const bool isComplete = log.mHistoryComplete && offset == log.mNext;
    const auto outcome = ApplyRecord(log, offset, record.mAtMs, record.mText);
    const auto& expected = aWorld.mOutcomes[offset];
    if (isComplete && (outcome.mKind != expected.mKind || outcome.mVersion != expected.mVersion)) {
      Fail(aWorld,
           "readers disagree on offset " + std::to_string(offset) + ": " +
             std::string(ToString(outcome.mKind)) + " and " +
             std::string(ToString(expected.mKind)));
    }
    CheckReader(aWorld, aReader);
  }
}

void ReadAll(World& aWorld, Reader& aReader)
{
  Read(aWorld, aReader, aWorld.mRecords.size() + 1);
}

void AdoptFromPeer(World& aWorld, Reader& aReader, const Reader& aPeer)
{
  if (VersionOf(aPeer.mLog) == 0) {
    return;
  }
  const auto text = SnapshotRecord(aPeer.mLog);
  if (aWorld.mBrokenRule == BrokenRule::LowerSnapshot) {
    aReader.mLog = {};
  }
  const auto outcome = AdoptSnapshot(aReader.mLog, text);
  if (outcome.mKind == OutcomeKind::Invalid) {
    Fail(aWorld, "a peer's snapshot is invalid");
  }
  CheckReader(aWorld, aReader);
}

void AppendSnapshotIfDue(World& aWorld, Reader& aReader)
{
  if (aWorld.mBrokenRule == BrokenRule::NoSnapshots ||
      !IsSnapshotDue(aReader.mLog, aWorld.mNowMs, kRetention, aReader.mJitter)) {
    return;
  }
  const auto text = SnapshotRecord(aReader.mLog);
  const bool isSteady = aWorld.mHasSteadyReader && &aReader == aWorld.mReaders.data();
  if (!isSteady && Chance(aWorld, 0.3)) {
    aReader.mDelayedSnapshot = text;
    aReader.mPaused = true;
  } else if (!aWorld.mOutage) {
    Append(aWorld, text);
  }
}

std::string RandomValue(World& aWorld, const std::string& aKey)
{
  const auto n = std::to_string(1 + Draw(aWorld, 3));
  if (aKey.starts_with("data_centre/")) {
    return "{one_way_latency_us: " + n + "}";
  }
  if (aKey.starts_with("worker/")) {
    return "{data_centre: d" + n + ", address: 10.0.0." + std::to_string(1 + Draw(aWorld, 3)) + "}";
  }
  if (aKey.starts_with("upstream/")) {
    return "{port: " + n + "}";
  }
  return aKey.starts_with("team/") ? "{weight: " + n + "}" : "{expected_run_ms: " + n + "}";
}

/// A random change. Many are valid, others refer to unknown items or delete items in use.
Change RandomChange(World& aWorld, const Configuration& aBase, std::string aId)
{
  Change change{ std::move(aId), aBase.mVersion, {}, {} };
  const auto number = [&aWorld] { return std::to_string(1 + Draw(aWorld, 3)); };
  for (std::size_t n = 1 + Draw(aWorld, 4); n > 0; --n) {
    std::string key;
    switch (Draw(aWorld, 5)) {
      case 0:
        key = "data_centre/d" + number();
        break;
      case 1:
        key = "worker/w" + number();
        break;
      case 2:
        key = "service/s" + number();
        break;
      case 3:
        key = "upstream/s" + number() + "/w" + number();
        break;
      default:
        key = "team/t" + number();
    }
    if (FindItem(aBase, key) && Chance(aWorld, 0.4)) {
      change.mDeletes.insert(key);
    } else {
      change.mPuts[key] = RandomValue(aWorld, key);
    }
  }
  return change;
}

void RunOperator(World& aWorld, Reader& aOperator)
{
  if (Chance(aWorld, 0.6)) {
    Read(aWorld, aOperator, 1 + Draw(aWorld, 20));
  }
  if (!aOperator.mLog.mHistoryComplete) {
    if (Chance(aWorld, 0.1) && !aWorld.mHasSteadyReader) {
      const auto text = RestoreRecord(*aOperator.mLog.mConfiguration,
                                      "restore-" + std::to_string(++aWorld.mIds),
                                      aOperator.mLog.mNext);
      if (!aWorld.mOutage && aOperator.mLog.mConfiguration->mVersion > 0) {
        Append(aWorld, text);
        aWorld.mPendingRepeats.push_back(text);
      }
    }
    return;
  }
  const auto& base = *aOperator.mLog.mConfiguration;
  // The id contains the version that the operator saw, for the check in Append.
  const auto id = "change-" + std::to_string(++aWorld.mIds) + "@" + std::to_string(base.mVersion);
  const auto text = ChangeRecord(RandomChange(aWorld, base, id));
  const auto delivery = Draw(aWorld, 4);
  if (delivery != 0 && !aWorld.mOutage) {
    Append(aWorld, text);
  }
  // The request or its answer was lost, so that the append is repeated later.
  if (delivery <= 1) {
    aWorld.mPendingRepeats.push_back(text);
  }
}

void RepeatAppend(World& aWorld)
{
  if (aWorld.mPendingRepeats.empty() || aWorld.mOutage) {
    return;
  }
  const auto n = Draw(aWorld, aWorld.mPendingRepeats.size());
  auto text = aWorld.mPendingRepeats[n];
  if (Chance(aWorld, 0.7)) {
    aWorld.mPendingRepeats.erase(aWorld.mPendingRepeats.begin() + static_cast<std::ptrdiff_t>(n));
  }
  if (aWorld.mBrokenRule == BrokenRule::RepeatId && Field(text, "type") == "change") {
    auto value = boost::json::parse(text);
    value.as_object()["id"] = Field(text, "id") + "+" + std::to_string(++aWorld.mIds);
    value.as_object()["base"] = VersionOf(aWorld.mReference);
    text = boost::json::serialize(value);
  }
  Append(aWorld, text);
}

void Step(World& aWorld)
{
  const auto n = Draw(aWorld, aWorld.mReaders.size());
  auto& reader = aWorld.mReaders[n];
  const bool isSteady = aWorld.mHasSteadyReader && n == 0;
  switch (Draw(aWorld, 12)) {
    case 0:
      aWorld.mOutage = Chance(aWorld, 0.3);
      break;
    case 1:
      if (!isSteady && Chance(aWorld, 0.5)) {
        const auto jitter = reader.mJitter;
        reader = {};
        reader.mJitter = jitter;
      }
      break;
    case 2:
      reader.mPaused = !isSteady && Chance(aWorld, 0.5);
      break;
    case 3:
      if (!reader.mPaused && reader.mDelayedSnapshot && !aWorld.mOutage) {
        Append(aWorld, *reader.mDelayedSnapshot);
        reader.mDelayedSnapshot.reset();
      }
      break;
    case 4:
      if (!reader.mPaused) {
        AdoptFromPeer(aWorld, reader, aWorld.mReaders[Draw(aWorld, aWorld.mReaders.size())]);
      }
      break;
    case 5:
    case 6:
    case 7:
      RunOperator(aWorld, aWorld.mOperators[Draw(aWorld, aWorld.mOperators.size())]);
      break;
    case 8:
      RepeatAppend(aWorld);
      break;
    default:
      if (!reader.mPaused) {
        Read(aWorld, reader, 1 + Draw(aWorld, 8));
        AppendSnapshotIfDue(aWorld, reader);
      }
  }
  aWorld.mNowMs += static_cast<UnixMs>(Draw(aWorld, kRetentionMs / 20));
  if (aWorld.mHasSteadyReader) {
    // It reads its own snapshot too. A record that no reader had read before an outage longer than
    // the retention would be lost, and only a restore could repair that.
    ReadAll(aWorld, aWorld.mReaders.front());
    AppendSnapshotIfDue(aWorld, aWorld.mReaders.front());
    ReadAll(aWorld, aWorld.mReaders.front());
  }
  Expire(aWorld);
}

bool AllReached(const World& aWorld)
{
  for (const auto& reader : aWorld.mReaders) {
    if (VersionOf(reader.mLog) != VersionOf(aWorld.mReference) || !reader.mLog.mHistoryComplete) {
      return false;
    }
  }
  return true;
}

/// After the last fault lets every process read, and republish snapshots when they are due, until
/// all readers agree.
void Converge(World& aWorld)
{
  aWorld.mOutage = false;
  for (auto& reader : aWorld.mReaders) {
    reader.mPaused = false;
    if (reader.mDelayedSnapshot) {
      Append(aWorld, *std::exchange(reader.mDelayedSnapshot, std::nullopt));
    }
  }
  for (int round = 0; round < 40 && !AllReached(aWorld); ++round) {
    for (auto& reader : aWorld.mReaders) {
      ReadAll(aWorld, reader);
      if (aWorld.mBrokenRule != BrokenRule::NoSnapshots &&
          IsSnapshotDue(reader.mLog, aWorld.mNowMs, kRetention, reader.mJitter)) {
        Append(aWorld, SnapshotRecord(reader.mLog));
      }
    }
    aWorld.mNowMs += kRetentionMs / 20;
    Expire(aWorld);
    // No reader has a complete history and the log has no snapshot to start from, so an operator
    // appends a restore record.
    if (round == 30 && !aWorld.mHasSteadyReader) {
      ++aWorld.mRestores;
      Append(aWorld,
             RestoreRecord(*aWorld.mReaders[0].mLog.mConfiguration,
                           "restore-" + std::to_string(++aWorld.mIds),
                           aWorld.mRecords.size()));
    }
  }
  if (!AllReached(aWorld)) {
    Fail(aWorld,
         "not every reader reached version " + std::to_string(VersionOf(aWorld.mReference)));
  }
}

/// Checks that the incrementally updated indexes equal those built from the items alone.
void CheckIndexes(World& aWorld, const Reader& aReader)
{
  if (VersionOf(aReader.mLog) == 0) {
    return;
  }
  ConfigurationLog fresh;
  AdoptSnapshot(fresh, SnapshotRecord(aReader.mLog));
  if (!(fresh.mReferences == aReader.mLog.mReferences) ||
      fresh.mRecentIds != aReader.mLog.mRecentIds ||
      fresh.mRecentVersions != aReader.mLog.mRecentVersions ||
      !(*fresh.mConfiguration == *aReader.mLog.mConfiguration)) {
    Fail(aWorld, "the indexes of a reader differ from those of its items");
  }
}

/// The result of a run. The counts show that the cases of interest occur.
struct Summary
{
  std::string mFailure;
  Version mVersion = 0;
  std::size_t mRecords = 0;
  std::size_t mRestores = 0;
};

Summary Simulate(std::uint64_t aSeed, BrokenRule aBrokenRule, bool aHasSteadyReader)
{
  World world;
  world.mRandom.seed(aSeed);
  world.mBrokenRule = aBrokenRule;
  world.mHasSteadyReader = aHasSteadyReader;
  world.mReaders.resize(4);
  world.mOperators.resize(3);
  for (auto& reader : world.mReaders) {
    reader.mJitter = std::uniform_real_distribution<>(0, 1)(world.mRandom);
  }
  for (int n = 0; n < 400 && world.mFailure.empty(); ++n) {
    Step(world);
  }
  if (world.mFailure.empty()) {
    Converge(world);
  }
  for (const auto& reader : world.mReaders) {
    CheckIndexes(world, reader);
  }
  return { world.mFailure, VersionOf(world.mReference), world.mRecords.size(), world.mRestores };
}

bool PropertyHolds(std::string_view aName, bool aHasSteadyReader)
{
  return rc::check(std::string(aName), [aHasSteadyReader] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const auto summary = Simulate(seed, BrokenRule::Nothing, aHasSteadyReader);
    RC_CLASSIFY(summary.mRestores > 0, "needed a restore");
    RC_CLASSIFY(summary.mVersion >= 20, "20 or more versions");
    if (!summary.mFailure.empty()) {
      RC_FAIL(summary.mFailure);
    }
  });
}

/// Guards against checks that pass for any implementation: with a rule broken, some run has to
/// fail.
bool IsDetected(BrokenRule aBrokenRule, std::string_view aName)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const auto summary = Simulate(seed, aBrokenRule, true);
    const auto other = summary.mFailure.empty() ? Simulate(seed, aBrokenRule, false) : summary;
    if (!other.mFailure.empty()) {
      std::cout << "broken " << aName << ", seed " << seed << ": " << other.mFailure << "\n";
      return true;
    }
  }
  std::cerr << "failed: broken " << aName << " is not detected\n";
  return false;
}

} // namespace

int main()
{
  // Guards against versions that decrease, contents that differ between readers, a change that
  // takes effect twice or on another version than its operator saw, and readers that never catch
  // up.
  bool passed = PropertyHolds("readers agree under faults", false);
  // Guards against a log from which no new reader can start although one process is always up.
  passed &= PropertyHolds("readers agree without a restore while one process is up", true);
  passed &= IsDetected(BrokenRule::MissedRecords, "rule: missed records are detected");
  passed &= IsDetected(BrokenRule::SnapshotOffset, "rule: a snapshot names its offset");
  passed &= IsDetected(BrokenRule::RestoreOffset, "rule: a restore has one offset");
  passed &= IsDetected(BrokenRule::RepeatId, "rule: a repeat has the same id");
  passed &= IsDetected(BrokenRule::LowerSnapshot, "rule: a lower snapshot is not adopted");
  passed &= IsDetected(BrokenRule::StaleBase, "rule: the base is the operator's");
  passed &= IsDetected(BrokenRule::NoSnapshots, "rule: snapshots are republished");
  return passed ? 0 : 1;
}
