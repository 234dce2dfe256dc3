#include <algorithm>
#include <array>
#include <cmath>

#include <pollenwall/hash.h>

#include "state.h"

// The holder's part: the upstreams that this entry holds and the jobs that it runs on them.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Time for which a cancelled call is remembered: the longest expected delay of a submission on a
/// connection.
constexpr milliseconds kCancelledRetention{ 10000 };
/// The same for replies.
constexpr milliseconds kReplyRetention{ 10000 };
/// Retry-after time of a refused submission; earlier runs of the job may still be stopping.
constexpr milliseconds kRefusalRetryAfter{ 100 };

std::string KeyOf(const UpstreamRecord& aRecord)
{
  return configuration::UpstreamKey(aRecord.mService, aRecord.mId);
}

/// Whether two records with the same id are of one process, as far as they show it.
bool NamesSameProcess(const UpstreamRecord& aOne, const UpstreamRecord& aOther)
{
  return aOne.mAddress == aOther.mAddress && aOne.mPort == aOther.mPort &&
         aOne.mBornMs == aOther.mBornMs;
}

/// Returns nothing for an upstream that is no longer known; orders for it are dropped.
std::optional<Destination> DestinationOf(const State& aState, std::string_view aUpstream)
{
  const auto it = aState.mUpstreams.find(aUpstream);
  if (it == aState.mUpstreams.end()) {
    return std::nullopt;
  }
  const auto& record = it->second.mRecord;
  return Destination{ record.mId, record.mAddress + ":" + std::to_string(record.mPort) };
}

// Jobs.

/// Sends the reply to a peer's call and keeps it for copies of the submission.
void ReplyToPeer(State& aState,
                 Incarnation aPeer,
                 message::Reply aReply,
                 const Now& aNow,
                 Actions& aActions)
{
  if (const auto* peer = FindPeer(aState, aPeer)) {
    aActions.emplace_back(SendPeer{ peer->mAddress, aReply });
  }
  const std::pair key{ aPeer, aReply.mNumber };
  if (aState.mReplies.insert_or_assign(key, std::move(aReply)).second) {
    aState.mReplyExpiry.emplace_back(aNow.mTime + Duration(kReplyRetention), key);
  }
}

/// Tells a peer that its submission is refused or has been cancelled.
void RefuseSubmission(State& aState,
                      Incarnation aPeer,
                      CallNumber aNumber,
                      Error aError,
                      const Now& aNow,
                      Actions& aActions)
{
  ReplyToPeer(aState, aPeer, { aNumber, std::nullopt, std::move(aError) }, aNow, aActions);
}

void AddStart(const State& aState, holding::SendStart aOrder, Actions& aActions)
{
  if (auto to = DestinationOf(aState, aOrder.mUpstream)) {
    aActions.emplace_back(StartRun{ std::move(*to), std::move(aOrder) });
  }
}

/// Sets the fields of a load that owners need in a shortage. They take some bytes of each presence.
void AddFits(const State& aState, message::ServiceLoad& aLoad)
{
  if (!aState.mOptions.mDispatch.mShortageShares) {
    return;
  }
  const auto dropZeros = [](std::vector<std::uint32_t>& aValues) {
    while (!aValues.empty() && aValues.back() == 0) {
      aValues.pop_back();
    }
  };
  const auto fits = dispatch::FitsBySize(*aState.mDispatch, aLoad.mService);
  aLoad.mFits.assign(fits.begin(), fits.end());
  dropZeros(aLoad.mFits);
  for (const auto wait : dispatch::WaitsBySize(*aState.mDispatch, aLoad.mService)) {
    const bool fitsNow = aLoad.mWaitsMs.size() < aLoad.mFits.size();
    aLoad.mWaitsMs.push_back(fitsNow ? 0 : static_cast<std::uint32_t>(wait.count()));
  }
  dropZeros(aLoad.mWaitsMs);
  if (aLoad.mFits.empty()) {
    aLoad.mFits.push_back(0); // Empty would mean that it is not known.
  }
}

/// The histogram of the waits of tasks of this size, by placement::kSizeScale.
std::string_view WaitSeriesOf(std::uint32_t aMilliCores)
{
  static constexpr std::array<std::string_view, placement::kSizeScale.size()> kSeries{
    "task_wait_seconds{millicores=\"2000\"}",  "task_wait_seconds{millicores=\"2828\"}",
    "task_wait_seconds{millicores=\"4000\"}",  "task_wait_seconds{millicores=\"5657\"}",
    "task_wait_seconds{millicores=\"8000\"}",  "task_wait_seconds{millicores=\"11314\"}",
    "task_wait_seconds{millicores=\"16000\"}", "task_wait_seconds{millicores=\"22627\"}",
    "task_wait_seconds{millicores=\"32000\"}", "task_wait_seconds{millicores=\"45255\"}",
    "task_wait_seconds{millicores=\"64000\"}", "task_wait_seconds{millicores=\"90510\"}",
  };
  const auto n = placement::SizeClassOf(aMilliCores);
  return n ? kSeries.at(*n) : "task_wait_seconds{millicores=\"+Inf\"}";
}

/// Executes one action of the scheduling core.
struct DispatchActionHandler
{
  State& mState;
  const Now& mNow;
  Actions& mActions;

  void operator()(dispatch::StartTask& aAction)
  {
    const auto address = dispatch::AddressOf(*mState.mDispatch, aAction.mUpstream);
    AddReport(mActions,
              "task_started",
              { { "job", aAction.mTask.mJob },
                { "task", std::to_string(aAction.mTask.mIndex) },
                { "run", std::to_string(aAction.mAttempt) },
                { "upstream", address.mKey } });
    if (aAction.mAttempt == 1) {
      mActions.emplace_back(Measured{ "task_queue_seconds", aAction.mWaited });
      if (mState.mOptions.mDispatch.mLookAhead) {
        mActions.emplace_back(Measured{ WaitSeriesOf(aAction.mMilliCores), aAction.mWaited });
      }
    }
    if (aAction.mFirstOfJob) {
      mActions.emplace_back(Measured{ "job_first_start_seconds", aAction.mWaited });
    }
    auto order = holding::Start(mState.mHolding,
                                address.mKey,
                                { aAction.mTask, aAction.mAttempt },
                                std::move(aAction.mPayload),
                                mNow,
                                mState.mHoldingActions);
    if (order) {
      AddStart(mState, std::move(*order), mActions);
    }
  }

  void operator()(dispatch::StopTask& aAction)
  {
    const auto address = dispatch::AddressOf(*mState.mDispatch, aAction.mUpstream);
    holding::Stop(mState.mHolding, address.mKey, aAction.mTask, mNow, mState.mHoldingActions);
  }

  void operator()(dispatch::Answer& aAction)
  {
    Reply(mState, aAction.mRequest, std::move(aAction.mAnswer), std::nullopt, mNow, mActions);
  }

  void operator()(dispatch::Refuse& aAction)
  {
    Reply(mState, aAction.mRequest, std::nullopt, std::move(aAction.mError), mNow, mActions);
  }

  void operator()(dispatch::Accepted& /*aAction*/) {}
  void operator()(dispatch::Finished& /*aAction*/) {}

  void operator()(dispatch::ShortageChanged& aAction)
  {
    AddReport(mActions,
              aAction.mShort ? "shortage_began" : "shortage_ended",
              { { "service", aAction.mService },
                { "demand", std::to_string(std::llround(aAction.mDemand)) },
                { "capacity", std::to_string(std::llround(aAction.mCapacity)) } });
  }
};

/// Names of the tasks for a log line, separated by spaces.
std::string TasksOf(const std::vector<holding::Run>& aRuns)
{
  std::string names;
  for (const auto& run : aRuns) {
    names.append(names.empty() ? "" : " ").append(ToString(run.mTask));
  }
  return names;
}

void Dispatch(State& aState, const dispatch::Event& aEvent, const Now& aNow)
{
  dispatch::Handle(*aState.mDispatch, aEvent, aNow, aState.mDispatchActions);
}

/// Executes one action of `holding`.
struct HoldingActionHandler
{
  State& mState;
  const Now& mNow;
  Actions& mActions;

  void operator()(holding::SendStart& aAction)
  {
    ++mState.mCounts.mStartsRepeated;
    AddStart(mState, std::move(aAction), mActions);
  }

  void operator()(holding::SendStop& aAction)
  {
    if (auto to = DestinationOf(mState, aAction.mUpstream)) {
      mActions.emplace_back(StopRun{ std::move(*to), std::move(aAction) });
    }
  }

  void operator()(holding::SendPoll& aAction)
  {
    if (auto to = DestinationOf(mState, aAction.mUpstream)) {
      mActions.emplace_back(PollUpstream{ std::move(*to), std::move(aAction) });
    }
  }

  void operator()(holding::Ended& aAction)
  {
    const auto& outcome = aAction.mOutcome;
    const bool isContradicted = outcome.mVerdict == Verdict::NotRun && aAction.mBegan;
    ++mState.mCounts.mRunEnds.at(static_cast<std::size_t>(aAction.mEvidence));
    mState.mCounts.mFalseRefusals += isContradicted ? 1 : 0;
    if (outcome.mCode) {
      AddReport(mActions,
                "task_not_done",
                { { "job", aAction.mTask.mJob },
                  { "task", std::to_string(aAction.mTask.mIndex) },
                  { "run", std::to_string(aAction.mNumber) },
                  { "upstream", aAction.mUpstream },
                  { "verdict", std::string(ToString(outcome.mVerdict)) },
                  { "code", std::string(ToString(*outcome.mCode)) },
                  { "evidence", std::string(ToString(aAction.mEvidence)) },
                  { "began", aAction.mBegan ? "true" : "false" },
                  { "copies", std::to_string(aAction.mCopies) } },
                true);
    }
    const auto index = dispatch::FindUpstream(*mState.mDispatch, aAction.mUpstream);
    if (!index) {
      return; // The scheduling core has started nothing there.
    }
    Dispatch(
      mState,
      dispatch::TaskEnded{ aAction.mTask, aAction.mNumber, *index, std::move(aAction.mOutcome) },
      mNow);
  }

  void operator()(holding::Progress& aAction)
  {
    if (const auto index = dispatch::FindUpstream(*mState.mDispatch, aAction.mUpstream)) {
      Dispatch(
        mState,
        dispatch::TaskProgress{ aAction.mTask, aAction.mNumber, *index, aAction.mDoneFraction },
        mNow);
    }
  }

  void operator()(holding::UsableChanged& aAction)
  {
    const auto it = mState.mUpstreams.find(aAction.mUpstream);
    mState.mClaimsDue = true;
    if (it == mState.mUpstreams.end()) {
      Dispatch(mState, dispatch::SetCredits{ aAction.mUpstream, 0, 0 }, mNow);
      return;
    }
    it->second.mUsable = aAction.mUsable;
    if (aAction.mUsable) {
      it->second.mMisdirected = 0;
    }
    SendCredits(mState, aAction.mUpstream, mNow);
  }

  void operator()(holding::HoldLost& aAction)
  {
    ++mState.mCounts.mHoldsLost;
    mState.mPresenceDue = true;
    DelayClaim(mState, aAction, mNow);
  }

  void operator()(holding::ClaimUnanswered& aAction)
  {
    const auto it = mState.mUpstreams.find(aAction.mUpstream);
    if (it == mState.mUpstreams.end()) {
      return;
    }
    const bool isLocal = it->second.mRecord.mDataCentre == mState.mOptions.mDataCentre;
    it->second.mClaimNotBefore =
      mNow.mTime + (isLocal ? mState.mOptions.mUnansweredClaimRetryDelay
                            : mState.mOptions.mRemoteUnansweredClaimRetryDelay);
    mState.mPresenceDue = true;
  }

  void operator()(holding::OtherIncarnationFound& aAction)
  {
    const auto it = mState.mUpstreams.find(aAction.mUpstream);
    if (it == mState.mUpstreams.end()) {
      return;
    }
    auto& upstream = it->second;
    if (!NamesSameProcess(upstream.mRecord, upstream.mClaimedRecord)) {
      return; // The answer may be of a process at the former address.
    }
    PublishDecided(aAction.mUpstream, std::nullopt);
    constexpr std::uint32_t kMaxDoublings = 16;
    const auto delay = mState.mOptions.mMisdirectedClaimRetryDelay *
                       (1U << std::min(upstream.mMisdirected, kMaxDoublings));
    ++upstream.mMisdirected;
    upstream.mMisdirectedUntil =
      mNow.mTime + Duration(std::min(delay, mState.mOptions.mMaxMisdirectedClaimRetryDelay));
  }

  /// Reports a crash to the scheduling core and to the candidates: the job may be submitted to
  /// another holder when this entry dies.
  void PublishReport(CrashReport aReport)
  {
    for (const auto& [address, peer] : mState.mPeers) {
      if (peer.mPresence.mCandidate) {
        mActions.emplace_back(SendPeer{ address, message::Crashes{ { aReport } } });
      }
    }
    Dispatch(mState, dispatch::UpstreamCrashed{ std::move(aReport) }, mNow);
  }

  void PublishCrash(const holding::Crashed& aCrash,
                    CrashState aCrashState,
                    const std::vector<holding::Run>& aRuns,
                    bool aBegan)
  {
    if (aRuns.empty() && aCrashState != CrashState::Cleared) {
      return;
    }
    CrashReport report{ mState.mOptions.mIncarnation,
                        2 * aCrash.mNumber + (aBegan ? 0 : 1),
                        aCrashState,
                        {},
                        aCrash.mUpstream,
                        aCrash.mBornMs,
                        aBegan };
    for (const auto& run : aRuns) {
      report.mTasks.push_back(run.mTask);
    }
    PublishReport(std::move(report));
  }

  /// Decides the crashes that other holders of the upstream, or earlier sessions, have suspected:
  /// their reporters may have died or lost the upstream. aBornMs is as in DecidedCrashes.
  void PublishDecided(const std::string& aUpstream, std::optional<UnixMs> aBornMs)
  {
    const auto it = mState.mUpstreams.find(aUpstream);
    const bool leaving = it != mState.mUpstreams.end() && it->second.mRecord.mLeaving;
    for (auto& report : dispatch::DecidedCrashes(*mState.mDispatch, aUpstream, aBornMs)) {
      if (leaving && report.mState != CrashState::Cleared) {
        continue; // Its end was announced; the tasks are not the cause.
      }
      AddReport(
        mActions,
        "crash_decided",
        { { "upstream", aUpstream },
          { "result", report.mState == CrashState::Cleared ? "same_process" : "other_process" } });
      PublishReport(std::move(report));
    }
  }

  void operator()(holding::ProcessFound& aAction)
  {
    PublishDecided(aAction.mUpstream, aAction.mBornMs);
  }

  void operator()(holding::Crashed& aAction)
  {
    const auto it = mState.mUpstreams.find(aAction.mUpstream);
    const bool leaving = it != mState.mUpstreams.end() && it->second.mRecord.mLeaving;
    const auto state = aAction.mState;
    if (state == CrashState::Refused || state == CrashState::Confirmed) {
      auto& counts = mState.mCounts;
      auto& count =
        state == CrashState::Refused ? counts.mUpstreamsRefusing : counts.mUpstreamsReplaced;
      count += leaving ? 0 : 1;
      AddReport(
        mActions,
        leaving ? "upstream_left" : "upstream_crashed",
        { { "upstream", aAction.mUpstream },
          { "evidence", state == CrashState::Confirmed ? "other_process" : "connection_refused" },
          { "tasks", TasksOf(aAction.mRuns) },
          { "unanswered", TasksOf(aAction.mUnansweredRuns) } },
        true);
    }
    if (leaving && state != CrashState::Cleared) {
      return; // Its end was announced; the tasks are not the cause.
    }
    PublishCrash(aAction, state, aAction.mRuns, true);
    // A run of which it is unknown whether it had begun is never proof against its task.
    PublishCrash(aAction,
                 state == CrashState::Cleared ? state : CrashState::Suspected,
                 aAction.mUnansweredRuns,
                 false);
  }

  void operator()(holding::Note& aAction)
  {
    mState.mCounts.mPollsLost += aAction.mEvent == "upstream_silent" ? 1 : 0;
    mState.mCounts.mStartsUnanswered += aAction.mEvent == "start_unanswered" ? 1 : 0;
    AddReport(
      mActions,
      std::move(aAction.mEvent),
      { { "upstream", std::move(aAction.mUpstream) }, { "detail", std::move(aAction.mDetail) } });
  }
};

} // namespace

void Reply(State& aState,
           RequestId aRequest,
           std::optional<JobAnswer> aAnswer,
           std::optional<Error> aError,
           const Now& aNow,
           Actions& aActions)
{
  const auto it = aState.mOrigins.find(aRequest);
  if (it == aState.mOrigins.end()) {
    return; // The owner has cancelled the job.
  }
  const auto origin = it->second;
  aState.mOrigins.erase(it);
  if (!origin.mPeer) {
    HandleOutcome(aState,
                  origin.mNumber,
                  aState.mOptions.mIncarnation,
                  std::move(aAnswer),
                  std::move(aError),
                  aNow,
                  aActions);
    return;
  }
  aState.mPeerRequests.erase({ *origin.mPeer, origin.mNumber });
  ReplyToPeer(aState,
              *origin.mPeer,
              { origin.mNumber, std::move(aAnswer), std::move(aError) },
              aNow,
              aActions);
}

void RunJob(State& aState, Origin aOrigin, JobSpec aJob, const Now& aNow, Actions& /*aActions*/)
{
  const auto request = ++aState.mLastCoreRequest;
  if (aOrigin.mPeer) {
    aState.mPeerRequests.emplace(std::pair{ *aOrigin.mPeer, aOrigin.mNumber }, request);
  }
  aState.mOrigins.emplace(request, std::move(aOrigin));
  auto refusal = RefusalOfEvacuated(aState, aJob);
  Dispatch(aState, dispatch::Submit{ request, std::move(aJob) }, aNow);
  aState.mEvacuation.mReturnsDue = true;
  if (!refusal || aState.mDispatchActions.empty()) {
    return;
  }
  auto* refused = std::get_if<dispatch::Refuse>(&aState.mDispatchActions.back());
  if (refused != nullptr && refused->mRequest == request &&
      refused->mError.mCode == ErrorCode::NeverRunnable) {
    refused->mError = std::move(*refusal);
  }
}

void RunPeerJob(State& aState,
                Incarnation aPeer,
                const message::Submit& aSubmit,
                const Now& aNow,
                Actions& aActions)
{
  const auto refuse = [&](ErrorCode aCode, Verdict aVerdict, std::string aMessage) {
    RefuseSubmission(aState,
                     aPeer,
                     aSubmit.mNumber,
                     { aCode, aVerdict, std::move(aMessage), kRefusalRetryAfter },
                     aNow,
                     aActions);
  };
  const auto reply = aState.mReplies.find({ aPeer, aSubmit.mNumber });
  if (reply != aState.mReplies.end()) {
    if (const auto* peer = FindPeer(aState, aPeer)) {
      aActions.emplace_back(SendPeer{ peer->mAddress, reply->second });
    }
    return;
  }
  if (aState.mCancelled.contains({ aPeer, aSubmit.mNumber })) {
    return refuse(ErrorCode::OwnerUnreachable, Verdict::MayHaveRun, "The submission was given up.");
  }
  if (IsCancelled(aState, aSubmit.mJob.mId, aNow)) {
    return RefuseSubmission(aState, aPeer, aSubmit.mNumber, CancelledError(), aNow, aActions);
  }
  if (aState.mPeerRequests.contains({ aPeer, aSubmit.mNumber })) {
    return; // Sent again over a new connection; the job has been accepted already.
  }
  if (aState.mDraining) {
    return refuse(ErrorCode::Stopping, Verdict::NotRun, "The holder is stopping.");
  }
  const auto nowMs =
    std::chrono::duration_cast<milliseconds>(aNow.mTime.time_since_epoch()).count();
  const bool otherIncarnation =
    aSubmit.mTo.mValue != 0 && aSubmit.mTo != aState.mOptions.mIncarnation;
  if (otherIncarnation || (aSubmit.mValidUntilMs != 0 && nowMs > aSubmit.mValidUntilMs)) {
    AddReport(aActions, "submission_stale", { { "job", aSubmit.mJob.mId } }, true);
    CancelPeerJob(aState, aPeer, aSubmit.mNumber, aNow);
    return refuse(ErrorCode::OwnerUnreachable, Verdict::NotRun, "The submission arrived too late.");
  }
  auto* peer = FindPeer(aState, aPeer);
  auto echoedAt = peer != nullptr ? peer->mEchoedAt : std::nullopt;
  // The owner sets mValidUntilMs to a timestamp that it received from this entry, plus
  // mSilentAfter. The submission therefore echoes that timestamp.
  const auto validity = aState.mOptions.mSilentAfter.count();
  if (aSubmit.mValidUntilMs > validity) {
    echoedAt = EchoedTime(aSubmit.mValidUntilMs - validity, aNow);
    if (peer != nullptr) {
      RecordEcho(*peer, echoedAt);
    }
  }
  RunJob(aState,
         { aPeer, aSubmit.mNumber, aSubmit.mJob.mId, echoedAt.value_or(Time{}) },
         aSubmit.mJob,
         aNow,
         aActions);
}

void DropOldReplies(State& aState, const Now& aNow)
{
  auto& expiry = aState.mReplyExpiry;
  while (!expiry.empty() && expiry.front().first <= aNow.mTime) {
    aState.mReplies.erase(expiry.front().second);
    expiry.pop_front();
  }
}

void CancelPeerJob(State& aState, Incarnation aPeer, CallNumber aNumber, const Now& aNow)
{
  aState.mCancelled[{ aPeer, aNumber }] = aNow.mTime + Duration(kCancelledRetention);
  const auto it = aState.mPeerRequests.find({ aPeer, aNumber });
  if (it != aState.mPeerRequests.end()) {
    CancelOrigin(aState, it->second, aNow);
  }
}

void CancelOrigin(State& aState, RequestId aRequest, const Now& aNow)
{
  const auto it = aState.mOrigins.find(aRequest);
  if (it == aState.mOrigins.end()) {
    return;
  }
  const auto origin = it->second;
  aState.mOrigins.erase(it);
  if (origin.mPeer) {
    aState.mPeerRequests.erase({ *origin.mPeer, origin.mNumber });
    aState.mCancelled[{ *origin.mPeer, origin.mNumber }] =
      aNow.mTime + Duration(kCancelledRetention);
  }
  Dispatch(aState, dispatch::CancelWait{ aRequest }, aNow);
  const bool stillRequested =
    std::any_of(aState.mOrigins.begin(), aState.mOrigins.end(), [&origin](const auto& aOther) {
      return aOther.second.mJob == origin.mJob;
    });
  if (!stillRequested) {
    Dispatch(aState, dispatch::Cancel{ origin.mJob }, aNow);
  }
}

void ProcessPendingActions(State& aState, const Now& aNow, Actions& aActions)
{
  dispatch::Actions dispatchActions;
  holding::Actions holdingActions;
  while (!aState.mDispatchActions.empty() || !aState.mHoldingActions.empty()) {
    dispatchActions.swap(aState.mDispatchActions);
    for (auto& action : dispatchActions) {
      std::visit(DispatchActionHandler{ aState, aNow, aActions }, action);
    }
    dispatchActions.clear();
    holdingActions.swap(aState.mHoldingActions);
    for (auto& action : holdingActions) {
      std::visit(HoldingActionHandler{ aState, aNow, aActions }, action);
    }
    holdingActions.clear();
  }
}

std::vector<std::uint64_t> AcceptedCallsFrom(const State& aState, Incarnation aPeer)
{
  std::vector<std::uint64_t> taken;
  for (auto it = aState.mPeerRequests.lower_bound({ aPeer, 0 });
       it != aState.mPeerRequests.end() && it->first.first == aPeer;
       ++it) {
    taken.push_back(it->first.second);
  }
  return taken;
}

void UpdateListedJobs(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions)
{
  const std::set<std::uint64_t> open(aPeer.mPresence.mOpenJobs.begin(),
                                     aPeer.mPresence.mOpenJobs.end());
  const auto echoed = EchoIn(aState, aPeer.mPresence, aNow).value_or(Time{});
  for (const auto number : AcceptedCallsFrom(aState, aPeer.mIncarnation)) {
    const auto request = aState.mPeerRequests.at({ aPeer.mIncarnation, number });
    if (open.contains(number)) {
      auto& origin = aState.mOrigins.at(request);
      origin.mEchoedAt = std::max(origin.mEchoedAt, echoed);
      continue;
    }
    AddReport(aActions, "job_given_up", { { "job", aState.mOrigins.at(request).mJob } });
    CancelPeerJob(aState, aPeer.mIncarnation, number, aNow);
  }
}

bool CancelPeerJobsOf(State& aState, std::string_view aJob, const Now& aNow, Actions& aActions)
{
  std::vector<RequestId> requests;
  for (const auto& [request, origin] : aState.mOrigins) {
    if (origin.mPeer && origin.mJob == aJob) {
      requests.push_back(request);
    }
  }
  for (const auto request : requests) {
    const auto origin = aState.mOrigins.at(request);
    RefuseSubmission(aState, *origin.mPeer, origin.mNumber, CancelledError(), aNow, aActions);
    CancelOrigin(aState, request, aNow);
  }
  return !requests.empty();
}

void CancelJobsOfLostOwners(State& aState, const Now& aNow, Actions& aActions)
{
  std::vector<RequestId> lost;
  for (const auto& [request, origin] : aState.mOrigins) {
    if (!origin.mPeer) {
      continue;
    }
    if (FindPeer(aState, *origin.mPeer) == nullptr ||
        origin.mEchoedAt < aNow.mTime - aState.mOptions.mSilentAfter) {
      lost.push_back(request);
    }
  }
  for (const auto request : lost) {
    const auto origin = aState.mOrigins.at(request);
    ++aState.mCounts.mOwnersLost;
    AddReport(aActions, "owner_lost", { { "job", origin.mJob } }, true);
    // An owner that is alive but was disconnected submits the job elsewhere after this message.
    RefuseSubmission(aState,
                     *origin.mPeer,
                     origin.mNumber,
                     { ErrorCode::OwnerUnreachable,
                       Verdict::MayHaveRun,
                       "The owner was not heard.",
                       kRefusalRetryAfter },
                     aNow,
                     aActions);
    CancelOrigin(aState, request, aNow);
  }
  std::erase_if(aState.mCancelled,
                [&aNow](const auto& aEntry) { return aEntry.second <= aNow.mTime; });
}

void ReturnUnstartedJobs(State& aState, const Now& aNow, Actions& aActions)
{
  for (const auto& id : dispatch::UnstartedJobs(*aState.mDispatch, dispatch::kAllJobs)) {
    const auto withdrawn = dispatch::Withdraw(*aState.mDispatch, id, aNow);
    if (!withdrawn) {
      continue;
    }
    for (const auto request : withdrawn->mRequests) {
      Reply(aState,
            request,
            std::nullopt,
            Error{ ErrorCode::Stopping, Verdict::NotRun, "The holder is stopping.", {} },
            aNow,
            aActions);
    }
  }
}

void ApplyUpstreams(State& aState, const UpstreamsListed& aEvent, const Now& aNow)
{
  std::set<std::string> listed;
  bool changed = false;
  for (const auto& record : aEvent.mUpstreams) {
    const auto key = KeyOf(record);
    listed.insert(key);
    auto& upstream = aState.mUpstreams[key];
    auto former = upstream.mRecord;
    if (former.mColdLeft != record.mColdLeft) { // Differs in each record of a cold worker.
      upstream.mColdUntil = aNow.mTime + Duration(record.mColdLeft);
      former.mColdLeft = record.mColdLeft;
    }
    changed = changed || former != record;
    if (upstream.mRecord.mAddress != record.mAddress || upstream.mRecord.mPort != record.mPort) {
      holding::ChangeAddress(aState.mHolding, key, aNow);
    }
    if (record.mBornMs != 0 && upstream.mRecord.mBornMs != record.mBornMs) {
      holding::ProcessListed(aState.mHolding, key, record.mBornMs, aNow, aState.mHoldingActions);
    }
    if (!NamesSameProcess(upstream.mRecord, record)) {
      upstream.mMisdirected = 0;
      upstream.mMisdirectedUntil = {};
    }
    upstream.mRecord = record;
    upstream.mHash = Hash64(key);
    upstream.mMissingSince.reset();
  }
  for (auto& [key, upstream] : aState.mUpstreams) {
    if (!listed.contains(key) && !upstream.mMissingSince) {
      upstream.mMissingSince = aNow.mTime;
      aState.mEarliestMissing = aState.mEarliestMissing.value_or(aNow.mTime);
    }
  }
  if (changed) {
    Reconfigure(aState, aNow);
  }
}

void DropMissingUpstreams(State& aState, const Now& aNow)
{
  const auto retention = aState.mOptions.mMissingUpstreamRetention;
  if (!aState.mEarliestMissing || aNow.mTime - *aState.mEarliestMissing <= retention) {
    return;
  }
  aState.mEarliestMissing.reset();
  std::vector<std::string> gone;
  for (const auto& [key, upstream] : aState.mUpstreams) {
    if (!upstream.mMissingSince) {
      continue;
    }
    if (aNow.mTime - *upstream.mMissingSince <= retention ||
        aState.mHolding.mSessions.contains(key)) {
      aState.mEarliestMissing =
        std::min(aState.mEarliestMissing.value_or(aNow.mTime), *upstream.mMissingSince);
    }
    if (aNow.mTime - *upstream.mMissingSince <= retention) {
      continue;
    }
    // The upstream may still run tasks and only be unable to reach the platform's store. Its runs
    // end or lapse as usual.
    if (aState.mHolding.mSessions.contains(key)) {
      holding::Release(aState.mHolding, key, aState.mHoldingActions);
    } else {
      gone.push_back(key);
    }
  }
  if (gone.empty()) {
    return;
  }
  for (const auto& key : gone) {
    aState.mUpstreams.erase(key);
    aState.mHolding.mStartsWithheld.erase(key);
  }
  Reconfigure(aState, aNow);
}

void Reconfigure(State& aState, const Now& aNow)
{
  aState.mPartitions = PartitionUpstreams(aState);
  aState.mClaimsDue = true;
  aState.mNeighboursDue = true;
  if (!aState.mConfiguration) {
    return;
  }
  auto configuration = std::make_shared<configuration::Configuration>(*aState.mConfiguration);
  const auto isUsed = [&aState](const auto& aUpstream) {
    return aUpstream.second.mRecord.mDataCentre == aState.mOptions.mDataCentre ||
           aState.mHolding.mSessions.contains(aUpstream.first);
  };
  for (const auto& entry : aState.mUpstreams) {
    if (!isUsed(entry)) {
      continue;
    }
    const auto& [key, upstream] = entry;
    const auto& record = upstream.mRecord;
    configuration->mWorkers[record.mId] = { record.mId,
                                            record.mDataCentre,
                                            record.mRack,
                                            record.mAddress,
                                            record.mCapacity.mMilliCores,
                                            record.mCapacity.mMemoryBytes,
                                            record.mCapacity.mAccelerators };
    configuration->mUpstreams[key] = {
      record.mService, record.mId, record.mPort, record.mSlots, 0
    };
  }
  Dispatch(aState, dispatch::ConfigurationApplied{ std::move(configuration) }, aNow);
  for (const auto& entry : aState.mUpstreams) {
    if (!isUsed(entry)) {
      continue;
    }
    const auto& [key, upstream] = entry;
    const auto sign = upstream.mRecord.mLeaving ? dispatch::Sign::Leaving : dispatch::Sign::Live;
    Dispatch(aState, dispatch::UpstreamSign{ key, sign, aNow.mUnixMs }, aNow);
  }
}

std::vector<message::ServiceLoad> LoadsOf(const State& aState)
{
  std::vector<message::ServiceLoad> loads;
  if (!aState.mConfiguration) {
    return loads;
  }
  for (const auto& [name, service] : aState.mConfiguration->mServices) {
    const auto room = dispatch::RoomOf(*aState.mDispatch, name);
    if (room.mMilliCores > 0) {
      loads.push_back({ name,
                        room.mMilliCores,
                        room.mFreeMilliCores,
                        dispatch::QueuedMilliCores(*aState.mDispatch, name),
                        {},
                        {} });
      AddFits(aState, loads.back());
    }
  }
  return loads;
}

} // namespace pollenwall::entry
