#include <algorithm>

#include <pollenwall/hash.h>

#include "state.h"

// Routing of requests from callers and peers: answers them here or forwards them to a peer.

namespace pollenwall::node {
namespace {

/// Time within which a peer has to answer a request that does not wait for a job to end.
constexpr std::chrono::milliseconds kReplyTimeout{ 1000 };

/// Callers that the load balancer still sends after a planned stop began are served for this long.
constexpr std::chrono::milliseconds kDrainGracePeriod{ 1000 };

enum class JobRequestKind
{
  Status,
  Wait,
  Cancel,
};

struct JobRequest
{
  JobRequestKind mKind = JobRequestKind::Status;
  std::string mId;
  std::string mTeam;
  /// Unset: a Wait lasts until the job ends, or at most 24 h when it is forwarded.
  std::optional<std::chrono::milliseconds> mWait;
};

enum class RouteTarget
{
  Local,
  Peer,
  Unreachable,
};

struct Route
{
  RouteTarget mTarget = RouteTarget::Unreachable;
  Incarnation mPeer;
};

std::string RefusalKey(const std::string& aId, std::uint64_t aBodyHash)
{
  return aId + '#' + std::to_string(aBodyHash);
}

Error UnknownJobError(std::string aMessage = "The job is not known.")
{
  return MakeError(ErrorCode::UnknownJob, Verdict::MayHaveRun, std::move(aMessage));
}

/// The verdict when the owner cannot be reached: another copy may run elsewhere unless the caller
/// declares that there is none, by a job without mResubmission.
Verdict VerdictWithoutOwner(const JobSpec& aJob)
{
  return aJob.mResubmission ? Verdict::MayHaveRun : Verdict::NotRun;
}

Error RetryLaterError(State& aState, ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  auto error = MakeError(aCode, aVerdict, std::move(aMessage));
  error.mRetryAfter = Jitter(
    aState, aState.mOptions.mHeartbeatInterval, aState.mOptions.mLease + aState.mOptions.mLease);
  return error;
}

void AddTimer(State& aState, Time aWhen, bool aForwarded, std::uint64_t aKey)
{
  aState.mTimers.emplace(aWhen, aForwarded, aKey);
}

std::optional<Forward> TakeForward(State& aState, std::uint64_t aNumber)
{
  const auto it = aState.mForwards.find(aNumber);
  if (it == aState.mForwards.end()) {
    return std::nullopt;
  }
  auto forward = std::move(it->second);
  aState.mForwards.erase(it);
  aState.mTimers.erase({ forward.mUntil, true, aNumber });
  aState.mPeers[forward.mTo].mForwards.erase(aNumber);
  return forward;
}

std::uint64_t AddForward(State& aState, Forward aForward)
{
  const auto number = ++aState.mNextNumber;
  AddTimer(aState, aForward.mUntil, true, number);
  aState.mPeers[aForward.mTo].mForwards.insert(number);
  if (aForward.mOrigin.mCaller != 0) {
    aState.mCallers[aForward.mOrigin.mCaller] = { true, number };
  }
  aState.mForwards.emplace(number, std::move(aForward));
  ++aState.mCounters.mForwarded;
  return number;
}

/// Forwards a request about a job to a peer whose link is up.
void ForwardJobRequest(State& aState,
                       const Origin& aOrigin,
                       const JobRequest& aJobRequest,
                       Incarnation aTo,
                       std::uint32_t aHops,
                       const Now& aNow,
                       Actions& aActions)
{
  const bool waits = aJobRequest.mKind == JobRequestKind::Wait;
  const auto timeout = waits ? aJobRequest.mWait.value_or(std::chrono::hours(24)) : kReplyTimeout;
  const auto number = AddForward(
    aState, { aOrigin, aTo, aJobRequest.mId, aJobRequest.mTeam, waits, aNow.mTime + timeout });
  if (aJobRequest.mKind == JobRequestKind::Cancel) {
    Send(aState,
         aTo,
         message::Cancel{ number, aJobRequest.mId, aJobRequest.mTeam, aHops + 1 },
         aActions);
    return;
  }
  Send(aState,
       aTo,
       message::Status{ number, aJobRequest.mId, aJobRequest.mTeam, waits, aHops + 1 },
       aActions);
}

void ForwardSubmit(State& aState,
                   const Origin& aOrigin,
                   bool aWait,
                   JobSpec aJob,
                   Incarnation aTo,
                   std::uint32_t aHops,
                   const Now& aNow,
                   Actions& aActions)
{
  const auto timeout = kReplyTimeout + (aWait ? aJob.mDeadline : std::chrono::milliseconds(0));
  const auto number =
    AddForward(aState, { aOrigin, aTo, aJob.mId, aJob.mTeam, false, aNow.mTime + timeout });
  Send(aState, aTo, message::Submit{ number, aWait, std::move(aJob), aHops + 1 }, aActions);
}

/// Selects an entry of another data centre to forward to. Ids are spread over the entries, and
/// entries that are neither suspect nor leaving are preferred.
std::optional<Incarnation> SelectEntry(const State& aState,
                                       std::string_view aDataCentre,
                                       std::string_view aId)
{
  std::optional<Incarnation> best;
  std::pair<bool, std::uint64_t> most{ false, 0 };
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mDataCentre != aDataCentre || !peer.mLinkUp ||
        peer.mState == membership::MemberState::Gone) {
      continue;
    }
    const std::pair rank{ peer.mState != membership::MemberState::Suspect &&
                            peer.mState != membership::MemberState::Leaving,
                          RendezvousWeight(aId, incarnation.mValue) };
    if (!best || rank > most) {
      best = incarnation;
      most = rank;
    }
  }
  return best;
}

Route RouteToPeer(const State& aState, Incarnation aPeer, std::uint32_t aHops)
{
  const bool possible = IsLinkUp(aState, aPeer) && aHops < message::kMaxHops;
  return { possible ? RouteTarget::Peer : RouteTarget::Unreachable, aPeer };
}

/// Finds where a request for a job that is unknown here is answered.
Route FindRoute(const State& aState, const std::string& aId, std::uint32_t aHops)
{
  const auto& options = aState.mOptions;
  if (const auto minted = ParseMintedId(aId)) {
    if (minted->mIncarnation == options.mIncarnation) {
      return { RouteTarget::Local, {} };
    }
    if (const auto route = RouteToPeer(aState, minted->mIncarnation, aHops);
        route.mTarget == RouteTarget::Peer) {
      return route;
    }
    // The incarnation is gone or unreachable; the entries of its data centre read its journal.
    const auto other = minted->mDataCentre == options.mDataCentre
                         ? std::nullopt
                         : SelectEntry(aState, minted->mDataCentre, aId);
    return other && aHops == 0 ? RouteToPeer(aState, *other, aHops)
                               : Route{ RouteTarget::Local, {} };
  }
  const auto id = ParseCallerId(aId);
  if (!id) {
    return { RouteTarget::Local, {} };
  }
  if (id->mHome != options.mDataCentre) {
    const auto other = SelectEntry(aState, id->mHome, aId);
    return other ? RouteToPeer(aState, *other, aHops) : Route{};
  }
  const auto* view = ownership::CurrentView(aState.mViews);
  if (view == nullptr) {
    return {};
  }
  const auto owner = ownership::OwnerOf(*view, aId);
  return owner == options.mIncarnation ? Route{ RouteTarget::Local, {} }
                                       : RouteToPeer(aState, owner, aHops);
}

/// Answers with a refusal with the verdict "not run" and remembers it. If it were forgotten, a
/// later copy of the submission could run.
void RefuseAndRemember(State& aState,
                       const Origin& aOrigin,
                       const std::string& aId,
                       std::uint64_t aBodyHash,
                       Error aError,
                       const Now& aNow,
                       Actions& aActions)
{
  if (aState.mRefusals.size() >= aState.mOptions.mMaxRefusals) {
    aError.mVerdict = Verdict::MayHaveRun;
    return AnswerOrigin(aState, aOrigin, std::move(aError), aActions);
  }
  auto key = RefusalKey(aId, aBodyHash);
  if (aState.mRefusals.emplace(key, aError).second) {
    const auto until = aNow.mTime + aState.mOptions.mDispatch.mAnswerRetention;
    aState.mRefusalExpiry.emplace_back(until, std::move(key));
  }
  AnswerOrigin(aState, aOrigin, std::move(aError), aActions);
}

void SubmitToDispatch(State& aState,
                      const Origin& aOrigin,
                      bool aWait,
                      JobSpec aJob,
                      bool aCallerChosen,
                      const Now& aNow,
                      Actions& aActions)
{
  dispatch::Submit submit{ 0, std::move(aJob), aCallerChosen };
  submit.mRequest = AddWaiter(
    aState,
    { aOrigin, !aWait, aCallerChosen, submit.mJob.mId, submit.mJob.mBodyHash, std::nullopt });
  Dispatch(aState, submit, aNow, aActions);
}

/// Handles a submission whose job dispatch holds, that was refused before, or whose job was handed
/// over. Returns false when the submission is new here.
bool AnswerKnownSubmission(State& aState,
                           const Origin& aOrigin,
                           bool aWait,
                           const JobSpec& aJob,
                           std::uint32_t aHops,
                           const Now& aNow,
                           Actions& aActions)
{
  const auto refusal = aState.mRefusals.find(RefusalKey(aJob.mId, aJob.mBodyHash));
  if (refusal != aState.mRefusals.end()) {
    ++aState.mCounters.mRepeatedRefusals;
    AnswerOrigin(aState, aOrigin, refusal->second, aActions);
    return true;
  }
  if (const auto moved = aState.mHandedOverTo.find(aJob.mId); moved != aState.mHandedOverTo.end()) {
    if (IsLinkUp(aState, moved->second) && aHops < message::kMaxHops) {
      ForwardSubmit(aState, aOrigin, aWait, aJob, moved->second, aHops, aNow, aActions);
    } else {
      AnswerOrigin(
        aState, aOrigin, UnknownJobError("The job was handed to an entry out of reach."), aActions);
    }
    return true;
  }
  const auto known = dispatch::FindKnownJob(*aState.mDispatch, aJob.mId);
  if (!known) {
    return false;
  }
  if (known->mTeam != aJob.mTeam || known->mBodyHash != aJob.mBodyHash) {
    if (aJob.mBornMs > aNow.mUnixMs + aState.mOptions.mMaxBirthAhead.count()) {
      // SubmitAsOwner refuses it and does not remember the refusal, because a copy with a birth
      // that far ahead could still be accepted after the refusal was forgotten.
      return false;
    }
    RefuseAndRemember(
      aState,
      aOrigin,
      aJob.mId,
      aJob.mBodyHash,
      MakeError(ErrorCode::IdConflict, Verdict::NotRun, "The id belongs to another submission."),
      aNow,
      aActions);
    return true;
  }
  if (aWait) {
    SubmitToDispatch(aState, aOrigin, aWait, aJob, true, aNow, aActions);
  } else {
    AnswerOrigin(aState, aOrigin, *dispatch::FindJobAnswer(*aState.mDispatch, aJob.mId), aActions);
  }
  return true;
}

/// Handles a submission with a caller-chosen id that is new to its owner; no other function accepts
/// one. The caller's clock is never trusted: a birth in doubt means "may have run".
void SubmitAsOwner(State& aState,
                   const Origin& aOrigin,
                   bool aWait,
                   JobSpec aJob,
                   const Now& aNow,
                   Actions& aActions)
{
  const auto& options = aState.mOptions;
  const auto claim = ownership::ClaimOf(aState.mViews, aJob.mId, options.mIncarnation);
  if (!claim.mOwner || !claim.mSettled || !ownership::HoldsLease(aState.mLease, aNow) ||
      aState.mLease.mVersion < claim.mOwnedSinceVersion) {
    return AnswerOrigin(aState,
                        aOrigin,
                        RetryLaterError(aState,
                                        ErrorCode::OwnerUnsettled,
                                        VerdictWithoutOwner(aJob),
                                        "The id's owner is changing."),
                        aActions);
  }
  if (aJob.mBornMs > aNow.mUnixMs + options.mMaxBirthAhead.count()) {
    // Another copy can arrive when its birth has become acceptable, possibly at a later owner that
    // has no record of this refusal. The verdict is therefore "not run" only if there is no other
    // copy.
    auto error = MakeError(ErrorCode::ClockAhead,
                           VerdictWithoutOwner(aJob),
                           "The birth is ahead of this entry's clock, which shows " +
                             std::to_string(aNow.mUnixMs) + " ms.");
    error.mRetryAfter =
      std::chrono::milliseconds(aJob.mBornMs - aNow.mUnixMs) - options.mMaxBirthAhead;
    return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
  }
  const auto slack = (options.mMaxBirthAhead + options.mMaxClockSkew).count();
  const bool mayHaveRunBefore = aJob.mBornMs <= claim.mSettled->mUnixMs + slack;
  // An answer is forgotten after the retention time, so a submission with an older birth may have
  // run before. The clock used here never steps back, like the one that measures the retention.
  const auto wallMs = aState.mMonotonicWallUs / 1000;
  const bool mayBeForgotten =
    aJob.mBornMs <= wallMs - options.mDispatch.mAnswerRetention.count() + slack;
  if (aJob.mResubmission && (mayHaveRunBefore || mayBeForgotten)) {
    if (const auto it = aState.mRemoteSubmissions.find(aJob.mId);
        it != aState.mRemoteSubmissions.end() && it->second.mTeam == aJob.mTeam &&
        it->second.mBodyHash == aJob.mBodyHash) {
      auto error =
        UnknownJobError("The job ended at another entry; its results are not kept here.");
      error.mVerdict = it->second.mVerdict;
      return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
    }
    const auto previous = ownership::PreviousOwner(aState.mViews, aJob.mId, options.mIncarnation);
    const bool fromPrevious = aOrigin.mPeer == previous;
    if (mayHaveRunBefore && !fromPrevious && IsLinkUp(aState, previous)) {
      // The previous owner attaches the submission to the job if it holds it. The hop count keeps
      // it from forwarding the submission.
      return ForwardSubmit(
        aState, aOrigin, aWait, std::move(aJob), previous, message::kMaxHops - 1, aNow, aActions);
    }
    return AnswerOrigin(aState,
                        aOrigin,
                        UnknownJobError("An earlier copy may have run; its answer is lost."),
                        aActions);
  }
  SubmitToDispatch(aState, aOrigin, aWait, std::move(aJob), true, aNow, aActions);
}

void SubmitCallerChosen(State& aState,
                        const Origin& aOrigin,
                        bool aWait,
                        JobSpec aJob,
                        std::uint32_t aHops,
                        const Now& aNow,
                        Actions& aActions)
{
  const auto id = ParseCallerId(aJob.mId);
  if (!id) {
    return AnswerOrigin(
      aState,
      aOrigin,
      MakeError(ErrorCode::BadRequest, Verdict::NotRun, "The id has not the form HOME:KEY."),
      aActions);
  }
  if (aState.mAppliedVersion == 0) {
    return AnswerOrigin(aState,
                        aOrigin,
                        RetryLaterError(aState,
                                        ErrorCode::NotReady,
                                        VerdictWithoutOwner(aJob),
                                        "This entry has no configuration yet."),
                        aActions);
  }
  if (!aState.mConfiguration.mConfiguration->mDataCentres.contains(id->mHome)) {
    return AnswerOrigin(aState,
                        aOrigin,
                        MakeError(ErrorCode::BadRequest,
                                  VerdictWithoutOwner(aJob),
                                  "The id's home is no configured data centre."),
                        aActions);
  }
  if (AnswerKnownSubmission(aState, aOrigin, aWait, aJob, aHops, aNow, aActions)) {
    return;
  }
  const auto route = FindRoute(aState, aJob.mId, aHops);
  switch (route.mTarget) {
    case RouteTarget::Local:
      return SubmitAsOwner(aState, aOrigin, aWait, std::move(aJob), aNow, aActions);
    case RouteTarget::Peer:
      return ForwardSubmit(
        aState, aOrigin, aWait, std::move(aJob), route.mPeer, aHops, aNow, aActions);
    case RouteTarget::Unreachable:
      break;
  }
  AnswerOrigin(aState,
               aOrigin,
               RetryLaterError(aState,
                               ErrorCode::OwnerUnreachable,
                               VerdictWithoutOwner(aJob),
                               "The id's owner cannot be reached."),
               aActions);
}

/// Handles a request about a job that dispatch holds.
void HandleJobRequestLocally(State& aState,
                             const Origin& aOrigin,
                             const JobRequest& aJobRequest,
                             const Now& aNow,
                             Actions& aActions)
{
  if (aJobRequest.mKind == JobRequestKind::Cancel) {
    Dispatch(aState, dispatch::Cancel{ aJobRequest.mId }, aNow, aActions);
  }
  auto answer = dispatch::FindJobAnswer(*aState.mDispatch, aJobRequest.mId);
  if (aJobRequest.mKind != JobRequestKind::Wait || answer->mState != JobState::Running) {
    return AnswerOrigin(aState, aOrigin, std::move(*answer), aActions);
  }
  Waiter waiter{ aOrigin, false, false, aJobRequest.mId, 0, std::nullopt };
  if (aJobRequest.mWait) {
    waiter.mUntil = aNow.mTime + *aJobRequest.mWait;
  }
  const auto request = AddWaiter(aState, std::move(waiter));
  Dispatch(aState, dispatch::Wait{ request, aJobRequest.mId }, aNow, aActions);
}

void HandleJobRequest(State& aState,
                      const Origin& aOrigin,
                      const JobRequest& aJobRequest,
                      std::uint32_t aHops,
                      const Now& aNow,
                      Actions& aActions)
{
  if (const auto known = dispatch::FindKnownJob(*aState.mDispatch, aJobRequest.mId)) {
    if (known->mTeam != aJobRequest.mTeam) {
      return AnswerOrigin(aState, aOrigin, UnknownJobError(), aActions);
    }
    return HandleJobRequestLocally(aState, aOrigin, aJobRequest, aNow, aActions);
  }
  if (const auto moved = aState.mHandedOverTo.find(aJobRequest.mId);
      moved != aState.mHandedOverTo.end() && IsLinkUp(aState, moved->second)) {
    return ForwardJobRequest(aState, aOrigin, aJobRequest, moved->second, aHops, aNow, aActions);
  }
  const auto known = aState.mRemoteSubmissions.find(aJobRequest.mId);
  if (known != aState.mRemoteSubmissions.end() && known->second.mTeam == aJobRequest.mTeam &&
      known->second.mState != JobState::Running) {
    auto error = UnknownJobError(known->second.mState == JobState::Complete
                                   ? "The job ended complete; its results are not kept here."
                                   : "The job failed; its details are not kept here.");
    error.mVerdict = known->second.mVerdict;
    return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
  }
  auto route = FindRoute(aState, aJobRequest.mId, aHops);
  if (route.mTarget == RouteTarget::Local && ParseCallerId(aJobRequest.mId)) {
    // A live previous owner may still hold the job. It does not forward the request.
    const auto previous =
      ownership::PreviousOwner(aState.mViews, aJobRequest.mId, aState.mOptions.mIncarnation);
    if (aOrigin.mPeer != previous &&
        RouteToPeer(aState, previous, aHops).mTarget == RouteTarget::Peer) {
      return ForwardJobRequest(
        aState, aOrigin, aJobRequest, previous, message::kMaxHops - 1, aNow, aActions);
    }
  }
  switch (route.mTarget) {
    case RouteTarget::Local:
      return AnswerOrigin(aState, aOrigin, UnknownJobError(), aActions);
    case RouteTarget::Peer:
      return ForwardJobRequest(aState, aOrigin, aJobRequest, route.mPeer, aHops, aNow, aActions);
    case RouteTarget::Unreachable:
      break;
  }
  if (aHops >= message::kMaxHops) {
    return AnswerOrigin(aState, aOrigin, UnknownJobError(), aActions);
  }
  AnswerOrigin(aState,
               aOrigin,
               RetryLaterError(aState,
                               ErrorCode::OwnerUnreachable,
                               Verdict::MayHaveRun,
                               "The job's owner cannot be reached."),
               aActions);
}

Error PeerLostError()
{
  return MakeError(ErrorCode::OwnerUnreachable,
                   Verdict::MayHaveRun,
                   "The job's owner was asked and has not answered.");
}

} // namespace

void AnswerOrigin(State& aState, const Origin& aOrigin, JobAnswer aAnswer, Actions& aActions)
{
  if (aOrigin.mCaller != 0) {
    aState.mCallers.erase(aOrigin.mCaller);
    aActions.emplace_back(AnswerCaller{ aOrigin.mCaller, std::move(aAnswer), std::nullopt });
  } else if (aOrigin.mNumber != 0) {
    Send(aState,
         aOrigin.mPeer,
         message::Reply{ aOrigin.mNumber, std::move(aAnswer), std::nullopt },
         aActions);
  }
}

void AnswerOrigin(State& aState, const Origin& aOrigin, Error aError, Actions& aActions)
{
  if (aOrigin.mCaller != 0) {
    aState.mCallers.erase(aOrigin.mCaller);
    aActions.emplace_back(AnswerCaller{ aOrigin.mCaller, std::nullopt, std::move(aError) });
  } else if (aOrigin.mNumber != 0) {
    Send(aState,
         aOrigin.mPeer,
         message::Reply{ aOrigin.mNumber, std::nullopt, std::move(aError) },
         aActions);
  }
}

/// Removes and returns the waiter of a request to dispatch.
std::optional<Waiter> TakeWaiter(State& aState, RequestId aRequest)
{
  const auto it = aState.mWaiters.find(aRequest);
  if (it == aState.mWaiters.end()) {
    return std::nullopt;
  }
  auto waiter = std::move(it->second);
  aState.mWaiters.erase(it);
  if (waiter.mUntil) {
    aState.mTimers.erase({ *waiter.mUntil, false, aRequest });
  }
  return waiter;
}

RequestId AddWaiter(State& aState, Waiter aWaiter)
{
  const auto request = ++aState.mNextRequest;
  if (aWaiter.mUntil) {
    AddTimer(aState, *aWaiter.mUntil, false, request);
  }
  if (aWaiter.mOrigin.mCaller != 0) {
    aState.mCallers[aWaiter.mOrigin.mCaller] = { false, request };
  }
  aState.mWaiters.emplace(request, std::move(aWaiter));
  return request;
}

void OnJobAccepted(State& aState, dispatch::Accepted& aAction, Actions& aActions)
{
  const auto it = aState.mWaiters.find(aAction.mRequest);
  if (it == aState.mWaiters.end() || !it->second.mAnswerOnAccept) {
    return;
  }
  const auto waiter = TakeWaiter(aState, aAction.mRequest);
  JobAnswer answer;
  answer.mId = std::move(aAction.mId);
  AnswerOrigin(aState, waiter->mOrigin, std::move(answer), aActions);
}

void OnJobAnswered(State& aState, dispatch::Answer& aAction, Actions& aActions)
{
  if (const auto waiter = TakeWaiter(aState, aAction.mRequest)) {
    AnswerOrigin(aState, waiter->mOrigin, std::move(aAction.mAnswer), aActions);
  }
}

void OnJobRefused(State& aState, dispatch::Refuse& aAction, const Now& aNow, Actions& aActions)
{
  const auto waiter = TakeWaiter(aState, aAction.mRequest);
  if (!waiter) {
    return;
  }
  if (waiter->mCallerChosen && aAction.mError.mVerdict == Verdict::NotRun) {
    return RefuseAndRemember(aState,
                             waiter->mOrigin,
                             waiter->mId,
                             waiter->mBodyHash,
                             std::move(aAction.mError),
                             aNow,
                             aActions);
  }
  AnswerOrigin(aState, waiter->mOrigin, std::move(aAction.mError), aActions);
}

void OnCallerSubmit(State& aState, CallerSubmit& aEvent, const Now& aNow, Actions& aActions)
{
  const Origin origin{ aEvent.mRequest, {}, 0 };
  if (!aEvent.mJob.mId.empty()) {
    return SubmitCallerChosen(
      aState, origin, aEvent.mWait, std::move(aEvent.mJob), 0, aNow, aActions);
  }
  if (aState.mAppliedVersion == 0) {
    return AnswerOrigin(
      aState,
      origin,
      RetryLaterError(
        aState, ErrorCode::NotReady, Verdict::NotRun, "This entry has no configuration yet."),
      aActions);
  }
  if (aState.mDrainStarted && aNow.mTime >= *aState.mDrainStarted + kDrainGracePeriod) {
    return AnswerOrigin(
      aState,
      origin,
      RetryLaterError(aState, ErrorCode::Stopping, Verdict::NotRun, "This entry is stopping."),
      aActions);
  }
  auto job = std::move(aEvent.mJob);
  job.mId = ToString(
    MintedId{ aState.mOptions.mDataCentre, aState.mOptions.mIncarnation, ++aState.mNextSequence });
  SubmitToDispatch(aState, origin, aEvent.mWait, std::move(job), false, aNow, aActions);
}

void OnCallerStatus(State& aState, const CallerStatus& aEvent, const Now& aNow, Actions& aActions)
{
  const bool waits = aEvent.mWait.count() > 0;
  const JobRequest jobRequest{ waits ? JobRequestKind::Wait : JobRequestKind::Status,
                               aEvent.mId,
                               aEvent.mTeam,
                               waits ? std::optional(aEvent.mWait) : std::nullopt };
  HandleJobRequest(aState, { aEvent.mRequest, {}, 0 }, jobRequest, 0, aNow, aActions);
}

void OnCallerCancel(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions)
{
  const JobRequest jobRequest{ JobRequestKind::Cancel, aEvent.mId, aEvent.mTeam, std::nullopt };
  HandleJobRequest(aState, { aEvent.mRequest, {}, 0 }, jobRequest, 0, aNow, aActions);
}

void OnCallerDisconnected(State& aState,
                          const CallerDisconnected& aEvent,
                          const Now& aNow,
                          Actions& aActions)
{
  const auto it = aState.mCallers.find(aEvent.mRequest);
  if (it == aState.mCallers.end()) {
    return;
  }
  const auto pending = it->second;
  aState.mCallers.erase(it);
  if (pending.mForwarded) {
    TakeForward(aState, pending.mKey);
    return;
  }
  if (TakeWaiter(aState, pending.mKey)) {
    Dispatch(aState, dispatch::CancelWait{ pending.mKey }, aNow, aActions);
  }
}

void OnSubmit(State& aState,
              Incarnation aFrom,
              message::Submit& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  SubmitCallerChosen(aState,
                     { 0, aFrom, aMessage.mNumber },
                     aMessage.mWait,
                     std::move(aMessage.mJob),
                     aMessage.mHops,
                     aNow,
                     aActions);
}

void OnStatus(State& aState,
              Incarnation aFrom,
              const message::Status& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  const JobRequest jobRequest{ aMessage.mWait ? JobRequestKind::Wait : JobRequestKind::Status,
                               aMessage.mId,
                               aMessage.mTeam,
                               std::nullopt };
  HandleJobRequest(
    aState, { 0, aFrom, aMessage.mNumber }, jobRequest, aMessage.mHops, aNow, aActions);
}

void OnCancel(State& aState,
              Incarnation aFrom,
              const message::Cancel& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  const JobRequest jobRequest{ JobRequestKind::Cancel, aMessage.mId, aMessage.mTeam, std::nullopt };
  HandleJobRequest(
    aState, { 0, aFrom, aMessage.mNumber }, jobRequest, aMessage.mHops, aNow, aActions);
}

void OnReply(State& aState, Incarnation aFrom, const message::Reply& aMessage, Actions& aActions)
{
  const auto it = aState.mForwards.find(aMessage.mNumber);
  if (it == aState.mForwards.end() || it->second.mTo != aFrom) {
    ++aState.mCounters.mLateReplies;
    return;
  }
  const auto forward = TakeForward(aState, aMessage.mNumber);
  if (aMessage.mError) {
    return AnswerOrigin(aState, forward->mOrigin, *aMessage.mError, aActions);
  }
  if (aMessage.mAnswer->mId != forward->mId) {
    return AnswerOrigin(
      aState,
      forward->mOrigin,
      MakeError(ErrorCode::Internal, Verdict::MayHaveRun, "A peer answered for another job."),
      aActions);
  }
  AnswerOrigin(aState, forward->mOrigin, *aMessage.mAnswer, aActions);
}

void FailForwardsTo(State& aState, Incarnation aPeer, Actions& aActions)
{
  const auto numbers = std::move(aState.mPeers[aPeer].mForwards);
  aState.mPeers[aPeer].mForwards.clear();
  std::vector<std::uint64_t> ordered(numbers.begin(), numbers.end());
  std::sort(ordered.begin(), ordered.end());
  for (const auto number : ordered) {
    if (const auto forward = TakeForward(aState, number)) {
      AnswerOrigin(aState, forward->mOrigin, PeerLostError(), aActions);
    }
  }
}

void RunTimers(State& aState, const Now& aNow, Actions& aActions)
{
  while (!aState.mTimers.empty() && std::get<Time>(*aState.mTimers.begin()) <= aNow.mTime) {
    const auto [when, forwarded, key] = *aState.mTimers.begin();
    aState.mTimers.erase(aState.mTimers.begin());
    if (!forwarded) {
      const auto waiter = TakeWaiter(aState, key);
      Dispatch(aState, dispatch::CancelWait{ key }, aNow, aActions);
      auto answer = dispatch::FindJobAnswer(*aState.mDispatch, waiter->mId);
      if (answer) {
        AnswerOrigin(aState, waiter->mOrigin, std::move(*answer), aActions);
      } else {
        AnswerOrigin(aState, waiter->mOrigin, UnknownJobError(), aActions);
      }
      continue;
    }
    const auto forward = TakeForward(aState, key);
    if (forward->mWait && IsLinkUp(aState, forward->mTo)) {
      const JobRequest jobRequest{
        JobRequestKind::Status, forward->mId, forward->mTeam, std::nullopt
      };
      ForwardJobRequest(aState, forward->mOrigin, jobRequest, forward->mTo, 0, aNow, aActions);
      continue;
    }
    AnswerOrigin(aState, forward->mOrigin, PeerLostError(), aActions);
  }
  while (!aState.mRefusalExpiry.empty() && aState.mRefusalExpiry.front().first <= aNow.mTime) {
    aState.mRefusals.erase(aState.mRefusalExpiry.front().second);
    aState.mRefusalExpiry.pop_front();
  }
}

void ForwardWaiter(State& aState,
                   const Waiter& aWaiter,
                   const std::string& aTeam,
                   Incarnation aPeer,
                   const Now& aNow,
                   Actions& aActions)
{
  if (!IsLinkUp(aState, aPeer)) {
    return AnswerOrigin(aState, aWaiter.mOrigin, PeerLostError(), aActions);
  }
  const JobRequest jobRequest{ JobRequestKind::Wait, aWaiter.mId, aTeam, std::nullopt };
  ForwardJobRequest(aState, aWaiter.mOrigin, jobRequest, aPeer, 0, aNow, aActions);
}

} // namespace pollenwall::node
