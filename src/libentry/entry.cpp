#include <pollenwall/entry.h>

#include <algorithm>

#include <boost/json.hpp>

#include "state.h"

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// A longer gap between events means that the process was not running, so that what it knows
/// about its peers is outdated.
constexpr milliseconds kPauseThreshold{ 300 };
/// A longer gap between ticks, which are due every 25 ms, means that the process has too little
/// processor time. Sending a presence and handling its echo each wait for up to two rounds of the
/// event loop, so with 100 ms a round the echo is about as old as mSilentAfter.
constexpr milliseconds kLateTick{ 100 };
/// After a longer gap, what the entry knows of evacuations may be too old; see HoldAfterPause.
constexpr milliseconds kUnknownAfterPause{ 1000 };
/// After a pause no task starts for this long. Callers that left during the pause are found before
/// the first event, requests that waited in the sockets are read within this time.
constexpr milliseconds kStartHoldTime{ 100 };
/// A drain lasts at least this long, also when no job is left, so that the balancer has detected
/// that this entry is not ready and sends new calls elsewhere.
constexpr milliseconds kMinDrainTime{ 2200 };

/// After a longer pause, cancels may have been acknowledged more than 3 s ago of which this entry
/// was not told, as other entries took it for silent.
constexpr milliseconds kCancelsOutdatedAfter{ 1000 };

constexpr double kMilliCoresPerCore = 1000;

/// Appends the counters of one kind of order by outcome. Outcomes that never occurred are left out.
void AddOrders(std::vector<std::pair<std::string, std::uint64_t>>& aCounters,
               const std::string& aKind,
               const std::array<std::uint64_t, holding::kOrderStatuses>& aCounts)
{
  for (std::size_t n = 0; n < aCounts.size(); ++n) {
    if (aCounts[n] == 0) {
      continue;
    }
    const auto outcome = std::string(ToString(static_cast<holding::OrderStatus>(n)));
    std::string name = "orders_total{order=\"";
    name.append(aKind).append("\",outcome=\"").append(outcome).append("\"}");
    aCounters.emplace_back(std::move(name), aCounts[n]);
  }
}

void Apply(State& aState, const CallerSubmit& aEvent, const Now& aNow, Actions& aActions)
{
  SubmitCall(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CallerDisconnected& aEvent, const Now& aNow, Actions& aActions)
{
  CancelCall(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CallersChecked&, const Now&, Actions&)
{
  RecordCallerCheck(aState);
}

void Apply(State& aState, const CallerLookup& aEvent, const Now& aNow, Actions& aActions)
{
  aEvent.mCancel ? CancelForCaller(aState, aEvent, aNow, aActions)
                 : LookUp(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CancelsRead& aEvent, const Now& aNow, Actions& aActions)
{
  HandleCancelsRead(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CancelsAppended& aEvent, const Now& aNow, Actions& aActions)
{
  HandleCancelsAppended(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const PeerMessage& aEvent, const Now& aNow, Actions& aActions)
{
  if (const auto reason = FindDropReason(aState, aEvent, aNow)) {
    DropMessage(aState, aEvent, *reason, aNow, aActions);
    return;
  }
  if (const auto* presence = std::get_if<message::Presence>(&aEvent.mMessage)) {
    RecordHeard(aState, aEvent.mFrom, *presence, aNow);
    HandlePresence(aState, aEvent.mFrom, *presence, aNow, aActions);
    return;
  }
  if (const auto* entries = std::get_if<message::Entries>(&aEvent.mMessage)) {
    AddEntries(aState, entries->mEntries);
    return;
  }
  const auto peer = aEvent.mIncarnation;
  if (const auto* submit = std::get_if<message::Submit>(&aEvent.mMessage)) {
    RunPeerJob(aState, peer, *submit, aNow, aActions);
  } else if (const auto* reply = std::get_if<message::Reply>(&aEvent.mMessage)) {
    HandleOutcome(aState, reply->mNumber, peer, reply->mAnswer, reply->mError, aNow, aActions);
  } else if (const auto* cancel = std::get_if<message::Cancel>(&aEvent.mMessage)) {
    CancelPeerJob(aState, peer, cancel->mNumber, aNow);
  } else if (const auto* lookup = std::get_if<message::Lookup>(&aEvent.mMessage)) {
    HandleLookup(aState, aEvent.mFrom, *lookup, aNow, aActions);
  } else if (const auto* found = std::get_if<message::LookupReply>(&aEvent.mMessage)) {
    if (!HandleFormerReply(aState, aEvent.mFrom, *found, aNow, aActions)) {
      HandleLookupReply(aState, aEvent.mFrom, *found, aActions);
    }
  } else if (const auto* cancelled = std::get_if<message::CancelledJobs>(&aEvent.mMessage)) {
    cancelled->mNumber == 0 ? HandleCancelledJobs(aState, *cancelled, aNow, aActions)
                            : HandleNewCancels(aState, aEvent.mFrom, *cancelled, aNow, aActions);
  } else if (const auto* told = std::get_if<message::CancelledJobsReply>(&aEvent.mMessage)) {
    HandleCancelledJobsReply(aState, aEvent.mFrom, *told, aNow, aActions);
  } else if (const auto* crashes = std::get_if<message::Crashes>(&aEvent.mMessage)) {
    for (const auto& report : crashes->mReports) {
      if (report.mState < CrashState::Confirmed) {
        holding::AskForProcess(aState.mHolding, report.mUpstream, aNow);
      }
      dispatch::Handle(
        *aState.mDispatch, dispatch::UpstreamCrashed{ report }, aNow, aState.mDispatchActions);
    }
  }
}

void Apply(State& aState, const PeerFrameDropped& aEvent, const Now&, Actions& aActions)
{
  DropFrame(aState, aEvent, aActions);
}

void Apply(State& aState, const PeerConnected& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mPeers.find(aEvent.mAddress);
  if (it == aState.mPeers.end()) {
    return;
  }
  it->second.mConnectedAt = aNow.mTime;
  SendPresenceTo(aState, it->second, aNow, aActions);
  SendCancelledJobs(aState, aEvent.mAddress, aNow, aActions);
  ResendCalls(aState, it->second, aNow, aActions);
}

void Apply(State& aState, const EntriesListed& aEvent, const Now&, Actions&)
{
  ApplyEntries(aState, aEvent);
}

void Apply(State& aState, const UpstreamsListed& aEvent, const Now& aNow, Actions&)
{
  ApplyUpstreams(aState, aEvent, aNow);
}

void Apply(State& aState, const ConfigurationListed& aEvent, const Now& aNow, Actions& aActions)
{
  const auto& configuration = aEvent.mConfiguration;
  if (aState.mConfiguration && configuration.mVersion <= aState.mConfiguration->mVersion) {
    return; // Older or repeated; the configuration never goes back to an older version.
  }
  aState.mConfiguration = configuration;
  AddReport(
    aActions, "configuration_in_force", { { "version", std::to_string(configuration.mVersion) } });
  Reconfigure(aState, aNow);
}

void Apply(State& aState, const EvacuationListed& aEvent, const Now& aNow, Actions& aActions)
{
  ApplyEvacuation(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const holding::StartAnswered& aEvent, const Now& aNow, Actions&)
{
  ++aState.mCounts.mStarts.at(static_cast<std::size_t>(aEvent.mStatus));
  holding::Handle(aState.mHolding, aEvent, aNow, aState.mHoldingActions);
}

void Apply(State& aState, const holding::StopAnswered& aEvent, const Now& aNow, Actions&)
{
  ++aState.mCounts.mStops.at(static_cast<std::size_t>(aEvent.mStatus));
  holding::Handle(aState.mHolding, aEvent, aNow, aState.mHoldingActions);
}

void Apply(State& aState, const holding::PollAnswered& aEvent, const Now& aNow, Actions&)
{
  ++aState.mCounts.mPolls.at(static_cast<std::size_t>(aEvent.mStatus));
  holding::Handle(aState.mHolding, aEvent, aNow, aState.mHoldingActions);
  if (aEvent.mStatus == holding::OrderStatus::Done) {
    RecordAcceptedToken(aState, aEvent.mUpstream);
  }
}

void Apply(State& aState, const Drain&, const Now& aNow, Actions& aActions)
{
  if (aState.mDraining) {
    return;
  }
  aState.mDraining = true;
  aState.mDrainBegan = aNow.mTime;
  aState.mPresenceDue = true;
  aState.mNextClaims = aNow.mTime;
  AddReport(aActions, "drain_began", { { "calls", std::to_string(aState.mCalls.size()) } });
  ReturnUnstartedJobs(aState, aNow, aActions);
}

void AdvanceDrain(State& aState, const Now& aNow, Actions& aActions)
{
  if (!aState.mDraining || aState.mStopped) {
    return;
  }
  const auto passed = aNow.mTime - aState.mDrainBegan;
  const bool done = aState.mCalls.empty() && aState.mOrigins.empty() &&
                    aState.mHolding.mSessions.empty() && passed >= kMinDrainTime;
  if (done || passed >= aState.mOptions.mDrainLimit) {
    aState.mStopped = true;
    FailAllCalls(aState, aActions);
    EndAllLookups(aState, aActions);
    EndAllCancels(aState, aNow, aActions);
    aActions.emplace_back(Stopped{});
  }
}

/// Stops the jobs of owners that are silent. The stops are handed to the holds at once, since a
/// hold with an unconfirmed stop renews no lease.
void StopJobsOfLostOwners(State& aState, const Now& aNow, Actions& aActions)
{
  aState.mOwnersCheckedAt = aNow.mTime;
  CancelJobsOfLostOwners(aState, aNow, aActions);
  ProcessPendingActions(aState, aNow, aActions);
}

/// Detects that events are handled late. The silence of peers is then no reason to claim what they
/// hold: a claim would fence live holders.
void DetectLateTick(State& aState, const Now& aNow)
{
  if (aState.mLastTick && aNow.mTime - *aState.mLastTick > kLateTick) {
    aState.mLateUntil = aNow.mTime + Duration(aState.mOptions.mSilentAfter);
  }
  aState.mLastTick = aNow.mTime;
}

void Apply(State& aState, const Tick&, const Now& aNow, Actions& aActions)
{
  StopJobsOfLostOwners(aState, aNow, aActions);
  DetectLateTick(aState, aNow);
  dispatch::Handle(*aState.mDispatch, dispatch::Tick{}, aNow, aState.mDispatchActions);
  holding::Advance(aState.mHolding, aNow, aState.mHoldingActions);
  DropMissingUpstreams(aState, aNow);
  DropOldReplies(aState, aNow);
  WatchPeers(aState, aNow, aActions);
  UpdateNeighbours(aState, aNow, aActions);
  UpdateClaims(aState, aNow, aActions);
  AdvanceEvacuation(aState, aNow, aActions);
  ProcessPendingActions(aState, aNow, aActions);
  AdvanceCalls(aState, aNow, aActions);
  AdvanceLookups(aState, aNow, aActions);
  AdvanceCancels(aState, aNow, aActions);
  SendPresences(aState, aNow, aActions);
  AdvanceDrain(aState, aNow, aActions);
}

/// Detects a pause of the process. A caller of this entry that has left may have submitted its job
/// elsewhere after mRunsOverAfter, so no task is started until it is known which callers have left.
void DetectPause(State& aState, const Now& aNow, Actions& aActions)
{
  const auto gap = aNow.mTime - aState.mLastEvent;
  aState.mLastEvent = aNow.mTime;
  if (gap <= kPauseThreshold) {
    return;
  }
  AddReport(aActions,
            "pause_noticed",
            { { "ms", std::to_string(gap / Duration(milliseconds{ 1 })) } },
            true);
  aState.mClaimsNotBefore = aNow.mTime + Duration(aState.mOptions.mSilentAfter);
  if (gap > kUnknownAfterPause) {
    aState.mEvacuation.mPauseEnd = aNow.mTime;
  }
  if (gap >= kCancelsOutdatedAfter) {
    ForgetCancelsRead(aState, aNow);
  }
  if (gap + Duration(kStartHoldTime) >= Duration(aState.mOptions.mRunsOverAfter)) {
    dispatch::Handle(*aState.mDispatch,
                     dispatch::HoldStarts{ aNow.mTime + Duration(kStartHoldTime) },
                     aNow,
                     aState.mDispatchActions);
  }
}

} // namespace

void AddReport(Actions& aActions, std::string aEvent, Fields aFields, bool aWarning)
{
  aActions.emplace_back(Report{ std::move(aEvent), aWarning, std::move(aFields) });
}

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& aNow)
{
  auto options = aOptions;
  options.mDispatch.mDataCentre = aOptions.mDataCentre;
  options.mDispatch.mExclusiveUpstreams = true;
  options.mDispatch.mTaskAnswers = false; // Callers are told only how their job ended.
  options.mHolding.mTokenSalt = static_cast<std::uint16_t>(aOptions.mIncarnation.mValue);
  auto state = std::unique_ptr<State, void (*)(State*)>(
    new State{ .mOptions = options,
               .mRandom = std::mt19937_64(aOptions.mSeed),
               .mDispatch = dispatch::MakeState(options.mDispatch, aOptions.mSeed + 1) },
    [](State* aState) { delete aState; });
  state->mHolding.mOptions = options.mHolding;
  state->mStarted = aNow.mTime;
  state->mLastEvent = aNow.mTime;
  state->mClaimsNotBefore = aNow.mTime + Duration(options.mSilentAfter);
  state->mCancels.mUnknownSince = aNow.mTime;
  state->mCancels.mAnyEntryHeardAt = aNow.mTime;
  state->mCancels.mOtherDataCentreHeardAt = aNow.mTime;
  AddEntries(*state,
             { { options.mName,
                 options.mPeerAddress,
                 options.mDataCentre,
                 options.mProcessorShare,
                 options.mLinkMbps } });
  return state;
}

void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions)
{
  DetectPause(aState, aNow, aActions);
  HoldAfterPause(aState, aNow);
  if (aNow.mTime - aState.mOwnersCheckedAt > kOwnerCheckInterval) {
    StopJobsOfLostOwners(aState, aNow, aActions);
  }
  // Before the event, which may be the first presence of another process at a peer's address.
  AddressMessages(aState, aActions);
  if (!aState.mCancels.mKnown) {
    FollowCancels(aState, aNow, aActions);
  }
  std::visit([&](const auto& aKind) { Apply(aState, aKind, aNow, aActions); }, aEvent);
  ReturnEvacuatedJobs(aState, aNow, aActions);
  ProcessPendingActions(aState, aNow, aActions);
  AddressMessages(aState, aActions);
}

bool IsReady(const State& aState, const Now& aNow)
{
  if (aState.mDraining || !aState.mConfiguration || MayLackCancels(aState, aNow)) {
    return false;
  }
  // While all data centres are evacuated, callers are told so.
  const auto& services = aState.mConfiguration->mServices;
  if (!LoadsOf(aState).empty() ||
      std::any_of(services.begin(), services.end(), [&aState](const auto& aService) {
        return IsEvacuatedEverywhere(aState, aService.first);
      })) {
    return true;
  }
  return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [&](const auto& aPeer) {
    return IsAlive(aState, aPeer.second, aNow) && !aPeer.second.mPresence.mLoads.empty();
  });
}

bool HasConfiguration(const State& aState)
{
  return aState.mConfiguration.has_value();
}

std::size_t WaitingJobs(const State& aState, std::string_view aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mCalls.begin(), aState.mCalls.end(), [aKind](const auto& aCall) {
      return aCall.second.mJob.mKind == aKind && !aCall.second.mHolder;
    }));
}

std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState)
{
  auto counters = dispatch::Counters(*aState.mDispatch);
  const auto& counts = aState.mCounts;
  counters.emplace_back("calls_total", counts.mCalls);
  counters.emplace_back("calls_forwarded_total", counts.mForwarded);
  counters.emplace_back("calls_resubmitted_total", counts.mResubmitted);
  counters.emplace_back("calls_refused_total", counts.mRefused);
  counters.emplace_back("owners_lost_total", counts.mOwnersLost);
  counters.emplace_back("upstream_claims_total", counts.mClaims);
  counters.emplace_back("upstream_holds_lost_total", counts.mHoldsLost);
  counters.emplace_back("upstream_looks_lost_total", counts.mPollsLost);
  counters.emplace_back("upstreams_crashed_total{evidence=\"connection_refused\"}",
                        counts.mUpstreamsRefusing);
  counters.emplace_back("upstreams_crashed_total{evidence=\"other_process\"}",
                        counts.mUpstreamsReplaced);
  counters.emplace_back("starts_unanswered_total", counts.mStartsUnanswered);
  counters.emplace_back("starts_repeated_total", counts.mStartsRepeated);
  counters.emplace_back("presences_total{direction=\"out\"}", counts.mPresencesSent);
  counters.emplace_back("presences_total{direction=\"in\"}", counts.mPresencesReceived);
  counters.emplace_back("lookups_total", counts.mLookups);
  counters.emplace_back("lookups_relayed_total", counts.mLookupsRelayed);
  counters.emplace_back("lookups_limited_total", counts.mLookupsLimited);
  counters.emplace_back("false_refusals_total", counts.mFalseRefusals);
  const auto& evacuation = aState.mEvacuation;
  counters.emplace_back("starts_withheld_total{reason=\"evacuation\"}", evacuation.mStartsWithheld);
  counters.emplace_back("evacuations_ignored_total{reason=\"unknown_data_centre\"}",
                        evacuation.mIgnored);
  counters.emplace_back("evacuations_ignored_total{reason=\"presence\"}",
                        evacuation.mIgnoredFromPeer);
  for (std::size_t n = 0; n < counts.mCancels.size(); ++n) {
    const auto outcome = std::string(ToString(static_cast<CancelOutcome>(n)));
    counters.emplace_back("cancels_total{outcome=\"" + outcome + "\"}", counts.mCancels[n]);
  }
  for (std::size_t n = 0; n < counts.mCancelAppends.size(); ++n) {
    const auto outcome = std::string(ToString(static_cast<CancelCallOutcome>(n)));
    counters.emplace_back("cancel_appends_total{outcome=\"" + outcome + "\"}",
                          counts.mCancelAppends[n]);
  }
  for (std::size_t n = 0; n < counts.mRunEnds.size(); ++n) {
    const auto evidence = std::string(ToString(static_cast<holding::EndEvidence>(n)));
    counters.emplace_back("run_ends_total{evidence=\"" + evidence + "\"}", counts.mRunEnds[n]);
  }
  for (std::size_t n = 0; n < counts.mDropped.size(); ++n) {
    const auto reason = std::string(ToString(static_cast<DropReason>(n)));
    counters.emplace_back("peer_messages_dropped_total{reason=\"" + reason + "\"}",
                          counts.mDropped[n]);
  }
  AddOrders(counters, "start", counts.mStarts);
  AddOrders(counters, "stop", counts.mStops);
  AddOrders(counters, "look", counts.mPolls);
  return counters;
}

std::vector<std::pair<std::string, double>> Gauges(const State& aState, const Now& aNow)
{
  const auto count = [](const auto& aRange, const auto& aPredicate) {
    return static_cast<double>(std::count_if(aRange.begin(), aRange.end(), aPredicate));
  };
  const auto loads = dispatch::UpstreamLoads(*aState.mDispatch);
  std::vector<std::pair<std::string, double>> gauges{
    { "upstreams{state=\"listed\"}", static_cast<double>(aState.mUpstreams.size()) },
    { "upstreams{state=\"missing\"}",
      count(aState.mUpstreams,
            [](const auto& aIt) { return aIt.second.mMissingSince.has_value(); }) },
    { "upstreams{state=\"leaving\"}",
      count(aState.mUpstreams, [](const auto& aIt) { return aIt.second.mRecord.mLeaving; }) },
    { "upstreams{state=\"held\"}", static_cast<double>(aState.mHolding.mSessions.size()) },
    { "upstreams{state=\"usable\"}", count(loads, [](const auto& aIt) { return aIt.mUsable; }) },
    { "upstreams{state=\"unhealthy\"}",
      static_cast<double>(dispatch::UnhealthyUpstreams(*aState.mDispatch).size()) },
    { "entries_known", static_cast<double>(aState.mEntries.size()) },
    { "candidate", aState.mCandidate ? 1.0 : 0.0 },
    { "peers{state=\"known\"}", static_cast<double>(aState.mPeers.size()) },
    { "peers{state=\"living\"}",
      count(aState.mPeers, [&](const auto& aIt) { return IsPresent(aState, aIt.second, aNow); }) },
    { "calls_open", static_cast<double>(aState.mCalls.size()) },
    { "tasks_queued", static_cast<double>(dispatch::QueuedTasks(*aState.mDispatch)) },
    { "configuration_version",
      aState.mConfiguration ? static_cast<double>(aState.mConfiguration->mVersion) : 0 },
  };
  for (const auto& name : aState.mEvacuation.mDataCentres) {
    gauges.emplace_back("evacuated{data_centre=\"" + name + "\"}", 1);
  }
  for (const auto& load : LoadsOf(aState)) {
    const auto label = "{service=\"" + load.mService + "\"}";
    gauges.emplace_back("room_cores" + label,
                        static_cast<double>(load.mMilliCores) / kMilliCoresPerCore);
    gauges.emplace_back("free_cores" + label,
                        static_cast<double>(load.mFreeMilliCores) / kMilliCoresPerCore);
    gauges.emplace_back("queued_cores" + label,
                        static_cast<double>(load.mQueuedMilliCores) / kMilliCoresPerCore);
    gauges.emplace_back("shortage" + label,
                        dispatch::IsShort(*aState.mDispatch, load.mService) ? 1.0 : 0.0);
  }
  return gauges;
}

std::string Dump(const State& aState, const Now& aNow)
{
  namespace json = boost::json;
  json::array peers;
  for (const auto& [address, peer] : aState.mPeers) {
    peers.push_back(json::object{ { "address", address },
                                  { "name", peer.mRecord.mName },
                                  { "living", IsPresent(aState, peer, aNow) },
                                  { "interval_ms", PresenceIntervalTo(aState, peer, aNow).count() },
                                  { "candidate", peer.mPresence.mCandidate },
                                  { "held", peer.mHeldUpstreams.mHashes.size() } });
  }
  json::array holds;
  for (const auto& [key, session] : aState.mHolding.mSessions) {
    holds.push_back(json::object{ { "upstream", key },
                                  { "phase", static_cast<int>(session.mPhase) },
                                  { "token", session.mToken },
                                  { "runs", session.mRuns.size() },
                                  { "releasing", session.mReleasing } });
  }
  json::object dump{ { "name", aState.mOptions.mName },
                     { "incarnation", ToString(aState.mOptions.mIncarnation) },
                     { "draining", aState.mDraining },
                     { "candidate", aState.mCandidate },
                     { "calls", aState.mCalls.size() },
                     { "origins", aState.mOrigins.size() },
                     { "upstreams", aState.mUpstreams.size() },
                     { "peers", std::move(peers) },
                     { "holds", std::move(holds) },
                     { "dispatch", json::parse(dispatch::Dump(*aState.mDispatch, aNow)) } };
  return json::serialize(dump);
}

} // namespace pollenwall::entry
