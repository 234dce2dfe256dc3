// Several readers and operators on one simulated log, from a seed: restarts, pauses, retention,
// outages, lost answers, repeated and late appends, snapshots of processes that slept, restores.

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

/// A rule of the fold or of its use that the simulation breaks, to show that the property notices.
enum class Broken
{
  Nothing,
  MissedRecords, ///< Readers skip missed records as if they had read them.
  SnapshotPlace, ///< A snapshot claims to hold every record before its own offset.
  RestorePlace,  ///< A restore record takes effect at any offset.
  RepeatId,      ///< A repeated append has a new id and the base in force.
  LowerSnapshot, ///< A reader that holds a version starts again from a peer's lower one.
  StaleBase,     ///< The base of a change is replaced by the one in force when it is appended.
  NoSnapshots,   ///< No process republishes a snapshot.
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
  Version mLast = 0; ///< Highest version since the process started.
  bool mSleeps = false;
  double mShare = 0;
  std::optional<std::string> mHeld; ///< A snapshot made before a pause and not appended yet.
};

struct World
{
  std::mt19937_64 mRandom;
  Broken mBroken = Broken::Nothing;
  bool mSteady = false; ///< Reader 0 reads every record at once, so that no restore may be needed.
  UnixMs mNowMs = 1'000'000;
  bool mOutage = false;
  std::uint64_t mFirst = 0;
  std::vector<Record> mRecords;
  std::vector<Reader> mReaders;
  std::vector<Reader> mOperators;
  std::vector<std::string> mRepeats; ///< Records that will be appended again, or late.
  std::size_t mIds = 0;
  std::size_t mRestores = 0;

  ConfigurationLog mTruth; ///< Has folded every record from the first one.
  std::vector<Outcome> mOutcomes;
  std::map<Version, Configuration> mContents;
  std::set<std::string> mIntents; ///< Ids that took effect, without the suffix of a repeat.
  std::string mFailure;           ///< The first violation; empty while there is none.
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

/// The record as the log takes it, altered by a broken rule.
std::string Altered(const World& aWorld, std::string aText)
{
  const auto type = Field(aText, "type");
  const std::uint64_t offset = aWorld.mRecords.size();
  if (aWorld.mBroken == Broken::SnapshotPlace && type == "snapshot") {
    return Replaced(aText, "through", offset);
  }
  if (aWorld.mBroken == Broken::RestorePlace && type == "restore") {
    return Replaced(aText, "at", offset);
  }
  if (aWorld.mBroken == Broken::StaleBase && type == "change") {
    return Replaced(aText, "base", VersionOf(aWorld.mTruth));
  }
  return aText;
}

void Append(World& aWorld, const std::string& aText)
{
  const auto offset = aWorld.mRecords.size();
  aWorld.mRecords.push_back({ aWorld.mNowMs, Altered(aWorld, aText) });
  const auto& text = aWorld.mRecords.back().mText;
  const auto before = VersionOf(aWorld.mTruth);
  const auto outcome = ApplyRecord(aWorld.mTruth, offset, aWorld.mNowMs, text);
  aWorld.mOutcomes.push_back(outcome);
  if (outcome.mKind != OutcomeKind::Accepted) {
    return;
  }
  if (outcome.mVersion <= before) {
    Fail(aWorld, "an accepted change did not raise the version");
  }
  aWorld.mContents[outcome.mVersion] = *aWorld.mTruth.mConfiguration;
  const auto id = outcome.mId.substr(0, outcome.mId.find('+'));
  if (!aWorld.mIntents.insert(id).second) {
    Fail(aWorld, id + " took effect twice");
  }
  if (Field(text, "type") == "change") {
    // A change is a proposal for the version that its operator saw.
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
  if (version < aReader.mLast) {
    Fail(aWorld,
         "a version fell from " + std::to_string(aReader.mLast) + " to " + std::to_string(version));
  }
  aReader.mLast = version;
  if (version == 0) {
    return;
  }
  const auto it = aWorld.mContents.find(version);
  if (it == aWorld.mContents.end() || !(it->second == *aReader.mLog.mConfiguration)) {
    Fail(aWorld, "a reader has another content of version " + std::to_string(version));
  }
}

void Read(World& aWorld, Reader& aReader, std::size_t aMax)
{
  if (aWorld.mOutage) {
    return;
  }
  auto& log = aReader.mLog;
  if (aWorld.mBroken == Broken::MissedRecords) {
    log.mNext = std::max(log.mNext, aWorld.mFirst);
  } else if (aWorld.mRecords.size() == aWorld.mFirst || Chance(aWorld, 0.5)) {
    // Without this call the first record that is read shows the gap.
    NoteFirst(log, aWorld.mFirst);
  }
  auto offset = std::max(log.mNext, aWorld.mFirst);
  for (std::size_t n = 0; n < aMax && offset < aWorld.mRecords.size(); ++n, ++offset) {
    const auto& record = aWorld.mRecords[offset];
    const bool exact = log.mExact && offset == log.mNext;
    const auto outcome = ApplyRecord(log, offset, record.mAtMs, record.mText);
    const auto& truth = aWorld.mOutcomes[offset];
    if (exact && (outcome.mKind != truth.mKind || outcome.mVersion != truth.mVersion)) {
      Fail(aWorld,
           "readers judge offset " + std::to_string(offset) + " as " +
             std::string(ToString(outcome.mKind)) + " and " + std::string(ToString(truth.mKind)));
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
  if (aWorld.mBroken == Broken::LowerSnapshot) {
    aReader.mLog = {};
  }
  const auto outcome = AdoptSnapshot(aReader.mLog, text);
  if (outcome.mKind == OutcomeKind::Invalid) {
    Fail(aWorld, "a peer's snapshot is invalid");
  }
  CheckReader(aWorld, aReader);
}

void MaybeSnapshot(World& aWorld, Reader& aReader)
{
  if (aWorld.mBroken == Broken::NoSnapshots ||
      !SnapshotDue(aReader.mLog, aWorld.mNowMs, kRetention, aReader.mShare)) {
    return;
  }
  const auto text = SnapshotRecord(aReader.mLog);
  const bool steady = aWorld.mSteady && &aReader == aWorld.mReaders.data();
  if (!steady && Chance(aWorld, 0.3)) {
    aReader.mHeld = text;
    aReader.mSleeps = true;
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

/// A random change; many are valid, others name unknown items or delete items in use.
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

void Operate(World& aWorld, Reader& aOperator)
{
  if (Chance(aWorld, 0.6)) {
    Read(aWorld, aOperator, 1 + Draw(aWorld, 20));
  }
  if (!aOperator.mLog.mExact) {
    if (Chance(aWorld, 0.1) && !aWorld.mSteady) {
      const auto text = RestoreRecord(*aOperator.mLog.mConfiguration,
                                      "restore-" + std::to_string(++aWorld.mIds),
                                      aOperator.mLog.mNext);
      if (!aWorld.mOutage && aOperator.mLog.mConfiguration->mVersion > 0) {
        Append(aWorld, text);
        aWorld.mRepeats.push_back(text);
      }
    }
    return;
  }
  const auto& base = *aOperator.mLog.mConfiguration;
  // The id tells the check the version that the operator saw.
  const auto id = "change-" + std::to_string(++aWorld.mIds) + "@" + std::to_string(base.mVersion);
  const auto text = ChangeRecord(RandomChange(aWorld, base, id));
  const auto fate = Draw(aWorld, 4);
  if (fate != 0 && !aWorld.mOutage) {
    Append(aWorld, text);
  }
  // The request or its answer was lost: it will be repeated, perhaps late.
  if (fate <= 1) {
    aWorld.mRepeats.push_back(text);
  }
}

void Repeat(World& aWorld)
{
  if (aWorld.mRepeats.empty() || aWorld.mOutage) {
    return;
  }
  const auto n = Draw(aWorld, aWorld.mRepeats.size());
  auto text = aWorld.mRepeats[n];
  if (Chance(aWorld, 0.7)) {
    aWorld.mRepeats.erase(aWorld.mRepeats.begin() + static_cast<std::ptrdiff_t>(n));
  }
  if (aWorld.mBroken == Broken::RepeatId && Field(text, "type") == "change") {
    auto value = boost::json::parse(text);
    value.as_object()["id"] = Field(text, "id") + "+" + std::to_string(++aWorld.mIds);
    value.as_object()["base"] = VersionOf(aWorld.mTruth);
    text = boost::json::serialize(value);
  }
  Append(aWorld, text);
}

void Step(World& aWorld)
{
  const auto n = Draw(aWorld, aWorld.mReaders.size());
  auto& reader = aWorld.mReaders[n];
  const bool steady = aWorld.mSteady && n == 0;
  switch (Draw(aWorld, 12)) {
    case 0:
      aWorld.mOutage = Chance(aWorld, 0.3);
      break;
    case 1:
      if (!steady && Chance(aWorld, 0.5)) {
        const auto share = reader.mShare;
        reader = {};
        reader.mShare = share;
      }
      break;
    case 2:
      reader.mSleeps = !steady && Chance(aWorld, 0.5);
      break;
    case 3:
      if (!reader.mSleeps && reader.mHeld && !aWorld.mOutage) {
        Append(aWorld, *reader.mHeld);
        reader.mHeld.reset();
      }
      break;
    case 4:
      if (!reader.mSleeps) {
        AdoptFromPeer(aWorld, reader, aWorld.mReaders[Draw(aWorld, aWorld.mReaders.size())]);
      }
      break;
    case 5:
    case 6:
    case 7:
      Operate(aWorld, aWorld.mOperators[Draw(aWorld, aWorld.mOperators.size())]);
      break;
    case 8:
      Repeat(aWorld);
      break;
    default:
      if (!reader.mSleeps) {
        Read(aWorld, reader, 1 + Draw(aWorld, 8));
        MaybeSnapshot(aWorld, reader);
      }
  }
  aWorld.mNowMs += static_cast<UnixMs>(Draw(aWorld, kRetentionMs / 20));
  if (aWorld.mSteady) {
    // It reads its own snapshot too. A record that nobody read before an outage longer than the
    // retention is lost, and only a restore helps then.
    ReadAll(aWorld, aWorld.mReaders.front());
    MaybeSnapshot(aWorld, aWorld.mReaders.front());
    ReadAll(aWorld, aWorld.mReaders.front());
  }
  Expire(aWorld);
}

bool AllReached(const World& aWorld)
{
  for (const auto& reader : aWorld.mReaders) {
    if (VersionOf(reader.mLog) != VersionOf(aWorld.mTruth) || !reader.mLog.mExact) {
      return false;
    }
  }
  return true;
}

/// After the last fault every process reads, and republishes snapshots when they are due.
void Settle(World& aWorld)
{
  aWorld.mOutage = false;
  for (auto& reader : aWorld.mReaders) {
    reader.mSleeps = false;
    if (reader.mHeld) {
      Append(aWorld, *std::exchange(reader.mHeld, std::nullopt));
    }
  }
  for (int round = 0; round < 40 && !AllReached(aWorld); ++round) {
    for (auto& reader : aWorld.mReaders) {
      ReadAll(aWorld, reader);
      if (aWorld.mBroken != Broken::NoSnapshots &&
          SnapshotDue(reader.mLog, aWorld.mNowMs, kRetention, reader.mShare)) {
        Append(aWorld, SnapshotRecord(reader.mLog));
      }
    }
    aWorld.mNowMs += kRetentionMs / 20;
    Expire(aWorld);
    // Nobody is exact and nothing is left to start from: an operator restores.
    if (round == 30 && !aWorld.mSteady) {
      ++aWorld.mRestores;
      Append(aWorld,
             RestoreRecord(*aWorld.mReaders[0].mLog.mConfiguration,
                           "restore-" + std::to_string(++aWorld.mIds),
                           aWorld.mRecords.size()));
    }
  }
  if (!AllReached(aWorld)) {
    Fail(aWorld, "not every reader reached version " + std::to_string(VersionOf(aWorld.mTruth)));
  }
}

/// The indexes that the fold keeps must equal those built from the items alone.
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

/// What a run reached, to see that the cases of interest occur.
struct Summary
{
  std::string mFailure;
  Version mVersion = 0;
  std::size_t mRecords = 0;
  std::size_t mRestores = 0;
};

Summary Simulate(std::uint64_t aSeed, Broken aBroken, bool aSteady)
{
  World world;
  world.mRandom.seed(aSeed);
  world.mBroken = aBroken;
  world.mSteady = aSteady;
  world.mReaders.resize(4);
  world.mOperators.resize(3);
  for (auto& reader : world.mReaders) {
    reader.mShare = std::uniform_real_distribution<>(0, 1)(world.mRandom);
  }
  for (int n = 0; n < 400 && world.mFailure.empty(); ++n) {
    Step(world);
  }
  if (world.mFailure.empty()) {
    Settle(world);
  }
  for (const auto& reader : world.mReaders) {
    CheckIndexes(world, reader);
  }
  return { world.mFailure, VersionOf(world.mTruth), world.mRecords.size(), world.mRestores };
}

bool Holds(std::string_view aName, bool aSteady)
{
  return rc::check(std::string(aName), [aSteady] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const auto summary = Simulate(seed, Broken::Nothing, aSteady);
    RC_CLASSIFY(summary.mRestores > 0, "needed a restore");
    RC_CLASSIFY(summary.mVersion >= 20, "20 or more versions");
    if (!summary.mFailure.empty()) {
      RC_FAIL(summary.mFailure);
    }
  });
}

/// Guards against a property that holds whatever the fold does: with the rule broken, some run has
/// to fail.
bool IsNoticed(Broken aBroken, std::string_view aName)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const auto summary = Simulate(seed, aBroken, true);
    const auto other = summary.mFailure.empty() ? Simulate(seed, aBroken, false) : summary;
    if (!other.mFailure.empty()) {
      std::cout << "broken " << aName << ", seed " << seed << ": " << other.mFailure << "\n";
      return true;
    }
  }
  std::cerr << "failed: broken " << aName << " is not noticed\n";
  return false;
}

} // namespace

int main()
{
  // Guards against versions that fall, contents that differ between readers, a change that takes
  // effect twice or on another version than its operator saw, and readers that never catch up.
  bool passed = Holds("readers agree under faults", false);
  // Guards against a log from which no new reader can start although one process is always up.
  passed &= Holds("readers agree without a restore while one process is up", true);
  passed &= IsNoticed(Broken::MissedRecords, "rule: missed records are noted");
  passed &= IsNoticed(Broken::SnapshotPlace, "rule: a snapshot names its place");
  passed &= IsNoticed(Broken::RestorePlace, "rule: a restore has one place");
  passed &= IsNoticed(Broken::RepeatId, "rule: a repeat has the same id");
  passed &= IsNoticed(Broken::LowerSnapshot, "rule: a lower snapshot is not adopted");
  passed &= IsNoticed(Broken::StaleBase, "rule: the base is the operator's");
  passed &= IsNoticed(Broken::NoSnapshots, "rule: snapshots are republished");
  return passed ? 0 : 1;
}
