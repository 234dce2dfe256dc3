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

/// Which entries exist and what state each is in, from three sources: the platform's VM list, links
/// and heartbeats. No I/O, no clock; not thread safe.
namespace pollenwall::membership {

using message::MemberState;

struct Options
{
  std::chrono::milliseconds mSuspectAfter{ 600 };
  std::chrono::milliseconds mForgetAfter{ 60000 }; ///< A gone entry is kept this long.
  /// A list made this long after a process started names its VM, if the VM still exists. A process
  /// that starts after another one has ended never sees a list that names it.
  std::chrono::milliseconds mListedWithin{ 10000 };
};

/// What the platform's list says about an address.
enum class Listed
{
  Unknown, ///< No list has named it yet.
  Live,
  Leaving,
  Removed, ///< An earlier list named it, the latest does not.
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
  std::optional<Time> mHeard; ///< Last heartbeat.
  std::uint64_t mSequence = 0;
  MemberState mReported = MemberState::Joining; ///< Of the last heartbeat.
  MemberState mState = MemberState::Joining;    ///< Derived by Advance.
  std::optional<Time> mGoneSince;

  // Of the last heartbeat.
  configuration::Version mConfigurationVersion = 0;
  std::uint64_t mQueuedTasks = 0;
  std::uint64_t mIdleCredits = 0;
  std::set<std::string, std::less<>> mOccupied;
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

/// A link to a peer is up. An earlier incarnation at its address has ended.
Peer& NoteLinkUp(Members& aMembers, const message::Hello& aHello, const Now& aNow);
void NoteLinkDown(Members& aMembers, Incarnation aPeer, const Now& aNow);

/// Takes a heartbeat; returns false when it is older than one already taken, or of an unknown peer.
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

/// Takes the entries of a list. A list older than the latest changes nothing.
void NoteVmList(Members& aMembers, UnixMs aAsOfMs, const std::vector<EntryVm>& aEntries);

/// Derives every peer's state, and forgets those long gone. Returns those whose state changed.
struct Transition
{
  Incarnation mPeer;
  MemberState mFrom = MemberState::Joining;
  MemberState mTo = MemberState::Joining;
};
std::vector<Transition> Advance(Members& aMembers, const Now& aNow);

/// Whether the process has ended for certain: its address is used by a later incarnation, or its VM
/// is no longer listed, or not listed long after the process started. A peer that is still heard
/// has not ended, whatever the list says.
bool HasEnded(const Members& aMembers,
              Incarnation aPeer,
              std::string_view aAddress,
              const Now& aNow);

const Peer* FindPeer(const Members& aMembers, Incarnation aPeer);

/// "joining", "ready", "leaving", "suspect" or "gone".
std::string_view ToString(MemberState aState);

} // namespace pollenwall::membership
