#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/time.h>

/// Order of the records that processes write under their ids to a store which may carry out a write
/// up to 6 s after newer ones. Decides which records are used; does no I/O and reads no clock.
namespace pollenwall::entry {

/// What is known of an id is kept for this long after it was removed, which covers late writes.
inline constexpr std::chrono::milliseconds kRecordRetention{ 10000 };

/// Position of a record among those of one id.
struct RecordStamp
{
  UnixMs mStartedMs = 0; ///< Start of the process that has written the record.
  /// For upstreams it rises with each write of a process. For entries it is the incarnation.
  std::uint64_t mSequence = 0;

  friend auto operator<=>(const RecordStamp&, const RecordStamp&) = default;
};

enum class RecordUse
{
  Use,
  Same,          ///< The newest known record, read again.
  Late,          ///< Older than another record of its process.
  FormerProcess, ///< Of an earlier process, or of one that is not confirmed yet.
  Unstamped,     ///< Without a stamp, although another record of the id has one.
};

std::string_view ToString(RecordUse aUse);

/// What is known of one id.
struct KnownRecord
{
  std::optional<RecordStamp> mLatest;      ///< Of the record in use; empty if it has none.
  std::optional<RecordStamp> mUnconfirmed; ///< The latest record of a process with a lower start.
  std::optional<Time> mRemovedAt;          ///< Set if the id is not in the list any more.
  bool mListed = false;                    ///< Seen since BeginList.
};

/// The ids of one topic.
struct RecordOrder
{
  std::map<std::string, KnownRecord, std::less<>> mKnown;
  bool mReadsList = false;
  std::optional<Time>
    mForgetAt; ///< When the first removed id is forgotten; empty if there is none.
};

/// Decides on a record of an upstream. One of a process with a lower start than the known one is
/// used only after a second one with the same start and a higher sequence: it may be a late write
/// of a former process, or come from a new process whose clock was set back.
RecordUse TakeUpstreamRecord(RecordOrder& aOrder,
                             std::string_view aId,
                             const std::optional<RecordStamp>& aStamp,
                             Time aNow);

/// Decides on a record of an entry, which is written once by each process. One of an earlier
/// process is not used. One without a stamp is from the previous release, and used.
RecordUse TakeEntryRecord(RecordOrder& aOrder,
                          std::string_view aId,
                          const std::optional<RecordStamp>& aStamp,
                          Time aNow);

/// Records that an id was removed.
void RemoveRecord(RecordOrder& aOrder, std::string_view aId, Time aNow);

/// Begins to read the whole list again. Until EndRead every record of the list must be passed to
/// one of the functions above, or to KeepListed.
void BeginList(RecordOrder& aOrder);

/// Records that the list has an id whose record cannot be read; the known one remains in use.
void KeepListed(RecordOrder& aOrder, std::string_view aId);

/// Ends a read. Returns the ids that are not in the list any more if it was one of the whole list,
/// and forgets ids that were removed kRecordRetention ago.
std::vector<std::string> EndRead(RecordOrder& aOrder, Time aNow);

} // namespace pollenwall::entry
