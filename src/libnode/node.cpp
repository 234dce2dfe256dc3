#include <pollenwall/node.h>

#include <algorithm>
#include <cmath>

#include <boost/json.hpp>

#include "state.h"

namespace pollenwall::node {
namespace {

/// Whether a message number is new. A repeated submission, credit request or handover would change
/// the state again, so duplicates are dropped.
bool IsNew(ReplayWindow& aWindow, std::uint64_t aNumber)
{
  constexpr auto kSize = ReplayWindow::kSize;
  if (aNumber + kSize <= aWindow.mHighest) {
    return false;
  }
  if (aNumber > aWindow.mHighest) {
    if (aNumber - aWindow.mHighest >= kSize) {
      std::fill(aWindow.mSeen.begin(), aWindow.mSeen.end(), false);
    } else {
      for (auto n = aWindow.mHighest + 1; n <= aNumber; ++n) {
        aWindow.mSeen[n % kSize] = false;
      }
    }
    aWindow.mHighest = aNumber;
  }
  if (aWindow.mSeen[aNumber % kSize]) {
    return false;
  }
  aWindow.mSeen[aNumber % kSize] = true;
  return true;
}

bool IsNewFrom(State& aState, Incarnation aFrom, std::uint64_t aNumber)
{
  const bool isNew = IsNew(aState.mPeers[aFrom].mReceivedNumbers, aNumber);
  aState.mCounters.mDuplicateMessages += isNew ? 0 : 1;
  return isNew;
}

void ExecuteAction(State& aState, dispatch::Accepted& aAction, const Now& aNow, Actions& aActions)
{
  TrackAcceptedJob(aState, aAction.mId, aNow);
  OnJobAccepted(aState, aAction, aActions);
}

void ExecuteAction(State& aState, dispatch::Answer& aAction, const Now& /*aNow*/, Actions& aActions)
{
  OnJobAnswered(aState, aAction, aActions);
}

void ExecuteAction(State& aState, dispatch::Refuse& aAction, const Now& aNow, Actions& aActions)
{
  OnJobRefused(aState, aAction, aNow, aActions);
}

void ExecuteAction(State& /*aState*/,
                   dispatch::StartTask& aAction,
                   const Now& /*aNow*/,
                   Actions& aActions)
{
  aActions.emplace_back(std::move(aAction));
}

void ExecuteAction(State& /*aState*/,
                   dispatch::StopTask& aAction,
                   const Now& /*aNow*/,
                   Actions& aActions)
{
  aActions.emplace_back(std::move(aAction));
}

void ExecuteAction(State& aState,
                   dispatch::Finished& aAction,
                   const Now& aNow,
                   Actions& /*aActions*/)
{
  JournalFinishedJob(aState, aAction, aNow);
}

void ExecuteAction(State& /*aState*/,
                   dispatch::ShortageChanged& aAction,
                   const Now& /*aNow*/,
                   Actions& aActions)
{
  aActions.emplace_back(
    Report{ false,
            aAction.mShort ? "shortage_began" : "shortage_ended",
            { { "service", aAction.mService },
              { "demand", std::to_string(std::llround(aAction.mDemand)) },
              { "capacity", std::to_string(std::llround(aAction.mCapacity)) } } });
}

// Peer messages.

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::Hello& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
  // The shell exchanges Hello messages and reports PeerUp.
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Heartbeat& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnHeartbeat(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             message::Submit& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  if (IsNewFrom(aState, aFrom, aMessage.mNumber)) {
    OnSubmit(aState, aFrom, aMessage, aNow, aActions);
  }
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Status& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnStatus(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Cancel& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnCancel(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Reply& aMessage,
             const Now& /*aNow*/,
             Actions& aActions)
{
  OnReply(aState, aFrom, aMessage, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Borrow& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  if (IsNewFrom(aState, aFrom, aMessage.mNumber)) {
    OnBorrow(aState, aFrom, aMessage, aNow, aActions);
  }
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Grant& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnGrant(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::ReturnCredits& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnReturnCredits(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::Handover& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  if (IsNewFrom(aState, aFrom, aMessage.mNumber)) {
    OnHandover(aState, aFrom, aMessage, aNow, aActions);
  }
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::HandoverReply& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnHandoverReply(aState, aFrom, aMessage, aNow, aActions);
}

void Receive(State& aState,
             Incarnation aFrom,
             const message::ConfigFetch& aMessage,
             const Now& /*aNow*/,
             Actions& aActions)
{
  OnConfigFetch(aState, aFrom, aMessage, aActions);
}

void Receive(State& aState,
             Incarnation /*aFrom*/,
             const message::ConfigItems& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  OnConfigItems(aState, aMessage, aNow, aActions);
}

/// Ignored, like Entries and Crashes: only entries that work with fencing tokens send them.
void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::Presence& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::Entries& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::Crashes& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::Lookup& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::LookupReply& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::CancelledJobs& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

void Receive(State& /*aState*/,
             Incarnation /*aFrom*/,
             const message::CancelledJobsReply& /*aMessage*/,
             const Now& /*aNow*/,
             Actions& /*aActions*/)
{
}

// Events.

void Apply(State& aState, CallerSubmit& aEvent, const Now& aNow, Actions& aActions)
{
  const auto service = aEvent.mJob.mService;
  OnCallerSubmit(aState, aEvent, aNow, aActions);
  RequestCredits(aState, service, aNow, aActions);
}

void Apply(State& aState, const CallerStatus& aEvent, const Now& aNow, Actions& aActions)
{
  OnCallerStatus(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions)
{
  OnCallerCancel(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const CallerDisconnected& aEvent, const Now& aNow, Actions& aActions)
{
  OnCallerDisconnected(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const UpstreamAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  RecordLeavingRefusal(aState, aEvent, aNow);
  Dispatch(aState,
           dispatch::TaskEnded{ aEvent.mTask, aEvent.mAttempt, aEvent.mUpstream, aEvent.mOutcome },
           aNow,
           aActions);
  ReturnCreditsAfterTask(aState, aEvent.mUpstream, aActions);
}

void Apply(State& aState, const SlotsAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  OnSlotsAnswered(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const PeerUp& aEvent, const Now& aNow, Actions& aActions)
{
  OnPeerUp(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const PeerDown& aEvent, const Now& aNow, Actions& aActions)
{
  OnPeerDown(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, PeerMessage& aEvent, const Now& aNow, Actions& aActions)
{
  std::visit([&](auto& aMessage) { Receive(aState, aEvent.mFrom, aMessage, aNow, aActions); },
             aEvent.mMessage);
}

void Apply(State& aState, const LogRead& aEvent, const Now& aNow, Actions& aActions)
{
  OnLogRead(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const LogAppended& aEvent, const Now& aNow, Actions& aActions)
{
  OnLogAppended(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const VmList& aEvent, const Now& aNow, Actions& aActions)
{
  OnVmList(aState, aEvent, aNow, aActions);
}

void Apply(State& aState, const Drain& /*aEvent*/, const Now& aNow, Actions& aActions)
{
  OnDrain(aState, aNow, aActions);
}

void Apply(State& aState, const Tick& /*aEvent*/, const Now& aNow, Actions& aActions)
{
  TickControl(aState, aNow, aActions);
  TickSlots(aState, aNow, aActions);
  TickQuota(aState, aNow, aActions);
  Dispatch(aState, dispatch::Tick{}, aNow, aActions);
  RunTimers(aState, aNow, aActions);
  TickJournal(aState, aNow, aActions);
  TickHandover(aState, aNow, aActions);
}

bool IsMember(const State& aState)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  return view != nullptr && ownership::Contains(view->mMembers, aState.mOptions.mIncarnation);
}

bool IsLogDown(const State& aState)
{
  return std::any_of(aState.mStreams.begin(), aState.mStreams.end(), [](const auto& aStream) {
    return aStream.second.mFailures > 1;
  });
}

/// Data centres in which no entry can be reached.
boost::json::array UnreachableDataCentres(const State& aState)
{
  std::set<std::string_view> reached{ aState.mOptions.mDataCentre };
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mLinkUp) {
      reached.insert(peer.mDataCentre);
    }
  }
  boost::json::array names;
  for (const auto& [name, dataCentre] : aState.mConfiguration.mConfiguration->mDataCentres) {
    if (!reached.contains(name)) {
      names.emplace_back(name);
    }
  }
  return names;
}

std::int64_t MillisecondsUntil(Time aTime, const Now& aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime - aNow.mTime).count();
}

boost::json::object StatusObject(const State& aState, const Now& aNow)
{
  boost::json::array peers;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    boost::json::object it{ { "incarnation", ToString(incarnation) },
                            { "name", peer.mName },
                            { "data_centre", peer.mDataCentre },
                            { "address", peer.mAddress },
                            { "state", membership::ToString(peer.mState) },
                            { "link", peer.mLinkUp },
                            { "configuration_version", peer.mConfigurationVersion } };
    if (peer.mLastHeartbeat) {
      it["heard_ms_ago"] = -MillisecondsUntil(*peer.mLastHeartbeat, aNow);
    }
    peers.push_back(std::move(it));
  }
  boost::json::object view{ { "version", aState.mViews.mVersion },
                            { "sealed", aState.mViews.mSealed },
                            { "member", IsMember(aState) } };
  if (const auto* current = ownership::CurrentView(aState.mViews)) {
    boost::json::array members;
    for (const auto& it : current->mMembers) {
      members.emplace_back(ToString(it.mIncarnation));
    }
    view["members"] = std::move(members);
    view["witnesses"] = current->mWitnesses.size();
    const auto& read = aState.mViews.mViews.at(aState.mViews.mVersion);
    view["settled"] = read.mSettled.has_value();
  }
  const bool holds = ownership::HoldsLease(aState.mLease, aNow);
  boost::json::object lease{ { "held", holds }, { "version", aState.mLease.mVersion } };
  if (holds) {
    lease["expires_in_ms"] = MillisecondsUntil(aState.mLease.mExpires, aNow);
  }
  return { { "name", aState.mOptions.mName },
           { "incarnation", ToString(aState.mOptions.mIncarnation) },
           { "data_centre", aState.mOptions.mDataCentre },
           { "ready", IsReady(aState) },
           { "stopping", aState.mDrainStarted.has_value() },
           { "configuration_version", aState.mAppliedVersion },
           { "log_reachable", !IsLogDown(aState) },
           { "cut_off_from", UnreachableDataCentres(aState) },
           { "view", std::move(view) },
           { "lease", std::move(lease) },
           { "peers", std::move(peers) } };
}

} // namespace

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  return Error{ aCode, aVerdict, std::move(aMessage), std::nullopt };
}

void Dispatch(State& aState, const dispatch::Event& aEvent, const Now& aNow, Actions& aActions)
{
  auto actions = std::move(aState.mDispatchActions);
  actions.clear();
  dispatch::Handle(*aState.mDispatch, aEvent, aNow, actions);
  for (auto& it : actions) {
    std::visit([&](auto& aAction) { ExecuteAction(aState, aAction, aNow, aActions); }, it);
  }
  aState.mDispatchActions = std::move(actions);
}

bool IsLinkUp(const State& aState, Incarnation aPeer)
{
  const auto* peer = membership::FindPeer(aState.mMembers, aPeer);
  return peer != nullptr && peer->mLinkUp;
}

bool Send(State& aState, Incarnation aTo, message::Message aMessage, Actions& aActions)
{
  if (!IsLinkUp(aState, aTo)) {
    return false;
  }
  aActions.emplace_back(SendPeer{ aTo, std::move(aMessage) });
  return true;
}

std::chrono::milliseconds Jitter(State& aState,
                                 std::chrono::milliseconds aMin,
                                 std::chrono::milliseconds aMax)
{
  std::uniform_int_distribution<std::int64_t> distribution(aMin.count(), aMax.count());
  return std::chrono::milliseconds(distribution(aState.mRandom));
}

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& aNow)
{
  auto options = aOptions.mDispatch;
  options.mDataCentre = aOptions.mDataCentre;
  auto* state = new State{ .mOptions = aOptions,
                           .mRandom = std::mt19937_64(aOptions.mSeed),
                           .mDispatch = dispatch::MakeState(options, aOptions.mSeed + 1),
                           .mStarted = aNow.mTime };
  state->mMembers.mOptions.mSuspectAfter = aOptions.mSuspectAfter;
  state->mMembers.mDataCentre = aOptions.mDataCentre;
  state->mMembers.mLatest[aOptions.mPeerAddress] = aOptions.mIncarnation;
  state->mViews.mOptions = { aOptions.mLease, aOptions.mDriftMargin };
  return { state, [](State* aState) { delete aState; } };
}

void Handle(State& aState, Event&& aEvent, const Now& aNow, Actions& aActions)
{
  DetectPause(aState, aNow, aActions);
  std::visit([&](auto& aKind) { Apply(aState, aKind, aNow, aActions); }, aEvent);
}

void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions)
{
  Handle(aState, Event(aEvent), aNow, aActions);
}

bool IsReady(const State& aState)
{
  if (aState.mAppliedVersion == 0 || aState.mDrainStarted) {
    return false;
  }
  // While the log is down an entry cannot join the view; it serves with borrowed slots.
  const bool hasPeer = std::any_of(aState.mMembers.mPeers.begin(),
                                   aState.mMembers.mPeers.end(),
                                   [](const auto& aPeer) { return aPeer.second.mLinkUp; });
  return (IsMember(aState) && aState.mHasSettled) || (IsLogDown(aState) && hasPeer);
}

dispatch::UpstreamAddress AddressOf(const State& aState, dispatch::UpstreamIndex aUpstream)
{
  return dispatch::AddressOf(*aState.mDispatch, aUpstream);
}

std::optional<std::string> ConfigurationSnapshot(const State& aState)
{
  if (aState.mAppliedVersion == 0) {
    return std::nullopt;
  }
  return configuration::SnapshotRecord(aState.mConfiguration);
}

std::string StatusText(const State& aState, const Now& aNow)
{
  return boost::json::serialize(StatusObject(aState, aNow));
}

std::string Dump(const State& aState, const Now& aNow)
{
  boost::json::array slots;
  for (const auto& [key, it] : aState.mSlots) {
    slots.push_back(boost::json::object{ { "upstream", key },
                                         { "total", it.mTotal },
                                         { "share", it.mShare },
                                         { "held_back", it.mHeldBack },
                                         { "lent", it.mLent },
                                         { "borrowed", it.mBorrowed },
                                         { "credits", it.mCredits } });
  }
  const boost::json::object node{ { "status", StatusObject(aState, aNow) },
                                  { "waiters", aState.mWaiters.size() },
                                  { "forwards", aState.mForwards.size() },
                                  { "refusals", aState.mRefusals.size() },
                                  { "loans_lent", aState.mLentLoans.size() },
                                  { "loans_borrowed", aState.mBorrowedLoans.size() },
                                  { "journal_buffer", aState.mJournalBuffer.size() },
                                  { "knowledge", aState.mRemoteSubmissions.size() },
                                  { "slots", std::move(slots) } };
  return R"({"node":)" + boost::json::serialize(node) + R"(,"dispatch":)" +
         dispatch::Dump(*aState.mDispatch, aNow) + "}";
}

std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState)
{
  auto counters = dispatch::Counters(*aState.mDispatch);
  const auto& c = aState.mCounters;
  counters.insert(counters.end(),
                  { { "requests_forwarded_total", c.mForwarded },
                    { "late_replies_total", c.mLateReplies },
                    { "duplicate_messages_total", c.mDuplicateMessages },
                    { "repeated_refusals_total", c.mRepeatedRefusals },
                    { "pauses_total", c.mPauses },
                    { "views_proposed_total", c.mViewsProposed },
                    { "heartbeats_sent_total", c.mHeartbeatsSent },
                    { "borrow_requests_total", c.mBorrowRequests },
                    { "credits_borrowed_total", c.mCreditsBorrowed },
                    { "credits_lent_total", c.mCreditsLent },
                    { "slot_queries_total", c.mSlotQueries },
                    { "journal_entries_total", c.mJournalEntries },
                    { "journal_dropped_total", c.mJournalDropped },
                    { "jobs_handed_over_total", c.mHandedOver },
                    { "jobs_taken_over_total", c.mTakenOver } });
  return counters;
}

std::vector<std::pair<std::string, double>> Gauges(const State& aState)
{
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  return { { "queued_tasks", static_cast<double>(load.mQueuedTasks) },
           { "running_tasks", static_cast<double>(load.mRunningTasks) },
           { "idle_credits", static_cast<double>(load.mIdleCredits) },
           { "configuration_version", static_cast<double>(aState.mAppliedVersion) },
           { "view_version", static_cast<double>(aState.mViews.mVersion) },
           { "view_member", IsMember(aState) ? 1.0 : 0.0 },
           { "journal_buffer_records", static_cast<double>(aState.mJournalBuffer.size()) } };
}

} // namespace pollenwall::node
