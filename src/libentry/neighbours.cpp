#include <algorithm>

#include <pollenwall/hash.h>

#include "state.h"

// The choice of the entries that this one exchanges presences with.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Neighbours are chosen again after relevant changes, and at this interval.
constexpr milliseconds kSelectionInterval{ 250 };
/// A new neighbour is presumed to be live for this long, until its first presence arrives.
constexpr milliseconds kFirstPresenceTimeout{ 600 };
/// The connection to a peer that neither side needs is closed after this.
constexpr milliseconds kUnusedLinkRetention{ 5000 };
/// Number of holders of a data centre that a presence to another data centre names.
constexpr std::size_t kNamedHolders = 3;
/// Number of the first entries of a ranking among which the first contact in another data centre is
/// chosen.
constexpr std::size_t kFirstContacts = 3;

bool IsSelf(const State& aState, std::string_view aAddress)
{
  return aAddress == aState.mOptions.mPeerAddress;
}

/// Whether an entry is live as far as this one knows. True for entries that are not neighbours, and
/// for new neighbours.
bool IsPresumedLive(const State& aState, const std::string& aAddress, const Now& aNow)
{
  if (IsSelf(aState, aAddress)) {
    return !aState.mDraining;
  }
  const auto it = aState.mPeers.find(aAddress);
  if (it == aState.mPeers.end()) {
    return true;
  }
  const auto& peer = it->second;
  if (!peer.mHeardAt) {
    return aNow.mTime - peer.mSelectedAt < kFirstPresenceTimeout;
  }
  return IsPresent(aState, peer, aNow) && !peer.mPresence.mLeaving;
}

/// The first entries of a data centre's ranking, until aLive of them are presumed live. Half as
/// many more as are dead are added, so that the live ones are found quickly after the loss of most
/// entries.
std::vector<std::string> FirstLive(const State& aState,
                                   std::string_view aDataCentre,
                                   std::size_t aLive,
                                   const Now& aNow)
{
  std::vector<std::string> first;
  const auto it = aState.mRankings.find(aDataCentre);
  if (it == aState.mRankings.end()) {
    return first;
  }
  std::size_t live = 0;
  std::size_t dead = 0;
  for (const auto& address : it->second) {
    if (live >= aLive + dead / 2) {
      break;
    }
    first.push_back(address);
    ++(IsPresumedLive(aState, address, aNow) ? live : dead);
  }
  return first;
}

/// Sorts addresses by their rendezvous weight for aOwner, highest first.
void SortByWeight(std::vector<std::string>& aAddresses, std::string_view aOwner)
{
  std::sort(aAddresses.begin(), aAddresses.end(), [aOwner](const auto& aOne, const auto& aOther) {
    const auto one = RendezvousWeight(aOwner, Hash64(aOne));
    const auto other = RendezvousWeight(aOwner, Hash64(aOther));
    return std::tie(one, aOne) > std::tie(other, aOther);
  });
}

/// The entry of another data centre to which this one may forward jobs: a holder that a presence
/// from there names, or an entry that will name one.
std::optional<std::string> ContactIn(const State& aState,
                                     std::string_view aDataCentre,
                                     const Now& aNow)
{
  std::set<std::string> named;
  for (const auto& [address, peer] : aState.mPeers) {
    if (peer.mRecord.mDataCentre == aDataCentre && IsPresent(aState, peer, aNow)) {
      named.insert(peer.mPresence.mHolders.begin(), peer.mPresence.mHolders.end());
    }
  }
  std::vector<std::string> contacts;
  for (const auto& address : named) {
    if (!IsSelf(aState, address) && IsPresumedLive(aState, address, aNow)) {
      contacts.push_back(address);
    }
  }
  if (contacts.empty()) {
    for (const auto& address : FirstLive(aState, aDataCentre, kFirstContacts, aNow)) {
      if (IsPresumedLive(aState, address, aNow)) {
        contacts.push_back(address);
      }
    }
  }
  SortByWeight(contacts, aState.mOptions.mPeerAddress);
  return contacts.empty() ? std::nullopt : std::optional(contacts.front());
}

void SetCandidate(State& aState, bool aCandidate, const Now& aNow, Actions& aActions)
{
  if (aCandidate == aState.mCandidate) {
    return;
  }
  aState.mCandidate = aCandidate;
  aState.mCandidateSince = aNow.mTime;
  aState.mClaimsDue = true;
  aState.mPresenceDue = true;
  AddReport(aActions, aCandidate ? "candidate_began" : "candidate_ended", {});
  aActions.emplace_back(FollowUpstreams{ aCandidate });
}

/// Intervals at which this entry wants presences, by peer address.
using Wanted = std::map<std::string, milliseconds>;

void Want(const State& aState, const std::string& aAddress, milliseconds aInterval, Wanted& aWanted)
{
  if (!IsSelf(aState, aAddress)) {
    const auto it = aWanted.emplace(aAddress, aInterval).first;
    it->second = std::min(it->second, aInterval);
  }
}

/// Adds the owners and holders of open jobs.
void WantJobPeers(State& aState, Wanted& aWanted)
{
  const auto want = [&](Incarnation aIncarnation) {
    if (const auto* peer = FindPeer(aState, aIncarnation)) {
      Want(aState, peer->mAddress, aState.mOptions.mPresenceInterval, aWanted);
    }
  };
  for (const auto& [number, call] : aState.mCalls) {
    want(call.mHolder.value_or(Incarnation{}));
  }
  for (const auto& [call, request] : aState.mPeerRequests) {
    want(call.first);
  }
}

/// Makes exactly the wanted peers neighbours by this entry's choice.
void ApplyWanted(State& aState, const Wanted& aWanted, const Now& aNow, Actions& aActions)
{
  for (auto& [address, peer] : aState.mPeers) {
    if (!aWanted.contains(address)) {
      peer.mWantedInterval = milliseconds{ 0 };
    }
  }
  for (const auto& [address, interval] : aWanted) {
    auto& peer = AddPeer(aState, address, aActions);
    const bool isNew = peer.mWantedInterval.count() == 0;
    if (isNew) {
      peer.mSelectedAt = aNow.mTime;
    }
    if (isNew || interval < peer.mWantedInterval) {
      peer.mNextPresence = aNow.mTime;
    }
    peer.mWantedInterval = interval;
  }
}

/// Closes connections that neither this entry nor the peer has needed for some time.
void DropUnusedPeers(State& aState, const Now& aNow, Actions& aActions)
{
  std::erase_if(aState.mPeers, [&](const auto& aPeer) {
    const auto& [address, peer] = aPeer;
    const auto lastUse = std::max(peer.mHeardAt.value_or(Time{}), peer.mSelectedAt);
    if (PresenceIntervalTo(aState, peer, aNow).count() != 0 ||
        aNow.mTime - lastUse <= kUnusedLinkRetention) {
      return false;
    }
    aState.mPeerAddresses.erase(peer.mIncarnation);
    aActions.emplace_back(DisconnectPeer{ address });
    return true;
  });
}

} // namespace

void AddEntries(State& aState, const std::vector<EntryRecord>& aEntries)
{
  bool changed = false;
  for (const auto& record : aEntries) {
    auto& known = aState.mEntries[record.mPeerAddress];
    // Seeds are known by address only.
    if (known == record || (record.mDataCentre.empty() && !known.mPeerAddress.empty())) {
      continue;
    }
    known = record;
    changed = true;
  }
  if (!changed) {
    return;
  }
  aState.mRankings.clear();
  for (const auto& [address, record] : aState.mEntries) {
    if (!record.mDataCentre.empty()) {
      aState.mRankings[record.mDataCentre].push_back(address);
    }
  }
  const auto rank = [&aState](const std::string& aAddress) {
    const auto& record = aState.mEntries.at(aAddress);
    return std::tuple(-CapacityClass(record), Hash64(record.mDataCentre + "/" + aAddress));
  };
  for (auto& [dataCentre, ranking] : aState.mRankings) {
    std::sort(ranking.begin(), ranking.end(), [&rank](const auto& aOne, const auto& aOther) {
      return rank(aOne) < rank(aOther);
    });
  }
  aState.mNeighboursDue = true;
  aState.mPartitions = PartitionUpstreams(aState);
  aState.mClaimsDue = true;
}

std::vector<std::string> LocalHolders(const State& aState, const Now& aNow)
{
  std::vector<std::string> holders;
  if (!aState.mHolding.mSessions.empty() && !aState.mDraining) {
    holders.push_back(aState.mOptions.mPeerAddress);
  }
  for (const auto& [address, peer] : aState.mPeers) {
    if (peer.mRecord.mDataCentre == aState.mOptions.mDataCentre && !peer.mPresence.mLoads.empty() &&
        !peer.mPresence.mLeaving && IsPresent(aState, peer, aNow)) {
      holders.push_back(address);
    }
  }
  return holders;
}

std::vector<std::string> HoldersFor(const Peer& aPeer, std::vector<std::string> aHolders)
{
  SortByWeight(aHolders, aPeer.mAddress);
  aHolders.resize(std::min(aHolders.size(), kNamedHolders));
  return aHolders;
}

void UpdateNeighbours(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextNeighbours && !aState.mNeighboursDue) {
    return;
  }
  aState.mNeighboursDue = false;
  aState.mNextNeighbours = aNow.mTime + Duration(kSelectionInterval);
  const auto& options = aState.mOptions;
  Wanted wanted;
  const auto want = [&](const std::string& aAddress, milliseconds aInterval) {
    Want(aState, aAddress, aInterval, wanted);
  };
  const auto firstOf = [&](std::string_view aDataCentre) {
    const auto live = PartitionCount(aState, aDataCentre, aNow) + options.mStandbyCandidates;
    return FirstLive(aState, aDataCentre, live, aNow);
  };
  aState.mFirstLive.clear();
  for (const auto& address : firstOf(options.mDataCentre)) {
    aState.mFirstLive.insert(address);
    want(address, options.mPresenceInterval);
  }
  const bool first = aState.mFirstLive.contains(options.mPeerAddress);
  // Until then the list of entries may be incomplete, and no presence has arrived.
  if (first && aNow.mTime - aState.mStarted >= options.mSilentAfter) {
    aState.mCandidateUntil = aNow.mTime + Duration(options.mCandidateRetention);
  }
  SetCandidate(aState, aNow.mTime < aState.mCandidateUntil, aNow, aActions);
  const bool starting = aNow.mTime - aState.mStarted < options.mStartupPeriod;
  for (const auto& [dataCentre, ranking] : aState.mRankings) {
    if (dataCentre == options.mDataCentre) {
      continue;
    }
    if (const auto contact = ContactIn(aState, dataCentre, aNow)) {
      want(*contact, options.mPresenceInterval);
    }
    if (!aState.mCandidate) {
      continue;
    }
    for (const auto& address : firstOf(dataCentre)) {
      want(address, starting ? options.mPresenceInterval : options.mIdlePresenceInterval);
    }
  }
  for (const auto& [address, record] : aState.mEntries) {
    if (record.mDataCentre.empty()) {
      want(address, options.mPresenceInterval); // A seed; its presence tells the data centre.
    }
  }
  WantJobPeers(aState, wanted);
  ApplyWanted(aState, wanted, aNow, aActions);
  DropUnusedPeers(aState, aNow, aActions);
}

} // namespace pollenwall::entry
