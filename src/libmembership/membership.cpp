#include <pollenwall/membership.h>

#include <algorithm>

namespace pollenwall::membership {
namespace {

constexpr int kLinkDownTimeoutDivisor = 4;

Listed ListedOf(const Members& aMembers, std::string_view aAddress)
{
  const auto it = aMembers.mVms.find(aAddress);
  return it == aMembers.mVms.end() ? Listed::Unknown : it->second.mListed;
}

MemberState DeriveState(const Members& aMembers, const Peer& aPeer, const Now& aNow)
{
  if (HasEnded(aMembers, aPeer.mIncarnation, aPeer.mAddress, aNow)) {
    return MemberState::Gone;
  }
  // Entries of other data centres send heartbeats to two entries only. Missing heartbeats from them
  // therefore mean nothing, and only the state of the link counts.
  const bool isSilenceSignificant = aPeer.mDataCentre == aMembers.mDataCentre || !aPeer.mLinkUp;
  const auto lastHeard =
    std::max(aPeer.mLastHeartbeat.value_or(aPeer.mLinkChanged), aPeer.mLinkChanged);
  const auto lastAlive = aPeer.mLinkUp ? lastHeard : aPeer.mLinkChanged;
  // The link of a process that died closes at once. Within a data centre a live peer reconnects
  // well within a quarter of the timeout.
  const bool isLinkClosed = !aPeer.mLinkUp && aPeer.mDataCentre == aMembers.mDataCentre;
  const auto timeout =
    aMembers.mOptions.mSuspectAfter / (isLinkClosed ? kLinkDownTimeoutDivisor : 1);
  if (isSilenceSignificant && aNow.mTime >= lastAlive + timeout) {
    return MemberState::Suspect;
  }
  if (aPeer.mReportedState == MemberState::Leaving ||
      ListedOf(aMembers, aPeer.mAddress) == Listed::Leaving) {
    return MemberState::Leaving;
  }
  return aPeer.mReportedState;
}

} // namespace

Peer& NoteLinkUp(Members& aMembers, const message::Hello& aHello, const Now& aNow)
{
  auto& peer = aMembers.mPeers[aHello.mIncarnation];
  peer.mIncarnation = aHello.mIncarnation;
  peer.mName = aHello.mName;
  peer.mDataCentre = aHello.mDataCentre;
  peer.mAddress = aHello.mPeerAddress;
  if (!peer.mLinkUp) {
    peer.mLinkUp = true;
    peer.mLinkChanged = aNow.mTime;
  }
  auto& latest = aMembers.mLatest[aHello.mPeerAddress];
  latest = std::max(latest, aHello.mIncarnation);
  for (auto& [incarnation, other] : aMembers.mPeers) {
    if (other.mAddress == aHello.mPeerAddress && incarnation < latest) {
      other.mReplaced = true;
    }
  }
  return peer;
}

void NoteLinkDown(Members& aMembers, Incarnation aPeer, const Now& aNow)
{
  const auto it = aMembers.mPeers.find(aPeer);
  if (it == aMembers.mPeers.end() || !it->second.mLinkUp) {
    return;
  }
  it->second.mLinkUp = false;
  it->second.mLinkChanged = aNow.mTime;
}

bool NoteHeartbeat(Members& aMembers,
                   Incarnation aPeer,
                   const message::Heartbeat& aHeartbeat,
                   const Now& aNow)
{
  const auto it = aMembers.mPeers.find(aPeer);
  if (it == aMembers.mPeers.end()) {
    return false;
  }
  auto& peer = it->second;
  if (peer.mLastHeartbeat && aHeartbeat.mSequence <= peer.mSequence) {
    return false;
  }
  peer.mLastHeartbeat = aNow.mTime;
  peer.mSequence = aHeartbeat.mSequence;
  peer.mReportedState = aHeartbeat.mState;
  peer.mConfigurationVersion = aHeartbeat.mConfigurationVersion;
  peer.mQueuedTasks = aHeartbeat.mQueuedTasks;
  peer.mIdleCredits = aHeartbeat.mIdleCredits;
  peer.mOccupiedUpstreams.clear();
  peer.mOccupiedUpstreams.insert(aHeartbeat.mOccupiedUpstreams.begin(),
                                 aHeartbeat.mOccupiedUpstreams.end());
  return true;
}

void NoteVmList(Members& aMembers, UnixMs aAsOfMs, const std::vector<EntryVm>& aEntries)
{
  if (aAsOfMs < aMembers.mListAsOfMs) {
    return;
  }
  aMembers.mListAsOfMs = aAsOfMs;
  for (auto& [address, vm] : aMembers.mVms) {
    vm.mListed = Listed::Removed;
  }
  for (const auto& it : aEntries) {
    aMembers.mVms[it.mAddress] = { it.mDataCentre, it.mLeaving ? Listed::Leaving : Listed::Live };
  }
}

std::vector<Transition> Advance(Members& aMembers, const Now& aNow)
{
  std::vector<Transition> transitions;
  for (auto it = aMembers.mPeers.begin(); it != aMembers.mPeers.end();) {
    auto& peer = it->second;
    const auto state = DeriveState(aMembers, peer, aNow);
    if (state != peer.mState) {
      transitions.push_back({ peer.mIncarnation, peer.mState, state });
      peer.mState = state;
      peer.mGoneSince =
        state == MemberState::Gone ? std::optional(aNow.mTime) : std::optional<Time>();
    }
    const bool forget = peer.mGoneSince && !peer.mLinkUp &&
                        aNow.mTime >= *peer.mGoneSince + aMembers.mOptions.mGoneRetention;
    it = forget ? aMembers.mPeers.erase(it) : std::next(it);
  }
  return transitions;
}

bool HasEnded(const Members& aMembers,
              Incarnation aPeer,
              std::string_view aAddress,
              const Now& aNow)
{
  const auto latest = aMembers.mLatest.find(aAddress);
  if (latest != aMembers.mLatest.end() && aPeer < latest->second) {
    return true;
  }
  const auto listed = ListedOf(aMembers, aAddress);
  const bool overdue =
    aMembers.mListAsOfMs > StartOf(aPeer) + aMembers.mOptions.mMaxListDelay.count();
  if (listed != Listed::Removed && !(listed == Listed::Unknown && overdue)) {
    return false;
  }
  const auto* peer = FindPeer(aMembers, aPeer);
  return peer == nullptr || !peer->mLinkUp || !peer->mLastHeartbeat ||
         aNow.mTime >= *peer->mLastHeartbeat + aMembers.mOptions.mSuspectAfter;
}

const Peer* FindPeer(const Members& aMembers, Incarnation aPeer)
{
  const auto it = aMembers.mPeers.find(aPeer);
  return it == aMembers.mPeers.end() ? nullptr : &it->second;
}

std::string_view ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Joining:
      return "joining";
    case MemberState::Ready:
      return "ready";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Gone:
      break;
  }
  return "gone";
}

} // namespace pollenwall::membership
