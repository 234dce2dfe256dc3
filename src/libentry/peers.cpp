#include <algorithm>

#include "state.h"

// The other entries: who is there, and who hears whom.

namespace pollenwall::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A connection on which the peer has not heard this entry for this long is replaced.
constexpr milliseconds kDeafConnection{ 350 };
/// A peer that was heard this long ago is still named in presences.
constexpr milliseconds kHeardListed{ 10000 };

/// Neither side can forward anything to the other.
bool IsIdlePair(const State& aState, const Peer& aPeer)
{
  return !aState.mIntroducing && aPeer.mHeld.empty() && aState.mHolding.mSessions.empty() &&
         aPeer.mPresence.mDataCentre != aState.mOptions.mDataCentre;
}

std::int64_t ToMs(Time aTime)
{
  return duration_cast<milliseconds>(aTime.time_since_epoch()).count();
}

} // namespace

bool IsLiving(const State& aState, const Peer& aPeer, const Now& aNow)
{
  const auto allowed = IsIdlePair(aState, aPeer)
                         ? 2 * aState.mOptions.mIdlePresenceInterval + aState.mOptions.mSilentAfter
                         : aState.mOptions.mSilentAfter;
  return aPeer.mEchoedAt && *aPeer.mEchoedAt >= aNow.mTime - allowed;
}

Peer* FindPeer(State& aState, Incarnation aIncarnation)
{
  const auto it = aState.mPeerAddresses.find(aIncarnation);
  return it == aState.mPeerAddresses.end() ? nullptr : &aState.mPeers.at(it->second);
}

void ApplyEntries(State& aState, const EntriesListed& aEvent, Actions& aActions)
{
  for (const auto& record : aEvent.mEntries) {
    if (record.mPeerAddress == aState.mOptions.mPeerAddress) {
      continue;
    }
    auto& peer = aState.mPeers[record.mPeerAddress];
    if (peer.mAddress.empty()) {
      peer.mAddress = record.mPeerAddress;
      AddReport(
        aActions, "peer_listed", { { "name", record.mName }, { "address", record.mPeerAddress } });
      aActions.emplace_back(ConnectPeer{ record.mPeerAddress, false });
    }
  }
}

void HandlePresence(State& aState,
                    const std::string& aFrom,
                    const message::Presence& aPresence,
                    const Now& aNow,
                    Actions& aActions)
{
  auto& peer = aState.mPeers[aFrom];
  if (peer.mAddress.empty()) {
    peer.mAddress = aFrom;
    aActions.emplace_back(ConnectPeer{ aFrom, false });
  }
  if (aPresence.mIncarnation < peer.mIncarnation ||
      (aPresence.mIncarnation == peer.mIncarnation && aPresence.mTimeMs < peer.mPresence.mTimeMs)) {
    return; // Sent before the process there started again, or over an earlier connection.
  }
  if (peer.mIncarnation != aPresence.mIncarnation) {
    aState.mPeerAddresses.erase(peer.mIncarnation);
    aState.mPeerAddresses[aPresence.mIncarnation] = aFrom;
    peer.mIncarnation = aPresence.mIncarnation;
    peer.mEchoedAt.reset();
    AddReport(aActions,
              "peer_started",
              { { "name", aPresence.mName },
                { "address", aFrom },
                { "incarnation", ToString(aPresence.mIncarnation) } });
  }
  peer.mHeardAt = aNow.mTime;
  for (const auto& heard : aPresence.mHeard) {
    if (heard.mIncarnation == aState.mOptions.mIncarnation) {
      peer.mEchoedAt = Time(Duration(milliseconds(heard.mTimeMs)));
    }
  }
  if (aPresence.mHeld != peer.mPresence.mHeld) {
    peer.mHeld = { aPresence.mHeld.begin(), aPresence.mHeld.end() };
    aState.mClaimsDue = true;
  }
  aState.mClaimsDue = aState.mClaimsDue || aPresence.mLeaving != peer.mPresence.mLeaving;
  peer.mPresence = aPresence;
  peer.mSentMilliCores.clear();
  DropUnopened(aState, peer, aNow, aActions);
  ResendUntaken(aState, peer, aNow, aActions);
}

void SendPresence(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextPresence && !aState.mPresenceDue) {
    return;
  }
  aState.mPresenceDue = false;
  aState.mIntroducing = aNow.mTime - aState.mStarted < aState.mOptions.mIntroduction;
  aState.mNextPresence = aNow.mTime + Duration(aState.mOptions.mPresenceInterval);
  message::Presence presence;
  presence.mIncarnation = aState.mOptions.mIncarnation;
  presence.mName = aState.mOptions.mName;
  presence.mDataCentre = aState.mOptions.mDataCentre;
  presence.mPeerAddress = aState.mOptions.mPeerAddress;
  presence.mTimeMs = ToMs(aNow.mTime);
  presence.mLeaving = aState.mDraining;
  presence.mProcessorShare = aState.mOptions.mProcessorShare;
  presence.mConfigurationVersion =
    aState.mConfiguration ? aState.mConfiguration->mVersion : configuration::Version{ 0 };
  for (const auto& [key, session] : aState.mHolding.mSessions) {
    const auto it = aState.mUpstreams.find(key);
    if (it != aState.mUpstreams.end() && session.mPhase != holding::SessionPhase::Lost) {
      presence.mHeld.push_back(it->second.mHash);
    }
  }
  presence.mLoads = LoadsOf(aState);
  for (auto& [address, peer] : aState.mPeers) {
    if (IsIdlePair(aState, peer) && aNow.mTime < peer.mNextIdlePresence) {
      continue;
    }
    peer.mNextIdlePresence = aNow.mTime + Duration(aState.mOptions.mIdlePresenceInterval);
    // Each peer is told only when it was heard itself: with a list of all, the bytes of all
    // presences would grow with the cube of the number of entries.
    presence.mHeard.clear();
    if (peer.mHeardAt && aNow.mTime - *peer.mHeardAt < kHeardListed) {
      presence.mHeard.push_back({ peer.mIncarnation, peer.mPresence.mTimeMs });
    }
    presence.mOpen = OpenAt(aState, peer.mIncarnation);
    presence.mTaken = TakenFrom(aState, peer.mIncarnation);
    aActions.emplace_back(SendPeer{ address, presence });
  }
}

void WatchPeers(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto& [address, peer] : aState.mPeers) {
    const bool living = IsLiving(aState, peer, aNow);
    if (living != peer.mWasLiving) {
      peer.mWasLiving = living;
      aState.mClaimsDue = true;
      AddReport(aActions,
                living ? "peer_heard" : "peer_silent",
                { { "name", peer.mPresence.mName }, { "address", address } },
                !living);
    }
    if (IsIdlePair(aState, peer)) {
      continue;
    }
    const bool hears = peer.mEchoedAt && aNow.mTime - *peer.mEchoedAt <= kDeafConnection;
    const bool heard = peer.mHeardAt && aNow.mTime - *peer.mHeardAt <= kDeafConnection;
    if (heard && !hears && aNow.mTime - peer.mConnectedAt > kDeafConnection) {
      peer.mConnectedAt = aNow.mTime;
      aActions.emplace_back(ConnectPeer{ address, true });
    }
  }
}

} // namespace pollenwall::entry
