#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/time.h>
#include <pollenwall/yaml_reader.h>

/// The fold of the log stream `configuration`: what a reader has to keep, and the functions that
/// apply records to it. A reader calls
///
///     NoteFirst(log, read.mFirst);
///     for (record : read.mRecords) ApplyRecord(log, record.mOffset, record.mAtMs, record.mData);
///
/// after each read and reads on from `log.mNext`. No I/O, no clock; not thread safe.
///
/// A change record is accepted only when its base is the version in force at its place in the log.
/// A reader can judge this only while it is *exact*: it has folded every record up to mNext, either
/// from the stream's first record (offset 0) or from a snapshot. A snapshot therefore names the
/// place (`through`) up to which it holds all records. A reader that missed records keeps its
/// version, defers changes, and becomes exact again by a snapshot whose place it has read on from.
/// Without this rule a snapshot of a process that slept would make a new reader accept a change
/// that lost its race, and two readers would disagree on a version's content.
///
/// Records are JSON objects with a type:
///
///     {"type": "change", "id", "base", "puts": {KEY: YAML, ...}, "deletes": [KEY, ...]}
///     {"type": "snapshot", "version", "through", "through_ms", "ids": [...], "items": {KEY: YAML}}
///     {"type": "restore", "id", "at", "items": {KEY: YAML, ...}}
///
/// Large puts and items are packed instead: `puts_packed` or `items_packed` holds the object's text
/// as raw deflate (RFC 1951) in base64.
///
/// When the log has dropped every record from which a reader could start, and no process holds the
/// configuration, an operator appends a restore record. It names the offset that it must have and
/// takes effect at no other, so that a repeated or a racing one does nothing; every reader, exact
/// or not, can judge it. Its version is its offset + 1, which no earlier record can have reached,
/// because each version takes at least one record.
namespace pollenwall::configuration {

inline constexpr std::string_view kStream = "configuration";

/// Ids of this many latest versions are kept to recognize a repeated change. It depends on the
/// version only, so that all readers agree. 3,900 changes a day make 163 an hour.
inline constexpr std::size_t kRecentIds = 512;

/// Records kept by a reader that is not exact; older ones are dropped beyond this.
inline constexpr std::size_t kMaxDeferred = 10000;

/// A record longer than this is invalid.
inline constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;

/// Puts and deletes against the version `base`. Values are YAML maps, see configuration_yaml.h.
struct Change
{
  std::string mId; ///< Chosen by the operator's tool; a repeated record has the same one.
  Version mBase = 0;
  std::map<std::string, std::string, std::less<>> mPuts;
  std::set<std::string, std::less<>> mDeletes;

  friend bool operator==(const Change&, const Change&) = default;
};

enum class OutcomeKind
{
  Accepted,        ///< mVersion is the new version in force.
  LostRace,        ///< The base or offset is not the next; mVersion is the version in force.
  Duplicate,       ///< The id took effect before; mVersion is the version it made.
  Invalid,         ///< Changes nothing; mProblems say why.
  SnapshotAdopted, ///< mVersion is the version in force after the snapshot and deferred changes.
  Deferred,        ///< The reader is not exact and will judge the change after a snapshot.
  Ignored,         ///< A record already folded, of an unknown type, or a snapshot not needed.
};

struct Outcome
{
  OutcomeKind mKind = OutcomeKind::Ignored;
  std::string mId; ///< Of the change or restore; empty for other records.
  Version mVersion = 0;
  std::vector<yaml::Problem> mProblems;
};

/// "accepted", "lost_race", "duplicate", "invalid", "snapshot_adopted", "deferred" or "ignored".
std::string_view ToString(OutcomeKind aKind);

/// A record that a reader which is not exact keeps.
struct DeferredRecord
{
  std::uint64_t mOffset = 0;
  UnixMs mAtMs = 0;
  std::string mText;
};

/// Who refers to whom, so that a change is checked without a walk over the configuration.
struct References
{
  std::map<std::string, std::size_t, std::less<>> mWorkersOfDataCentre;
  std::map<std::string, std::size_t, std::less<>> mUpstreamsOfService;
  std::map<std::string, std::set<std::string>, std::less<>> mUpstreamsOfWorker; ///< Upstream keys.
  std::map<std::string, std::string, std::less<>> mEndpoints; ///< "IP:PORT" to the upstream's key.

  friend bool operator==(const References&, const References&) = default;
};

struct ConfigurationLog
{
  /// In force; never null. A holder's copy never changes: folding copies the configuration first
  /// when anyone else holds it.
  std::shared_ptr<const Configuration> mConfiguration = std::make_shared<Configuration>();
  std::uint64_t mNext = 0; ///< The offset to read from.
  bool mExact = true;      ///< The version in force is that at mNext.

  std::uint64_t mFrom = 0;    ///< Every record in [mFrom, mNext) has been read.
  std::uint64_t mThrough = 0; ///< The last place at which the version in force was exact.
  UnixMs mThroughMs = 0;      ///< Log time of the record before it.
  UnixMs mSnapshotMs =
    0; ///< A reader that starts from the newest snapshot needs records since this.
  std::size_t mRecordsSinceSnapshot = 0;
  std::map<Version, std::string> mRecentIds; ///< Ids of the latest kRecentIds versions.
  std::map<std::string, Version, std::less<>> mRecentVersions; ///< The inverse.
  std::vector<DeferredRecord> mDeferred;
  References mReferences; ///< Of mConfiguration.
};

/// The version in force; 0 before any.
Version VersionOf(const ConfigurationLog& aLog);

/// Tells the oldest retained offset of a read, before its records are applied. Returns whether
/// records that this reader has not read are gone, so that it waits for a snapshot.
bool NoteFirst(ConfigurationLog& aLog, std::uint64_t aFirst);

/// Applies the record at an offset. Records below mNext are ignored, so a read may be repeated.
/// Offsets are consecutive: a record beyond mNext shows that others were missed.
Outcome ApplyRecord(ConfigurationLog& aLog,
                    std::uint64_t aOffset,
                    UnixMs aAtMs,
                    std::string_view aText);

/// The change that turns one configuration into another, with the first one's version as the base.
/// Empty puts and deletes mean that they are equal.
Change MakeChange(const Configuration& aFrom, const Configuration& aTo, std::string aId);

/// The JSON text of a change record.
std::string ChangeRecord(const Change& aChange);

/// The JSON text of a restore record of a whole configuration. It takes effect only at the offset.
std::string RestoreRecord(const Configuration& aConfiguration,
                          std::string_view aId,
                          std::uint64_t aOffset);

/// The JSON text of a snapshot record of what the reader holds, for the log or for a peer that
/// asks.
std::string SnapshotRecord(const ConfigurationLog& aLog);

/// Adopts a snapshot record sent by a peer when it is newer than what the reader holds. mNext may
/// move forward, or stay; a record below it needs no reading.
Outcome AdoptSnapshot(ConfigurationLog& aLog, std::string_view aText);

/// Whether a snapshot should be appended now. True only for an exact reader that knows of
/// a record, when the newest snapshot in the log has reached 40% to 60% of the retention time, or
/// after 1,000 records. The share (0 to 1) is drawn by each process when the newest snapshot
/// changes, so that one process is early and its snapshot keeps the others from writing one too.
bool SnapshotDue(const ConfigurationLog& aLog,
                 UnixMs aNowMs,
                 std::chrono::milliseconds aRetention,
                 double aShare);

} // namespace pollenwall::configuration
