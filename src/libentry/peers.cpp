#include <algorithm>
#include <utility>

#include "state.h"

// The other entries: presences, liveness and connections.

namespace pollenwall::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A connection is replaced if the peer's presences arrive but echo no timestamp of this entry that
/// is younger than this.
constexpr milliseconds kReconnectTimeout{ 350 };
/// Each replacement that brought no younger echo doubles the time to the next one, up to this. The
/// peer is then slow, and new connections would cost it more time.
constexpr milliseconds kMaxReconnectTimeout{ 1400 };
/// A peer's timestamp is echoed for this long after its last presence.
constexpr milliseconds kHeardRetention{ 10000 };

/// A peer that has not read the platform's list of entries is sent the known ones at this interval.
constexpr milliseconds kEntriesInterval{ 2000 };

std::int64_t ToMs(Time aTime)
{
  return duration_cast<milliseconds>(aTime.time_since_epoch()).count();
}

std::uint16_t SaltOf(Incarnation aIncarnation)
{
  return static_cast<std::uint16_t>(aIncarnation.mValue);
}

/// Makes this entry's tokens differ from those of a peer with the same random bits in its
/// incarnation. Two entries that claim an upstream from the same highest token would otherwise both
/// hold it. The entry with the higher incarnation changes its salt.
void AvoidSaltOf(State& aState, Incarnation aPeer)
{
  auto& salt = aState.mHolding.mOptions.mTokenSalt;
  if (SaltOf(aPeer) != salt || aPeer > aState.mOptions.mIncarnation) {
    return;
  }
  const auto isUsed = [&aState](std::uint16_t aSalt) {
    return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [aSalt](const auto& aIt) {
      return SaltOf(aIt.second.mIncarnation) == aSalt;
    });
  };
  while (isUsed(salt)) {
    salt = static_cast<std::uint16_t>(aState.mRandom());
  }
}

} // namespace

bool IsAlive(const State& aState, const Peer& aPeer, const Now& aNow)
{
  return aPeer.mEchoedAt && *aPeer.mEchoedAt >= aNow.mTime - aState.mOptions.mSilentAfter;
}

bool IsPresent(const State& aState, const Peer& aPeer, const Now& aNow)
{
  const auto& options = aState.mOptions;
  // A peer whose presences have just become more frequent may not have echoed a recent one yet.
  const bool regular =
    aPeer.mRegularSince && aNow.mTime - *aPeer.mRegularSince >= options.mSilentAfter;
  const auto allowed =
    regular ? options.mSilentAfter : 2 * options.mIdlePresenceInterval + options.mSilentAfter;
  const auto since = aNow.mTime - allowed;
  return (aPeer.mEchoedAt && *aPeer.mEchoedAt >= since) ||
         (aNow.mTime < aState.mLateUntil && aPeer.mHeardAt && *aPeer.mHeardAt >= since);
}

milliseconds PresenceIntervalTo(const State& aState, const Peer& aPeer, const Now& aNow)
{
  const auto& options = aState.mOptions;
  const auto asked = aPeer.mPresence.mWantedInterval;
  const auto retention = 2 * options.mIdlePresenceInterval + options.mSilentAfter;
  if (asked.count() == 0 || !aPeer.mHeardAt || aNow.mTime - *aPeer.mHeardAt > retention) {
    return aPeer.mWantedInterval;
  }
  const auto allowed = std::max(asked, options.mPresenceInterval);
  return aPeer.mWantedInterval.count() == 0 ? allowed : std::min(allowed, aPeer.mWantedInterval);
}

Peer* FindPeer(State& aState, Incarnation aIncarnation)
{
  const auto it = aState.mPeerAddresses.find(aIncarnation);
  return it == aState.mPeerAddresses.end() ? nullptr : &aState.mPeers.at(it->second);
}

Peer& AddPeer(State& aState, const std::string& aAddress, Actions& aActions)
{
  auto& peer = aState.mPeers[aAddress];
  if (peer.mAddress.empty()) {
    peer.mAddress = aAddress;
    if (const auto it = aState.mEntries.find(aAddress); it != aState.mEntries.end()) {
      peer.mRecord = it->second;
    }
    aActions.emplace_back(ConnectPeer{ aAddress, false });
  }
  return peer;
}

void ApplyEntries(State& aState, const EntriesListed& aEvent)
{
  aState.mEntriesRead = aState.mEntriesRead || aEvent.mFromPlatform;
  AddEntries(aState, aEvent.mEntries);
}

std::optional<Time> EchoedTime(std::int64_t aTimeMs, const Now& aNow)
{
  if (aTimeMs < 0 || aTimeMs > ToMs(aNow.mTime)) {
    return std::nullopt;
  }
  return Time{ Duration(milliseconds(aTimeMs)) };
}

std::optional<Time> EchoIn(const State& aState, const message::Presence& aPresence, const Now& aNow)
{
  std::optional<Time> latest;
  for (const auto& heard : aPresence.mLastPresences) {
    if (heard.mIncarnation == aState.mOptions.mIncarnation) {
      latest = std::max(latest, EchoedTime(heard.mTimeMs, aNow));
    }
  }
  return latest;
}

void RecordEcho(Peer& aPeer, std::optional<Time> aEchoed)
{
  aPeer.mEchoedAt = std::max(aPeer.mEchoedAt, aEchoed);
}

void HandlePresence(State& aState,
                    const std::string& aFrom,
                    const message::Presence& aPresence,
                    const Now& aNow,
                    Actions& aActions)
{
  ++aState.mCounts.mPresencesReceived;
  auto& peer = AddPeer(aState, aFrom, aActions);
  if (aPresence.mEntry) {
    peer.mRecord = *aPresence.mEntry;
    AddEntries(aState, { peer.mRecord });
  } else if (peer.mRecord.mDataCentre.empty()) {
    return; // The sender names itself until this entry echoes a presence.
  }
  if (aPresence.mIncarnation == peer.mIncarnation && aPresence.mTimeMs < peer.mPresence.mTimeMs) {
    return; // Sent over an earlier connection.
  }
  if (peer.mIncarnation != aPresence.mIncarnation) {
    aState.mPeerAddresses.erase(peer.mIncarnation);
    aState.mPeerAddresses[aPresence.mIncarnation] = aFrom;
    peer.mFormer = std::exchange(peer.mIncarnation, aPresence.mIncarnation);
    AvoidSaltOf(aState, peer.mIncarnation);
    peer.mEchoedAt.reset();
    peer.mCheckedTimeMs.reset();
    peer.mReconnectTimeout = kReconnectTimeout;
    peer.mHeldUpstreams = {};
    AddReport(aActions,
              "peer_started",
              { { "name", peer.mRecord.mName },
                { "address", aFrom },
                { "incarnation", ToString(aPresence.mIncarnation) } });
  }
  peer.mHeardAt = aNow.mTime;
  RecordEcho(peer, EchoIn(aState, aPresence, aNow));
  HandleEvacuation(aState, peer, aPresence, aNow, aActions);
  if (aPresence.mHighestToken <= HighestAllowedToken(aNow)) {
    aState.mHighestToken = std::max(aState.mHighestToken, aPresence.mHighestToken);
  }
  if (aPresence.mHeldUpstreams && aPresence.mHeldUpstreams != peer.mHeldUpstreams) {
    peer.mHeldUpstreams = *aPresence.mHeldUpstreams;
    aState.mClaimsDue = true;
  }
  const auto& former = peer.mPresence;
  if (aPresence.mCandidate && !former.mCandidate) {
    peer.mNextPresence = aNow.mTime; // It waits for the upstreams that this entry holds.
  }
  aState.mClaimsDue = aState.mClaimsDue || aPresence.mLeaving != former.mLeaving ||
                      aPresence.mCandidate != former.mCandidate;
  aState.mNeighboursDue = aState.mNeighboursDue || aPresence.mLeaving != former.mLeaving ||
                          aPresence.mPartitions != former.mPartitions ||
                          aPresence.mHolders != former.mHolders;
  const bool newCandidate =
    aPresence.mCandidate && (!former.mCandidate || former.mIncarnation != aPresence.mIncarnation);
  const bool sendEntries = aPresence.mNeedsEntries && aState.mEntriesRead &&
                           aNow.mTime - peer.mEntriesSentAt >= kEntriesInterval;
  peer.mPresence = aPresence;
  peer.mSentMilliCores.clear();
  UpdateListedJobs(aState, peer, aNow, aActions);
  ResendMissingCalls(aState, peer, aNow, aActions);
  if (sendEntries) {
    peer.mEntriesSentAt = aNow.mTime;
    message::Entries entries;
    for (const auto& [address, record] : aState.mEntries) {
      entries.mEntries.push_back(record);
    }
    aActions.emplace_back(SendPeer{ aFrom, std::move(entries) });
  }
  if (newCandidate && peer.mRecord.mDataCentre == aState.mOptions.mDataCentre) {
    message::Crashes crashes{ dispatch::RecentCrashes(*aState.mDispatch) };
    if (!crashes.mReports.empty()) {
      aActions.emplace_back(SendPeer{ aFrom, std::move(crashes) });
    }
  }
}

namespace {

/// The part of a presence that is the same for all peers. mHolders has all local holders.
message::Presence MakePresence(State& aState, const Now& aNow)
{
  const auto& options = aState.mOptions;
  message::Presence presence;
  presence.mIncarnation = options.mIncarnation;
  presence.mTimeMs = ToMs(aNow.mTime);
  presence.mLeaving = aState.mDraining;
  presence.mConfigurationVersion =
    aState.mConfiguration ? aState.mConfiguration->mVersion : configuration::Version{ 0 };
  presence.mCandidate = aState.mCandidate;
  presence.mNeedsEntries = !aState.mEntriesRead;
  presence.mPartitions = static_cast<std::uint64_t>(std::count_if(
    aState.mPartitions.begin(), aState.mPartitions.end(), [&options](const auto& aPartition) {
      return aPartition.first.mDataCentre == options.mDataCentre;
    }));
  std::vector<std::uint64_t> held;
  for (const auto& [key, session] : aState.mHolding.mSessions) {
    const auto it = aState.mUpstreams.find(key);
    if (it != aState.mUpstreams.end() && session.mPhase != holding::SessionPhase::Lost) {
      held.push_back(it->second.mHash);
    }
  }
  std::sort(held.begin(), held.end());
  if (held != aState.mHeldUpstreams.mHashes || aState.mHeldUpstreams.mVersion == 0) {
    ++aState.mHeldUpstreams.mVersion;
    aState.mHeldUpstreams.mHashes = std::move(held);
  }
  presence.mHighestToken = aState.mHighestToken;
  presence.mAnswersCancels = true;
  presence.mHeldVersion = aState.mHeldUpstreams.mVersion;
  presence.mHolders = LocalHolders(aState, aNow);
  presence.mLoads = LoadsOf(aState);
  return presence;
}

/// Completes a presence with what concerns one peer, and sends it. With aNamed it names this entry
/// also to a peer that knows it, and is meant for any process: after a restart of the peer, its new
/// process has to learn of this one before this one learns of it.
void SendTo(State& aState,
            Peer& aPeer,
            message::Presence aPresence,
            bool aNamed,
            const Now& aNow,
            Actions& aActions)
{
  if (aNamed || !IsPresent(aState, aPeer, aNow)) {
    aPresence.mEntry = aState.mEntries.at(aState.mOptions.mPeerAddress);
  }
  aPresence.mWantedInterval = aPeer.mWantedInterval;
  if (aPeer.mRecord.mDataCentre == aState.mOptions.mDataCentre) {
    aPresence.mHolders.clear();
  } else {
    aPresence.mHolders = HoldersFor(aPeer, std::move(aPresence.mHolders));
  }
  aPresence.mReceivedHeldVersion = aPeer.mHeldUpstreams.mVersion;
  if (aPeer.mPresence.mCandidate && aPeer.mHeardAt &&
      aPeer.mPresence.mReceivedHeldVersion != aState.mHeldUpstreams.mVersion) {
    aPresence.mHeldUpstreams = aState.mHeldUpstreams;
  }
  // A presence echoes only the receiver's timestamp. With a list for all peers, the bytes of all
  // presences would grow with the cube of the number of entries.
  if (aPeer.mCheckedTimeMs && aNow.mTime - *aPeer.mHeardAt < kHeardRetention) {
    aPresence.mLastPresences.push_back({ aPeer.mIncarnation, *aPeer.mCheckedTimeMs });
  }
  aPresence.mOpenJobs = OpenCallsAt(aState, aPeer.mIncarnation);
  aPresence.mAcceptedJobs = AcceptedCallsFrom(aState, aPeer.mIncarnation);
  aPresence.mEvacuation = EvacuationFor(aState, aPeer);
  ++aState.mCounts.mPresencesSent;
  const auto to = aNamed ? Incarnation{} : aPeer.mIncarnation;
  aActions.emplace_back(SendPeer{ aPeer.mAddress, std::move(aPresence), to });
}

} // namespace

void RecordCallerCheck(State& aState)
{
  for (auto& [address, peer] : aState.mPeers) {
    if (peer.mHeardAt && peer.mPresence.mIncarnation == peer.mIncarnation) {
      peer.mCheckedTimeMs = peer.mPresence.mTimeMs;
    }
  }
}

void SendPresences(State& aState, const Now& aNow, Actions& aActions)
{
  std::optional<message::Presence> presence; // Made when the first one is due.
  for (auto& [address, peer] : aState.mPeers) {
    const auto interval = PresenceIntervalTo(aState, peer, aNow);
    const bool isRegular = interval.count() != 0 && interval <= aState.mOptions.mPresenceInterval;
    if (isRegular != peer.mRegularSince.has_value()) {
      peer.mRegularSince = isRegular ? std::optional(aNow.mTime) : std::nullopt;
    }
    if (interval.count() == 0) {
      continue;
    }
    peer.mNextPresence = std::min(peer.mNextPresence, aNow.mTime + Duration(interval));
    if (aNow.mTime < peer.mNextPresence && !aState.mPresenceDue) {
      continue;
    }
    if (!presence) {
      presence = MakePresence(aState, aNow);
    }
    peer.mNextPresence = aNow.mTime + Duration(interval);
    SendTo(aState, peer, *presence, false, aNow, aActions);
  }
  aState.mPresenceDue = false;
}

void SendPresenceTo(State& aState, Peer& aPeer, const Now& aNow, Actions& aActions)
{
  SendTo(aState, aPeer, MakePresence(aState, aNow), true, aNow, aActions);
}

void WatchPeers(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto& [address, peer] : aState.mPeers) {
    const bool alive = IsPresent(aState, peer, aNow);
    if (alive != peer.mWasAlive) {
      peer.mWasAlive = alive;
      if (alive) {
        ShortenContests(aState, aNow);
        SendCancelledJobs(aState, address, aNow, aActions); // It may not have been told of some.
      }
      aState.mClaimsDue = true;
      aState.mNeighboursDue = true;
      AddReport(aActions,
                alive ? "peer_heard" : "peer_silent",
                { { "name", peer.mRecord.mName }, { "address", address } },
                !alive);
    }
    if (!peer.mRegularSince || aNow.mTime - *peer.mRegularSince <= kReconnectTimeout) {
      continue; // Presences are too rare to tell that a connection is broken.
    }
    const bool heardByPeer = peer.mEchoedAt && aNow.mTime - *peer.mEchoedAt <= kReconnectTimeout;
    const bool heardFromPeer = peer.mHeardAt && aNow.mTime - *peer.mHeardAt <= kReconnectTimeout;
    if (heardByPeer) {
      peer.mReconnectTimeout = kReconnectTimeout;
    }
    // Echoes that this entry handles late do not show that a connection is broken.
    const bool isLate = aNow.mTime < aState.mLateUntil;
    if (heardFromPeer && !heardByPeer && !isLate &&
        aNow.mTime - peer.mConnectedAt > peer.mReconnectTimeout) {
      peer.mConnectedAt = aNow.mTime;
      peer.mReconnectTimeout =
        std::clamp(2 * peer.mReconnectTimeout, 2 * kReconnectTimeout, kMaxReconnectTimeout);
      aActions.emplace_back(ConnectPeer{ address, true });
    }
  }
}

} // namespace pollenwall::entry
