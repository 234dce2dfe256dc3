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

/// The configuration as the replicated state of the log stream `configuration`: what a reader has
/// to keep, and the functions that apply records to it. A reader calls
///
///     NoteOldestOffset(log, read.mFirst);
///     for (record : read.mRecords) ApplyRecord(log, record.mOffset, record.mAtMs, record.mData);
///
/// after each read and reads on from `log.mNext`. No I/O, no clock; not thread safe.
///
/// A change record is accepted only when its base is the current version at its offset. A reader
/// can decide this only while its history is *complete*: it has applied every record before mNext,
/// starting from the stream's first record (offset 0) or from a snapshot. A snapshot therefore
/// names the offset (`through`) before which it includes all records. A reader that missed records
/// keeps its version and defers changes. Its history becomes complete again by a snapshot from
/// whose offset on it has read every record. Without this rule a late snapshot of a process that
/// had been paused would make a new reader accept a change that lost its race, and two readers
/// would hold different contents under one version.
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
/// When the log has trimmed every record from which a reader could start, and no process holds the
/// configuration, an operator appends a restore record. It names the offset that it must have and
/// has no effect at any other, so that a repeated or concurrent one does nothing. Every reader can
/// apply it, also one with an incomplete history. Its version is its offset + 1. No earlier record
/// can have reached that version, because each version takes at least one record.
namespace pollenwall::configuration {

inline constexpr std::string_view kStream = "configuration";

/// Number of latest versions whose change ids are kept to detect a repeated change. The limit
/// counts versions, not time, so that all readers agree. 3,900 changes a day make 163 an hour.
inline constexpr std::size_t kMaxRecentIds = 512;

/// Maximum number of records that a reader with an incomplete history keeps. Their total size is
/// limited too. The oldest are dropped.
inline constexpr std::size_t kMaxDeferredRecords = 10000;

/// Longer records are invalid.
inline constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;

/// Puts and deletes against the version `base`. Values are YAML maps, see configuration_yaml.h.
struct Change
{
  std::string mId; ///< Chosen by the operator's tool; a repeated append has the same id.
  Version mBase = 0;
  std::map<std::string, std::string, std::less<>> mPuts;
  std::set<std::string, std::less<>> mDeletes;

  friend bool operator==(const Change&, const Change&) = default;
};

enum class OutcomeKind
{
  Accepted,        ///< mVersion is the new version.
  LostRace,        ///< Its base or offset does not match; mVersion is the current version.
  Duplicate,       ///< The id took effect before; mVersion is the version it made.
  Invalid,         ///< Without effect; mProblems has the reasons.
  SnapshotAdopted, ///< mVersion is the version after the snapshot and the deferred changes.
  Deferred,        ///< The history is incomplete; the change is applied after a snapshot.
  Ignored,         ///< A record already applied, of an unknown type, or a snapshot not needed.
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

/// A record kept by a reader with an incomplete history until it adopts a snapshot.
struct DeferredRecord
{
  std::uint64_t mOffset = 0;
  UnixMs mAtMs = 0;
  std::string mText;
};

/// Reverse references between items, so that a change is checked without a scan of the whole
/// configuration.
struct References
{
  std::map<std::string, std::size_t, std::less<>> mWorkersOfDataCentre;         ///< Their number.
  std::map<std::string, std::size_t, std::less<>> mUpstreamsOfService;          ///< Their number.
  std::map<std::string, std::set<std::string>, std::less<>> mUpstreamsOfWorker; ///< Upstream keys.
  std::map<std::string, std::string, std::less<>> mEndpoints; ///< Upstream key by "IP:PORT".

  friend bool operator==(const References&, const References&) = default;
};

struct ConfigurationLog
{
  /// The current configuration; never null. It is copied before a change when it is shared, so that
  /// a configuration that a caller holds never changes.
  std::shared_ptr<const Configuration> mConfiguration = std::make_shared<Configuration>();
  std::uint64_t mNext = 0;      ///< The offset to read from.
  bool mHistoryComplete = true; ///< Every record before mNext has been applied.

  std::uint64_t mGaplessFrom = 0; ///< No record in [mGaplessFrom, mNext) was missed or dropped.
  std::uint64_t mThrough = 0;     ///< The latest offset at which the history was complete.
  UnixMs mThroughMs = 0;          ///< Log time of the record before mThrough.
  /// A reader that starts from the newest snapshot needs the records since this log time. Before
  /// the first snapshot it is the time of the first record read; 0 before any.
  UnixMs mSnapshotMs = 0;
  std::size_t mRecordsSinceSnapshot = 0;
  std::map<Version, std::string> mRecentIds; ///< Ids of the latest kMaxRecentIds versions.
  std::map<std::string, Version, std::less<>> mRecentVersions; ///< Inverse of mRecentIds.
  std::vector<DeferredRecord> mDeferred;
  References mReferences; ///< Of mConfiguration.
};

/// The current version; 0 before the first change.
Version VersionOf(const ConfigurationLog& aLog);

/// Takes the oldest offset that the log retained at a read; called before the read's records are
/// applied. Returns whether the reader's history is incomplete, because the log has trimmed records
/// that it has not read, so that it needs a snapshot.
bool NoteOldestOffset(ConfigurationLog& aLog, std::uint64_t aFirst);

/// Applies the record at an offset. Records before mNext are ignored, so that a read may be
/// repeated. Offsets are consecutive: a record after mNext shows that others were missed.
Outcome ApplyRecord(ConfigurationLog& aLog,
                    std::uint64_t aOffset,
                    UnixMs aAtMs,
                    std::string_view aText);

/// The change that turns one configuration into another, with the first one's version as the base.
/// Puts and deletes are both empty when the configurations are equal.
Change MakeChange(const Configuration& aFrom, const Configuration& aTo, std::string aId);

/// The JSON text of a change record.
std::string ChangeRecord(const Change& aChange);

/// The JSON text of a restore record of a whole configuration. It takes effect only if it is
/// appended at the offset.
std::string RestoreRecord(const Configuration& aConfiguration,
                          std::string_view aId,
                          std::uint64_t aOffset);

/// The JSON text of a snapshot record of the reader's configuration, for the log or for a peer that
/// requests it.
std::string SnapshotRecord(const ConfigurationLog& aLog);

/// Adopts a snapshot record sent by a peer when it is newer than the reader's state. mNext may move
/// forward; the records before it need not be read.
Outcome AdoptSnapshot(ConfigurationLog& aLog, std::string_view aText);

/// Whether a snapshot should be appended now. True only for a reader with a complete history that
/// has read at least one record, and then when the newest snapshot in the log has reached 40% to
/// 60% of the retention time, or after 1,000 records. aJitter (0 to 1) selects the point between
/// 40% and 60%. Each process draws it at random when the newest snapshot changes, so that one
/// process is early and its snapshot keeps the others from writing one too.
bool IsSnapshotDue(const ConfigurationLog& aLog,
                   UnixMs aNowMs,
                   std::chrono::milliseconds aRetention,
                   double aJitter);

} // namespace pollenwall::configuration
