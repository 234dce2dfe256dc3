#include <algorithm>
#include <limits>

#include <pollenwall/hash.h>

#include "state.h"

// Peers, heartbeats, views, leases and the configuration.

namespace pollenwall::node {
namespace {

using membership::MemberState;

/// A lease renewed by reading runs from the start of the read. A poll that takes this long
/// therefore renews it only if the lease is longer, which the default of 400 ms is not. Other
/// streams wait longer.
constexpr std::chrono::milliseconds kViewPollTimeout{ 400 };
constexpr std::chrono::milliseconds kLongPollTimeout{ 5000 };
constexpr std::chrono::milliseconds kInitialBackoff{ 100 };
constexpr int kMaxBackoffDoublings = 5;

/// Ticks come every 10 to 50 ms; a longer gap means that the process was paused.
constexpr std::chrono::milliseconds kMaxTickInterval{ 50 };
/// Interval of control work that is independent of heartbeats.
constexpr std::chrono::milliseconds kControlInterval{ 50 };

/// Delays before this entry proposes a view: when another member is expected to do so, and when
/// this entry is no member itself and considers no member ready, which may be its own fault.
constexpr std::chrono::milliseconds kFallbackProposalDelay{ 1000 };
constexpr std::chrono::milliseconds kOutsiderProposalDelay{ 3000 };
constexpr std::chrono::milliseconds kViewAppendInterval{ 500 };
constexpr std::chrono::milliseconds kTentativeViewTimeout{ 10000 };

/// Number of entries in each other data centre that get heartbeats.
constexpr std::size_t kMaxRemoteTargets = 2;

/// Time for which an entry that requested a vote gets heartbeats.
constexpr std::chrono::milliseconds kVoteRequesterTimeout{ 3000 };

constexpr std::chrono::milliseconds kConfigFetchInterval{ 1000 };
/// The log usually delivers a new version to all entries within milliseconds. A fetch transfers the
/// whole configuration, so it is only requested when a peer has been ahead for longer than this.
constexpr std::chrono::milliseconds kConfigFetchDelay{ 1500 };
constexpr std::size_t kMaxLeavingNotes = 32;
/// Health notes, the reports of unhealthy upstreams, are sent in every fifth heartbeat only, and at
/// most kMaxHealthNotes of them, to bound the bytes.
constexpr std::uint64_t kHeartbeatsPerHealthNote = 5;
constexpr std::size_t kMaxHealthNotes = 8;
/// Enough to send the demands of 150 teams in 5 s; at 14 peers and about 25 bytes per demand this
/// is 10 KB/s.
constexpr std::size_t kMaxDemandsPerHeartbeat = 6;

std::string JournalStream(const State& aState)
{
  return "journal." + aState.mOptions.mDataCentre;
}

std::string OwnViewStream(const State& aState)
{
  return ownership::ViewStream(aState.mOptions.mDataCentre);
}

std::uint64_t& PromisedVersion(State& aState, std::string_view aDataCentre)
{
  const auto it = aState.mPromisedVersions.find(aDataCentre);
  return it != aState.mPromisedVersions.end() ? it->second
                                              : aState.mPromisedVersions[std::string(aDataCentre)];
}

void ReadStream(State& aState, const std::string& aStream, const Now& aNow, Actions& aActions)
{
  auto& stream = aState.mStreams[aStream];
  if (stream.mReading || aNow.mTime < stream.mRetryAt) {
    return;
  }
  stream.mReading = true;
  auto wait = kLongPollTimeout;
  if (aStream == OwnViewStream(aState)) {
    // Without a lease the end is read without waiting, once per heartbeat interval.
    const bool holds = ownership::HoldsLease(aState.mLease, aNow);
    wait = holds && stream.mReachedEnd ? kViewPollTimeout : std::chrono::milliseconds(0);
    if (!holds) {
      stream.mRetryAt = aNow.mTime + aState.mOptions.mHeartbeatInterval;
    }
  }
  aActions.emplace_back(ReadLog{ aStream, stream.mNext, wait });
}

void ReadStreams(State& aState, const Now& aNow, Actions& aActions)
{
  ReadStream(aState, std::string(configuration::kStream), aNow, aActions);
  ReadStream(aState, OwnViewStream(aState), aNow, aActions);
  ReadStream(aState, JournalStream(aState), aNow, aActions);
}

void ApplyConfiguration(State& aState, const Now& aNow, Actions& aActions)
{
  const auto current = aState.mConfiguration.mConfiguration;
  if (current->mVersion == aState.mAppliedVersion) {
    return;
  }
  aState.mAppliedVersion = current->mVersion;
  Dispatch(aState, dispatch::ConfigurationApplied{ current }, aNow, aActions);
  UpdateSlotsForConfiguration(aState, aNow, aActions);
  aActions.emplace_back(
    Report{ false, "configuration_applied", { { "version", std::to_string(current->mVersion) } } });
}

bool CanServe(const State& aState)
{
  const auto view = aState.mStreams.find(OwnViewStream(aState));
  return aState.mAppliedVersion != 0 && !aState.mDrainStarted && view != aState.mStreams.end() &&
         view->second.mReachedEnd;
}

MemberState OwnMemberState(const State& aState)
{
  if (aState.mDrainStarted) {
    return MemberState::Leaving;
  }
  return CanServe(aState) ? MemberState::Ready : MemberState::Joining;
}

// Views.

/// The ready entries of this data centre including this one, sorted.
std::vector<ownership::Member> DesiredMembers(const State& aState)
{
  std::vector<ownership::Member> members;
  if (CanServe(aState)) {
    members.push_back({ aState.mOptions.mIncarnation, aState.mOptions.mPeerAddress });
  }
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mDataCentre == aState.mOptions.mDataCentre && peer.mState == MemberState::Ready) {
      members.push_back({ incarnation, peer.mAddress });
    }
  }
  std::sort(members.begin(), members.end());
  return members;
}

/// Selects the witness from another data centre. The current one is kept while its link is up
/// and it is neither suspect nor leaving, so that the choice of a witness alone does not change the
/// view.
std::optional<ownership::Member> SelectOutsideWitness(const State& aState,
                                                      const ownership::View* aView)
{
  std::optional<ownership::Member> best;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mDataCentre == aState.mOptions.mDataCentre || !peer.mLinkUp ||
        peer.mState == MemberState::Gone || peer.mState == MemberState::Suspect ||
        peer.mState == MemberState::Leaving) {
      continue;
    }
    const ownership::Member candidate{ incarnation, peer.mAddress };
    if (aView != nullptr && ownership::Contains(aView->mWitnesses, incarnation)) {
      return candidate;
    }
    if (!best) {
      best = candidate;
    }
  }
  return best;
}

/// The view that should replace the current one; empty if no change is needed.
std::optional<ownership::View> NextView(const State& aState)
{
  const auto* current = ownership::CurrentView(aState.mViews);
  ownership::View next;
  next.mMembers = DesiredMembers(aState);
  if (next.mMembers.empty()) {
    return std::nullopt;
  }
  next.mWitnesses = ownership::MakeWitnesses(next.mMembers, SelectOutsideWitness(aState, current));
  next.mBase = aState.mViews.mVersion;
  if (current == nullptr) {
    // Peers may have acknowledged a version that the log no longer holds.
    const auto it = aState.mPromisedVersions.find(aState.mOptions.mDataCentre);
    next.mBase = it == aState.mPromisedVersions.end() ? 0 : it->second;
  } else if (current->mMembers == next.mMembers) {
    // A new view is needed when the outside witness can be added or replaced, but not when it is
    // lost and there is no other.
    const bool addsWitness =
      next.mWitnesses.size() > next.mMembers.size() && next.mWitnesses != current->mWitnesses;
    const auto& read = aState.mViews.mViews.at(aState.mViews.mVersion);
    const bool isExpiring =
      aState.mLastEvent->mTime >= read.mFirstReadTime + aState.mOptions.mLogRetention / 2;
    if (!addsWitness && !isExpiring) {
      return std::nullopt;
    }
  }
  next.mBaseHash = current == nullptr ? 0 : ownership::HashOf(*current);
  next.mVersion = next.mBase + 1;
  next.mSealed = aState.mViews.mSealed;
  return next;
}

/// Delay before this entry proposes a view, which leaves time for others to do so.
std::chrono::milliseconds ProposalDelay(State& aState, const Now& aNow)
{
  const auto* current = ownership::CurrentView(aState.mViews);
  const auto self = aState.mOptions.mIncarnation;
  if (current == nullptr) {
    return Jitter(aState, std::chrono::milliseconds(0), aState.mOptions.mHeartbeatInterval);
  }
  bool allHaveEnded = true;
  Incarnation first;
  for (const auto& it : current->mMembers) {
    const auto* peer = membership::FindPeer(aState.mMembers, it.mIncarnation);
    const bool ready = it.mIncarnation == self
                         ? CanServe(aState)
                         : peer != nullptr && peer->mState == MemberState::Ready;
    if (ready && first.mValue == 0) {
      first = it.mIncarnation;
    }
    allHaveEnded = allHaveEnded && it.mIncarnation != self &&
                   membership::HasEnded(aState.mMembers, it.mIncarnation, it.mAddress, aNow);
  }
  if (first == self) {
    return std::chrono::milliseconds(0);
  }
  if (allHaveEnded) {
    return Jitter(aState, std::chrono::milliseconds(0), kFallbackProposalDelay);
  }
  const bool outsider = first.mValue == 0 && !ownership::Contains(current->mMembers, self);
  const auto delay = outsider ? kOutsiderProposalDelay : kFallbackProposalDelay;
  return Jitter(aState, delay, delay * 2);
}

void ProposeView(State& aState, const Now& aNow, Actions& aActions)
{
  if (!CanServe(aState) || !MayAppend(aState.mViewAppend, aNow) || aState.mViews.mTentative) {
    return;
  }
  auto next = NextView(aState);
  if (!next) {
    aState.mProposalDue.reset();
    return;
  }
  if (!aState.mProposalDue) {
    aState.mProposalDue = aNow.mTime + ProposalDelay(aState, aNow);
  }
  if (aNow.mTime < *aState.mProposalDue) {
    return;
  }
  aState.mProposalDue.reset();
  aState.mViewAppend.mNextAt = aNow.mTime + kViewAppendInterval;
  ++aState.mCounters.mViewsProposed;
  aActions.emplace_back(Report{ false,
                                "view_proposed",
                                { { "version", std::to_string(next->mVersion) },
                                  { "members", std::to_string(next->mMembers.size()) } } });
  StartAppend(
    aState, aState.mViewAppend, OwnViewStream(aState), ownership::ViewRecord(*next), aActions);
}

/// Records when this member becomes able to accept caller-chosen ids for the first time. The load
/// balancer may send callers from then on.
void UpdateHasSettled(State& aState, const Now& aNow)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  if (aState.mHasSettled || view == nullptr ||
      !ownership::Contains(view->mMembers, aState.mOptions.mIncarnation)) {
    return;
  }
  const auto read = aState.mViews.mViews.find(aState.mViews.mVersion);
  aState.mHasSettled = read != aState.mViews.mViews.end() && read->second.mSettled.has_value() &&
                       ownership::HoldsLease(aState.mLease, aNow);
}

void AdvanceViews(State& aState, const Now& aNow, Actions& aActions)
{
  auto& known = aState.mAcknowledged;
  known.mGone.clear();
  for (const auto& [version, read] : aState.mViews.mViews) {
    if (version <= aState.mViews.mSealed) {
      continue;
    }
    for (const auto& it : read.mView.mWitnesses) {
      if (membership::HasEnded(aState.mMembers, it.mIncarnation, it.mAddress, aNow)) {
        known.mGone.insert(it.mIncarnation);
      }
    }
  }
  const auto before = aState.mViews.mSealed;
  ownership::Advance(aState.mViews, known, aNow);
  if (aState.mViews.mSealed != before) {
    aActions.emplace_back(
      Report{ false, "views_sealed", { { "version", std::to_string(aState.mViews.mSealed) } } });
  }
}

/// Updates the state after a change of the current view. Other members wait for the
/// acknowledgement, so the next heartbeat is sent at once.
void OnViewChange(State& aState,
                  const std::optional<ownership::View>& aOld,
                  const Now& aNow,
                  Actions& aActions)
{
  const auto version = aState.mViews.mVersion;
  aState.mAcknowledged.mVersions[aState.mOptions.mIncarnation] = version;
  auto& promised = PromisedVersion(aState, aState.mOptions.mDataCentre);
  promised = std::max(promised, version);
  aState.mProposalDue.reset();
  UpdateSlotsForView(aState, aOld ? &*aOld : nullptr, aNow, aActions);
  aState.mNextHeartbeat = aNow.mTime;
  aActions.emplace_back(
    Report{ false, "view_in_force", { { "version", std::to_string(version) } } });
}

/// Confirms a tentative view if no member could do so for a while. Otherwise the next record
/// confirms it, which a ready member writes when this entry requests to join.
void ConfirmTentativeView(State& aState, const Now& aNow, Actions& aActions)
{
  if (!aState.mViews.mTentative) {
    aState.mNoConfirmerSince.reset();
    return;
  }
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    const auto known = aState.mAcknowledged.mVersions.find(incarnation);
    if (peer.mDataCentre == aState.mOptions.mDataCentre && peer.mState == MemberState::Ready &&
        known != aState.mAcknowledged.mVersions.end() &&
        known->second >= aState.mViews.mTentative->mVersion) {
      aState.mNoConfirmerSince.reset();
      return;
    }
  }
  if (!aState.mNoConfirmerSince) {
    aState.mNoConfirmerSince = aNow.mTime;
  }
  if (aNow.mTime >= *aState.mNoConfirmerSince + kTentativeViewTimeout) {
    ownership::ConfirmTentative(aState.mViews, aNow);
    OnViewChange(aState, std::nullopt, aNow, aActions);
  }
}

void ApplyViewRecords(State& aState, const LogRead& aEvent, const Now& aNow, Actions& aActions)
{
  if (ownership::NoteOldestOffset(aState.mViews, aEvent.mFirst)) {
    ownership::DropLease(aState.mLease);
    aActions.emplace_back(Report{ true, "view_records_missed", {} });
  }
  for (const auto& record : aEvent.mRecords) {
    std::optional<ownership::View> previous;
    if (const auto* current = ownership::CurrentView(aState.mViews)) {
      previous = *current;
    }
    if (!ownership::ApplyRecord(aState.mViews, record.mOffset, record.mData, aNow)) {
      continue;
    }
    OnViewChange(aState, previous, aNow, aActions);
  }
}

// Heartbeats.

bool IsWitness(const State& aState, Incarnation aPeer)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  return view != nullptr && ownership::Contains(view->mWitnesses, aPeer);
}

/// Outside witnesses of views that are not sealed have to learn of later views.
bool IsWitnessOfUnsealedView(const State& aState, Incarnation aPeer)
{
  const auto& views = aState.mViews;
  for (auto it = views.mViews.upper_bound(views.mSealed); it != views.mViews.end(); ++it) {
    if (ownership::Contains(it->second.mView.mWitnesses, aPeer)) {
      return true;
    }
  }
  return false;
}

bool HasLoanWith(const State& aState, Incarnation aPeer)
{
  const auto isWith = [aPeer](const auto& aIt) { return aIt.second.mPeer == aPeer; };
  return std::any_of(aState.mLentLoans.begin(), aState.mLentLoans.end(), isWith) ||
         std::any_of(aState.mBorrowedLoans.begin(), aState.mBorrowedLoans.end(), isWith);
}

/// All entries of this data centre, two of each other one, and other entries that are witnesses,
/// have requested this entry's vote or share a loan with it.
std::vector<Incarnation> HeartbeatTargets(const State& aState, const Now& aNow)
{
  std::vector<Incarnation> targets;
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, Incarnation>>> others;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (!peer.mLinkUp) {
      continue;
    }
    const auto context = aState.mPeers.find(incarnation);
    const bool hasRequestedVote =
      context != aState.mPeers.end() && context->second.mVoteRequestedAt &&
      aNow.mTime < *context->second.mVoteRequestedAt + kVoteRequesterTimeout;
    if (peer.mDataCentre == aState.mOptions.mDataCentre || hasRequestedVote ||
        IsWitness(aState, incarnation) || IsWitnessOfUnsealedView(aState, incarnation) ||
        HasLoanWith(aState, incarnation)) {
      targets.push_back(incarnation);
      continue;
    }
    others[peer.mDataCentre].emplace_back(
      RendezvousWeight(ToString(aState.mOptions.mIncarnation), incarnation.mValue), incarnation);
  }
  for (auto& [dataCentre, peers] : others) {
    std::sort(peers.rbegin(), peers.rend());
    peers.resize(std::min(peers.size(), kMaxRemoteTargets));
    for (const auto& [weight, incarnation] : peers) {
      targets.push_back(incarnation);
    }
  }
  return targets;
}

message::Heartbeat MakeHeartbeat(State& aState)
{
  message::Heartbeat beat;
  beat.mSequence = ++aState.mHeartbeatSequence;
  beat.mState = OwnMemberState(aState);
  beat.mConfigurationVersion = aState.mConfiguration.mConfiguration->mVersion;
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  beat.mQueuedTasks = load.mQueuedTasks;
  beat.mIdleCredits = load.mIdleCredits;
  beat.mViews.push_back(
    { aState.mOptions.mDataCentre, aState.mViews.mVersion, aState.mViews.mSealed });
  for (const auto& [dataCentre, version] : aState.mPromisedVersions) {
    if (dataCentre != aState.mOptions.mDataCentre) {
      beat.mViews.push_back({ dataCentre, version, 0 });
    }
  }
  beat.mOccupiedUpstreams = OccupiedUpstreams(aState);
  for (const auto& [upstream, since] : aState.mLeavingNotes) {
    if (beat.mUpstreamHealth.size() == kMaxLeavingNotes) {
      break;
    }
    beat.mUpstreamHealth.push_back({ upstream, true, 0 });
  }
  if (beat.mSequence % kHeartbeatsPerHealthNote == 0) {
    auto unhealthy = dispatch::UnhealthyUpstreams(*aState.mDispatch);
    unhealthy.resize(std::min(unhealthy.size(), kMaxHealthNotes));
    for (auto& [upstream, rate] : unhealthy) {
      beat.mUpstreamHealth.push_back({ std::move(upstream), false, rate });
    }
  }
  return beat;
}

/// Adds team demands that have changed since they were sent to the peer, a few per heartbeat and
/// round robin by team.
void AddDemands(const State& aState, PeerContext& aContext, message::Heartbeat& aBeat)
{
  const auto& demands = aState.mPublishedDemands;
  auto it = demands.upper_bound(aContext.mLastDemandTeam);
  for (std::size_t n = 0; n < demands.size() && aBeat.mDemands.size() < kMaxDemandsPerHeartbeat;
       ++n) {
    if (it == demands.end()) {
      it = demands.begin();
    }
    const auto& [team, demand] = *it++;
    const auto [sent, isNew] = aContext.mSentDemands.try_emplace(team, demand);
    if (isNew || sent->second != demand) {
      sent->second = demand;
      aBeat.mDemands.push_back({ team, demand });
      aContext.mLastDemandTeam = team;
    }
  }
}

void SendHeartbeats(State& aState, const Now& aNow, Actions& aActions)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  const auto self = aState.mOptions.mIncarnation;
  std::optional<message::Vote> request;
  if (view != nullptr && ownership::Contains(view->mMembers, self)) {
    const bool ownVote = ownership::Contains(view->mWitnesses, self) &&
                         PromisedVersion(aState, aState.mOptions.mDataCentre) <= view->mVersion;
    const auto round =
      ownership::BeginRound(aState.mLease, *view, self, ownVote, aNow, aState.mViews.mOptions);
    request = message::Vote{ aState.mOptions.mDataCentre, view->mVersion, round };
  }
  const auto targets = HeartbeatTargets(aState, aNow);
  if (targets.empty()) {
    return;
  }
  const auto common = MakeHeartbeat(aState);
  for (const auto target : targets) {
    auto beat = common;
    if (request && ownership::Contains(view->mWitnesses, target)) {
      beat.mVoteRequests.push_back(*request);
    }
    auto& context = aState.mPeers[target];
    for (auto& [dataCentre, vote] : context.mVotes) {
      // This entry may have promised a later version since the request.
      if (vote.mVersion >= PromisedVersion(aState, dataCentre)) {
        beat.mVotes.push_back(vote);
      }
    }
    context.mVotes.clear();
    AddDemands(aState, context, beat);
    ++aState.mCounters.mHeartbeatsSent;
    Send(aState, target, std::move(beat), aActions);
  }
}

/// Fetches a newer configuration from a peer that has been ahead for longer than the log usually
/// takes.
void FetchConfiguration(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextConfigFetch) {
    return;
  }
  const auto own = aState.mConfiguration.mConfiguration->mVersion;
  const membership::Peer* best = nullptr;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mLinkUp && peer.mConfigurationVersion > own &&
        (best == nullptr || peer.mConfigurationVersion > best->mConfigurationVersion)) {
      best = &peer;
    }
  }
  if (best == nullptr || aState.mStaleVersion != own) {
    aState.mStaleVersion = own;
    aState.mStaleSince = aNow.mTime;
  }
  if (best != nullptr && (own == 0 || aNow.mTime >= aState.mStaleSince + kConfigFetchDelay)) {
    aState.mNextConfigFetch = aNow.mTime + kConfigFetchInterval;
    Send(aState, best->mIncarnation, message::ConfigFetch{ own }, aActions);
  }
}

void RepublishSnapshot(State& aState, const Now& aNow, Actions& aActions)
{
  auto& log = aState.mConfiguration;
  if (log.mSnapshotMs != aState.mSnapshotMs) {
    aState.mSnapshotMs = log.mSnapshotMs;
    aState.mSnapshotJitter = std::uniform_real_distribution<double>(0, 1)(aState.mRandom);
  }
  if (MayAppend(aState.mConfigurationAppend, aNow) &&
      configuration::IsSnapshotDue(
        log, aNow.mUnixMs, aState.mOptions.mLogRetention, aState.mSnapshotJitter)) {
    aState.mConfigurationAppend.mNextAt = aNow.mTime + aState.mOptions.mSuspectAfter;
    StartAppend(aState,
                aState.mConfigurationAppend,
                std::string(configuration::kStream),
                configuration::SnapshotRecord(log),
                aActions);
  }
}

void ConnectTo(State& aState, const std::string& aAddress, Actions& aActions)
{
  if (!aAddress.empty() && aAddress != aState.mOptions.mPeerAddress &&
      aState.mConnected.insert(aAddress).second) {
    aActions.emplace_back(Connect{ aAddress });
  }
}

} // namespace

bool MayAppend(const AppendState& aAppend, const Now& aNow)
{
  return aAppend.mToken == 0 && aNow.mTime >= aAppend.mNextAt;
}

void StartAppend(State& aState,
                 AppendState& aAppend,
                 std::string aStream,
                 std::string aData,
                 Actions& aActions)
{
  aAppend.mToken = ++aState.mNextToken;
  aActions.emplace_back(AppendLog{ std::move(aStream), aAppend.mToken, std::move(aData) });
}

void OnPeerUp(State& aState, const PeerUp& aEvent, const Now& aNow, Actions& aActions)
{
  if (aEvent.mHello.mIncarnation == aState.mOptions.mIncarnation) {
    return;
  }
  membership::NoteLinkUp(aState.mMembers, aEvent.mHello, aNow);
  aState.mPeers[aEvent.mHello.mIncarnation].mSentDemands.clear();
  aActions.emplace_back(Report{ false,
                                "peer_up",
                                { { "peer", ToString(aEvent.mHello.mIncarnation) },
                                  { "address", aEvent.mHello.mPeerAddress } } });
}

void OnPeerDown(State& aState, const PeerDown& aEvent, const Now& aNow, Actions& aActions)
{
  membership::NoteLinkDown(aState.mMembers, aEvent.mPeer, aNow);
  FailForwardsTo(aState, aEvent.mPeer, aActions);
  FailHandoversTo(aState, aEvent.mPeer, aNow, aActions);
  aActions.emplace_back(Report{ true, "peer_down", { { "peer", ToString(aEvent.mPeer) } } });
}

void OnHeartbeat(State& aState,
                 Incarnation aFrom,
                 const message::Heartbeat& aMessage,
                 const Now& aNow,
                 Actions& aActions)
{
  // A heartbeat that is older than the last one is dropped: its occupied upstreams are out of date.
  if (!membership::NoteHeartbeat(aState.mMembers, aFrom, aMessage, aNow)) {
    return;
  }
  const auto& own = aState.mOptions.mDataCentre;
  for (const auto& ack : aMessage.mViews) {
    auto& promised = PromisedVersion(aState, ack.mDataCentre);
    if (ack.mDataCentre == own) {
      auto& version = aState.mAcknowledged.mVersions[aFrom];
      version = std::max(version, ack.mAcknowledged);
      ownership::MarkSealed(aState.mViews, ack.mSealed, aNow);
    }
    // A version that a peer has read exists, so no vote is given for an earlier one any more.
    if (ack.mDataCentre != own && ack.mAcknowledged > promised) {
      // A member may wait for this entry's acknowledgement as an outside witness, so the next
      // heartbeat is sent at once.
      aState.mNextHeartbeat = aNow.mTime;
    }
    promised = std::max(promised, ack.mAcknowledged);
  }
  auto& context = aState.mPeers[aFrom];
  for (const auto& request : aMessage.mVoteRequests) {
    auto& promised = PromisedVersion(aState, request.mDataCentre);
    if (request.mVersion < promised) {
      continue;
    }
    if (request.mVersion > context.mVotedVersion) {
      context.mVotedVersion = request.mVersion;
      // Sent at once: the requester's lease on the previous view ends soon.
      aState.mNextHeartbeat = aNow.mTime;
    }
    promised = request.mVersion;
    context.mVotes[request.mDataCentre] = request;
    context.mVoteRequestedAt = aNow.mTime;
  }
  const auto* view = ownership::CurrentView(aState.mViews);
  for (const auto& vote : aMessage.mVotes) {
    if (view != nullptr && vote.mDataCentre == own) {
      ownership::AddVote(
        aState.mLease, *view, aFrom, vote.mVersion, vote.mRound, aState.mViews.mOptions);
    }
  }
  for (const auto& it : aMessage.mDemands) {
    context.mDemands[it.mTeam] = it.mStartsPerSecond;
  }
  const auto* peer = membership::FindPeer(aState.mMembers, aFrom);
  if (peer->mDataCentre != own) {
    return;
  }
  for (const auto& it : aMessage.mUpstreamHealth) {
    if (!aState.mSlots.contains(it.mUpstream)) {
      continue;
    }
    if (it.mLeaving) {
      Dispatch(aState,
               dispatch::UpstreamSign{ it.mUpstream, dispatch::Sign::SuspectedLeaving },
               aNow,
               aActions);
    } else {
      Dispatch(aState, dispatch::UnhealthyReport{ it.mUpstream, it.mFailureRate }, aNow, aActions);
    }
  }
}

void OnVmList(State& aState, const VmList& aEvent, const Now& aNow, Actions& aActions)
{
  if (!aEvent.mOk || aEvent.mAsOfMs < aState.mMembers.mListAsOfMs) {
    return;
  }
  std::vector<membership::EntryVm> entries;
  std::map<std::string, bool, std::less<>> workers; // By address: whether the worker is leaving.
  for (const auto& vm : aEvent.mVms) {
    if (!vm.mEntry) {
      workers[vm.mAddress] = vm.mLeaving;
      continue;
    }
    entries.push_back({ vm.mAddress, vm.mDataCentre, vm.mLeaving });
    ConnectTo(aState, vm.mAddress, aActions);
  }
  membership::NoteVmList(aState.mMembers, aEvent.mAsOfMs, entries);
  for (auto it = aState.mConnected.begin(); it != aState.mConnected.end();) {
    const auto vm = aState.mMembers.mVms.find(*it);
    const bool removed =
      vm != aState.mMembers.mVms.end() && vm->second.mListed == membership::Listed::Removed;
    if (!removed) {
      ++it;
      continue;
    }
    aActions.emplace_back(Disconnect{ *it });
    it = aState.mConnected.erase(it);
  }
  for (const auto& [key, slots] : aState.mSlots) {
    const auto worker = workers.find(slots.mWorkerAddress);
    const bool listed = worker != workers.end();
    const bool wasListed = aState.mListedWorkers.contains(slots.mWorkerAddress);
    if (!listed && !wasListed) {
      continue; // A new worker that no list has named yet.
    }
    const bool leaving = !listed || worker->second;
    const auto sign = leaving ? dispatch::Sign::Leaving : dispatch::Sign::Live;
    Dispatch(aState, dispatch::UpstreamSign{ key, sign, aEvent.mAsOfMs }, aNow, aActions);
  }
  for (const auto& [address, leaving] : workers) {
    aState.mListedWorkers.insert(address);
  }
}

void OnLogRead(State& aState, const LogRead& aEvent, const Now& aNow, Actions& aActions)
{
  auto& stream = aState.mStreams[aEvent.mStream];
  stream.mReading = false;
  if (!aEvent.mOk) {
    const auto doublings = std::min(stream.mFailures++, kMaxBackoffDoublings);
    const std::chrono::milliseconds most(kInitialBackoff.count() << doublings);
    stream.mRetryAt = aNow.mTime + Jitter(aState, most / 2, most);
    return;
  }
  stream.mFailures = 0;
  if (aEvent.mStream == configuration::kStream) {
    configuration::NoteOldestOffset(aState.mConfiguration, aEvent.mFirst);
    for (const auto& record : aEvent.mRecords) {
      const auto outcome = configuration::ApplyRecord(
        aState.mConfiguration, record.mOffset, record.mAtMs, record.mData);
      if (outcome.mKind == configuration::OutcomeKind::Invalid) {
        aActions.emplace_back(
          Report{ true, "configuration_record_invalid", { { "id", outcome.mId } } });
      }
    }
    stream.mNext = std::max(aEvent.mNext, aState.mConfiguration.mNext);
    ApplyConfiguration(aState, aNow, aActions);
  } else if (aEvent.mStream == OwnViewStream(aState)) {
    ApplyViewRecords(aState, aEvent, aNow, aActions);
    stream.mNext = std::max(stream.mNext, aEvent.mNext);
    const auto* view = ownership::CurrentView(aState.mViews);
    if (aEvent.mAtEnd && view != nullptr &&
        ownership::Contains(view->mMembers, aState.mOptions.mIncarnation) &&
        aEvent.mStarted >= aState.mMinLeaseReadStart) {
      ownership::RenewByEndRead(aState.mLease, *view, aEvent.mStarted, aState.mViews.mOptions);
    }
  } else {
    for (const auto& record : aEvent.mRecords) {
      ApplyJournalRecord(aState, record.mData);
    }
    stream.mNext = std::max(stream.mNext, aEvent.mNext);
  }
  stream.mReachedEnd = stream.mReachedEnd || aEvent.mAtEnd;
  ReadStream(aState, aEvent.mStream, aNow, aActions);
}

void OnLogAppended(State& aState, const LogAppended& aEvent, const Now& aNow, Actions& aActions)
{
  for (auto* append :
       { &aState.mViewAppend, &aState.mConfigurationAppend, &aState.mJournalAppend }) {
    if (append->mToken == 0 || append->mToken != aEvent.mToken) {
      continue;
    }
    append->mToken = 0;
    if (append == &aState.mJournalAppend) {
      OnJournalAppended(aState, aEvent.mOk, aNow);
    }
    if (aEvent.mOk) {
      append->mFailures = 0;
      return;
    }
    const auto doublings = std::min(append->mFailures++, kMaxBackoffDoublings);
    const std::chrono::milliseconds most(kInitialBackoff.count() << doublings);
    append->mNextAt = std::max(append->mNextAt, aNow.mTime + Jitter(aState, most / 2, most));
    aActions.emplace_back(Report{ true, "append_failed", { { "stream", aEvent.mStream } } });
    return;
  }
}

void OnConfigFetch(State& aState,
                   Incarnation aFrom,
                   const message::ConfigFetch& aMessage,
                   Actions& aActions)
{
  const auto own = aState.mConfiguration.mConfiguration->mVersion;
  if (own > aMessage.mCurrentVersion) {
    Send(aState,
         aFrom,
         message::ConfigItems{ own, configuration::SnapshotRecord(aState.mConfiguration) },
         aActions);
  }
}

void OnConfigItems(State& aState,
                   const message::ConfigItems& aMessage,
                   const Now& aNow,
                   Actions& aActions)
{
  if (aMessage.mVersion <= aState.mConfiguration.mConfiguration->mVersion) {
    return;
  }
  configuration::AdoptSnapshot(aState.mConfiguration, aMessage.mSnapshot);
  auto& stream = aState.mStreams[std::string(configuration::kStream)];
  stream.mNext = std::max(stream.mNext, aState.mConfiguration.mNext);
  ApplyConfiguration(aState, aNow, aActions);
}

void DetectPause(State& aState, const Now& aNow, Actions& aActions)
{
  if (aState.mLastEvent) {
    const auto gap = aNow.mTime - aState.mLastEvent->mTime;
    // The monotonic clock of a suspended machine may stand still; the wall clock then jumps.
    const std::chrono::milliseconds wallGap(aNow.mUnixMs - aState.mLastEvent->mUnixMs);
    const auto most = kMaxTickInterval + aState.mOptions.mDriftMargin;
    if (gap > most || wallGap > most) {
      ownership::DropLease(aState.mLease);
      aState.mMinLeaseReadStart = aNow.mTime;
      ++aState.mCounters.mPauses;
      aActions.emplace_back(
        Report{ true,
                "paused",
                { { "ms",
                    std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(gap).count()) } } });
    }
  }
  const auto passed = aState.mLastEvent ? aNow.mTime - aState.mLastEvent->mTime : Duration(0);
  aState.mMonotonicWallUs =
    std::max(aState.mMonotonicWallUs + passed.count(), aNow.mUnixMs * std::int64_t{ 1000 });
  aState.mLastEvent = aNow;
}

void TickControl(State& aState, const Now& aNow, Actions& aActions)
{
  if (aState.mConnected.empty()) {
    for (const auto& seed : aState.mOptions.mSeedAddresses) {
      ConnectTo(aState, seed, aActions);
    }
  }
  ReadStreams(aState, aNow, aActions);
  if (aNow.mTime >= aState.mNextControlTick) {
    aState.mNextControlTick = aNow.mTime + kControlInterval;
    for (const auto& it : membership::Advance(aState.mMembers, aNow)) {
      aActions.emplace_back(Report{ it.mTo == MemberState::Suspect || it.mTo == MemberState::Gone,
                                    "peer_state",
                                    { { "peer", ToString(it.mPeer) },
                                      { "from", std::string(membership::ToString(it.mFrom)) },
                                      { "to", std::string(membership::ToString(it.mTo)) } } });
    }
    if (aState.mPeers.size() > 2 * aState.mMembers.mPeers.size()) {
      std::erase_if(aState.mPeers, [&aState](const auto& aIt) {
        return !aState.mMembers.mPeers.contains(aIt.first) && aIt.second.mForwards.empty();
      });
    }
    ConfirmTentativeView(aState, aNow, aActions);
    AdvanceViews(aState, aNow, aActions);
    UpdateHasSettled(aState, aNow);
    ProposeView(aState, aNow, aActions);
    FetchConfiguration(aState, aNow, aActions);
    RepublishSnapshot(aState, aNow, aActions);
  }
  if (aNow.mTime >= aState.mNextHeartbeat) {
    aState.mNextHeartbeat = aNow.mTime + aState.mOptions.mHeartbeatInterval;
    SendHeartbeats(aState, aNow, aActions);
  }
}

} // namespace pollenwall::node
