#include <algorithm>

#include "state.h"

// The other entries: presences, liveness and connections.

namespace pollenwall::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A connection is replaced if the peer's presences arrive but echo no timestamp of this entry that
/// is younger than this.
constexpr milliseconds kReconnectTimeout{ 350 };
/// A peer's timestamp is echoed for this long after its last presence.
constexpr milliseconds kHeardRetention{ 10000 };

/// Whether this entry and the peer are in different data centres and neither holds upstreams, so
/// that neither forwards jobs to the other. False during this entry's startup period.
bool IsIdlePair(const State& aState, const Peer& aPeer)
{
  return !aState.mInStartupPeriod && aPeer.mHeldUpstreams.empty() &&
         aState.mHolding.mSessions.empty() &&
         aPeer.mPresence.mDataCentre != aState.mOptions.mDataCentre;
}

std::int64_t ToMs(Time aTime)
{
  return duration_cast<milliseconds>(aTime.time_since_epoch()).count();
}

} // namespace

bool IsAlive(const State& aState, const Peer& aPeer, const Now& aNow)
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
    return; // Sent by an earlier incarnation, or over an earlier connection.
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
  for (const auto& heard : aPresence.mLastPresences) {
    if (heard.mIncarnation == aState.mOptions.mIncarnation) {
      peer.mEchoedAt = Time(Duration(milliseconds(heard.mTimeMs)));
    }
  }
  if (aPresence.mHeldUpstreams != peer.mPresence.mHeldUpstreams) {
    peer.mHeldUpstreams = { aPresence.mHeldUpstreams.begin(), aPresence.mHeldUpstreams.end() };
    aState.mClaimsDue = true;
  }
  aState.mClaimsDue = aState.mClaimsDue || aPresence.mLeaving != peer.mPresence.mLeaving;
  peer.mPresence = aPresence;
  peer.mSentMilliCores.clear();
  CancelUnlistedJobs(aState, peer, aNow, aActions);
  ResendMissingCalls(aState, peer, aNow, aActions);
}

void SendPresence(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextPresence && !aState.mPresenceDue) {
    return;
  }
  aState.mPresenceDue = false;
  aState.mInStartupPeriod = aNow.mTime - aState.mStarted < aState.mOptions.mStartupPeriod;
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
      presence.mHeldUpstreams.push_back(it->second.mHash);
    }
  }
  presence.mLoads = LoadsOf(aState);
  for (auto& [address, peer] : aState.mPeers) {
    if (IsIdlePair(aState, peer) && aNow.mTime < peer.mNextIdlePresence) {
      continue;
    }
    peer.mNextIdlePresence = aNow.mTime + Duration(aState.mOptions.mIdlePresenceInterval);
    // A presence echoes only the receiver's timestamp. With a list for all peers, the bytes of all
    // presences would grow with the cube of the number of entries.
    presence.mLastPresences.clear();
    if (peer.mHeardAt && aNow.mTime - *peer.mHeardAt < kHeardRetention) {
      presence.mLastPresences.push_back({ peer.mIncarnation, peer.mPresence.mTimeMs });
    }
    presence.mOpenJobs = OpenCallsAt(aState, peer.mIncarnation);
    presence.mAcceptedJobs = AcceptedCallsFrom(aState, peer.mIncarnation);
    aActions.emplace_back(SendPeer{ address, presence });
  }
}

void WatchPeers(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto& [address, peer] : aState.mPeers) {
    const bool alive = IsAlive(aState, peer, aNow);
    if (alive != peer.mWasAlive) {
      peer.mWasAlive = alive;
      aState.mClaimsDue = true;
      AddReport(aActions,
                alive ? "peer_heard" : "peer_silent",
                { { "name", peer.mPresence.mName }, { "address", address } },
                !alive);
    }
    if (IsIdlePair(aState, peer)) {
      continue;
    }
    const bool heardByPeer = peer.mEchoedAt && aNow.mTime - *peer.mEchoedAt <= kReconnectTimeout;
    const bool heardFromPeer = peer.mHeardAt && aNow.mTime - *peer.mHeardAt <= kReconnectTimeout;
    if (heardFromPeer && !heardByPeer && aNow.mTime - peer.mConnectedAt > kReconnectTimeout) {
      peer.mConnectedAt = aNow.mTime;
      aActions.emplace_back(ConnectPeer{ address, true });
    }
  }
}

} // namespace pollenwall::entry
