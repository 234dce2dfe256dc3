#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/messages.h>
#include <pollenwall/time.h>

/// The known entries and the state of each, derived from three sources: the platform's VM list,
/// connections between entries, and heartbeats. No I/O, no clock; not thread safe.
namespace pollenwall::membership {

using message::MemberState;

struct Options
{
  std::chrono::milliseconds mSuspectAfter{ 600 };
  std::chrono::milliseconds mGoneRetention{ 60000 }; ///< How long a gone entry is kept.
  /// A VM list made later than this after a process started contains its VM, unless the VM was
  /// removed. This detects the end of a process whose VM this process never saw in a list, because
  /// the VM was removed before this process started.
  std::chrono::milliseconds mMaxListDelay{ 10000 };
};

/// State of an address in the platform's VM list.
enum class Listed
{
  Unknown, ///< It was in no list yet.
  Live,
  Leaving,
  Removed, ///< It was in an earlier list, but is not in the latest.
};

/// One incarnation of another entry.
struct Peer
{
  Incarnation mIncarnation;
  std::string mName;
  std::string mDataCentre;
  std::string mAddress;
  bool mLinkUp = false;
  bool mReplaced = false; ///< A later incarnation uses its address, so the process has ended.
  Time mLinkChanged{};
  std::optional<Time> mLastHeartbeat; ///< Arrival of the last heartbeat.
  std::uint64_t mSequence = 0;
  MemberState mReportedState = MemberState::Joining; ///< In the last heartbeat.
  MemberState mState = MemberState::Joining;         ///< Derived by Advance.
  std::optional<Time> mGoneSince;

  // From the last heartbeat.
  configuration::Version mConfigurationVersion = 0;
  std::uint64_t mQueuedTasks = 0;
  std::uint64_t mIdleCredits = 0;
  std::set<std::string, std::less<>> mOccupiedUpstreams;
};

struct ListedVm
{
  std::string mDataCentre;
  Listed mListed = Listed::Unknown;
};

struct Members
{
  Options mOptions;
  std::string mDataCentre;
  std::map<Incarnation, Peer> mPeers;
  std::map<std::string, ListedVm, std::less<>> mVms; ///< Entries' VMs by peer address.
  UnixMs mListAsOfMs = 0;
  std::map<std::string, Incarnation, std::less<>> mLatest; ///< Latest incarnation of each address.
};

/// Records that the link to a peer is up, and marks earlier incarnations at its address as
/// replaced.
Peer& NoteLinkUp(Members& aMembers, const message::Hello& aHello, const Now& aNow);
void NoteLinkDown(Members& aMembers, Incarnation aPeer, const Now& aNow);

/// Records a heartbeat; returns false when it is out of order or comes from an unknown peer.
bool NoteHeartbeat(Members& aMembers,
                   Incarnation aPeer,
                   const message::Heartbeat& aHeartbeat,
                   const Now& aNow);

struct EntryVm
{
  std::string mAddress;
  std::string mDataCentre;
  bool mLeaving = false;
};

/// Records the entries of a VM list. A list older than the latest one is ignored.
void NoteVmList(Members& aMembers, UnixMs aAsOfMs, const std::vector<EntryVm>& aEntries);

struct Transition
{
  Incarnation mPeer;
  MemberState mFrom = MemberState::Joining;
  MemberState mTo = MemberState::Joining;
};

/// Derives the state of every peer and erases peers that have been gone for mGoneRetention. Returns
/// the changes of state.
std::vector<Transition> Advance(Members& aMembers, const Now& aNow);

/// Whether the process has certainly ended: a later incarnation uses its address, or its VM is no
/// longer listed, or still not listed mMaxListDelay after the process started. A peer that still
/// sends heartbeats has not ended, even if its VM is not listed.
bool HasEnded(const Members& aMembers,
              Incarnation aPeer,
              std::string_view aAddress,
              const Now& aNow);

const Peer* FindPeer(const Members& aMembers, Incarnation aPeer);

/// "joining", "ready", "leaving", "suspect" or "gone".
std::string_view ToString(MemberState aState);

} // namespace pollenwall::membership
