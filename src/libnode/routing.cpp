#include <algorithm>

#include <pollenwall/hash.h>

#include "state.h"

// Requests of callers and peers: where they are answered, and by whom.

namespace pollenwall::node {
namespace {

/// How long a peer may take for an answer that needs no waiting.
constexpr std::chrono::milliseconds kReplyTime{ 1000 };

/// Callers that the balancer still sends after a planned stop began are served for this long.
constexpr std::chrono::milliseconds kDrainGrace{ 1000 };

/// Refusals kept; beyond it a refusal says "may have run", because a later copy could run.
constexpr std::size_t kMaxRefusals = 200000;

enum class Question
{
  Status,
  Wait,
  Cancel,
};

struct Ask
{
  Question mQuestion = Question::Status;
  std::string mId;
  std::string mTeam;
  std::optional<std::chrono::milliseconds> mWait; ///< Without it a Wait lasts until the job ends.
};

enum class Place
{
  Here,
  Peer,
  Unreachable,
};

struct Route
{
  Place mPlace = Place::Unreachable;
  Incarnation mPeer;
};

std::string RefusalKey(const std::string& aId, std::uint64_t aBodyHash)
{
  return aId + '#' + std::to_string(aBodyHash);
}

Error UnknownJob(std::string aMessage = "The job is not known.")
{
  return MakeError(ErrorCode::UnknownJob, Verdict::MayHaveRun, std::move(aMessage));
}

/// The verdict of an entry that cannot ask the owner: another copy may run elsewhere unless the
/// caller declares that there is none.
Verdict WithoutOwner(const JobSpec& aJob)
{
  return aJob.mResubmission ? Verdict::MayHaveRun : Verdict::NotRun;
}

Error RetryLater(State& aState, ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  auto error = MakeError(aCode, aVerdict, std::move(aMessage));
  error.mRetryAfter =
    Jitter(aState, aState.mOptions.mHeartbeat, aState.mOptions.mLease + aState.mOptions.mLease);
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

/// Sends a question to a peer whose link is up.
void ForwardAsk(State& aState,
                const Origin& aOrigin,
                const Ask& aAsk,
                Incarnation aTo,
                std::uint32_t aHops,
                const Now& aNow,
                Actions& aActions)
{
  const bool waits = aAsk.mQuestion == Question::Wait;
  const auto time = waits ? aAsk.mWait.value_or(std::chrono::hours(24)) : kReplyTime;
  const auto number =
    AddForward(aState, { aOrigin, aTo, aAsk.mId, aAsk.mTeam, waits, aNow.mTime + time });
  if (aAsk.mQuestion == Question::Cancel) {
    Send(aState, aTo, message::Cancel{ number, aAsk.mId, aAsk.mTeam, aHops + 1 }, aActions);
    return;
  }
  Send(aState, aTo, message::Status{ number, aAsk.mId, aAsk.mTeam, waits, aHops + 1 }, aActions);
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
  const auto time = kReplyTime + (aWait ? aJob.mDeadline : std::chrono::milliseconds(0));
  const auto number =
    AddForward(aState, { aOrigin, aTo, aJob.mId, aJob.mTeam, false, aNow.mTime + time });
  Send(aState, aTo, message::Submit{ number, aWait, std::move(aJob), aHops + 1 }, aActions);
}

/// An entry of another data centre to send to; spread by id.
std::optional<Incarnation> EntryOf(const State& aState,
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

Route ToPeer(const State& aState, Incarnation aPeer, std::uint32_t aHops)
{
  const bool possible = IsLinkUp(aState, aPeer) && aHops < message::kMaxHops;
  return { possible ? Place::Peer : Place::Unreachable, aPeer };
}

/// Where a job that is unknown here is answered.
Route RouteOf(const State& aState, const std::string& aId, std::uint32_t aHops)
{
  const auto& options = aState.mOptions;
  if (const auto minted = ParseMintedId(aId)) {
    if (minted->mIncarnation == options.mIncarnation) {
      return { Place::Here, {} };
    }
    if (const auto route = ToPeer(aState, minted->mIncarnation, aHops);
        route.mPlace == Place::Peer) {
      return route;
    }
    // The incarnation is gone or cut off; its data centre's entries read its journal.
    const auto other = minted->mDataCentre == options.mDataCentre
                         ? std::nullopt
                         : EntryOf(aState, minted->mDataCentre, aId);
    return other && aHops == 0 ? ToPeer(aState, *other, aHops) : Route{ Place::Here, {} };
  }
  const auto id = ParseCallerId(aId);
  if (!id) {
    return { Place::Here, {} };
  }
  if (id->mHome != options.mDataCentre) {
    const auto other = EntryOf(aState, id->mHome, aId);
    return other ? ToPeer(aState, *other, aHops) : Route{};
  }
  const auto* view = ownership::CurrentView(aState.mViews);
  if (view == nullptr) {
    return {};
  }
  const auto owner = ownership::OwnerOf(*view, aId);
  return owner == options.mIncarnation ? Route{ Place::Here, {} } : ToPeer(aState, owner, aHops);
}

/// Remembers a refusal that says "not run" and gives it. Without the memory a later copy of the
/// submission could run.
void RefuseFinally(State& aState,
                   const Origin& aOrigin,
                   const std::string& aId,
                   std::uint64_t aBodyHash,
                   Error aError,
                   const Now& aNow,
                   Actions& aActions)
{
  if (aState.mRefusals.size() >= kMaxRefusals) {
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
  dispatch::Submit submit{ 0, std::move(aJob) };
  submit.mRequest = AddWaiter(
    aState,
    { aOrigin, !aWait, aCallerChosen, submit.mJob.mId, submit.mJob.mBodyHash, std::nullopt });
  Dispatch(aState, submit, aNow, aActions);
}

/// A submission whose job dispatch knows, or that was refused before, or whose job was handed over.
/// Returns false when it is new here.
bool JoinKnown(State& aState,
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
  if (const auto moved = aState.mMoved.find(aJob.mId); moved != aState.mMoved.end()) {
    if (IsLinkUp(aState, moved->second) && aHops < message::kMaxHops) {
      ForwardSubmit(aState, aOrigin, aWait, aJob, moved->second, aHops, aNow, aActions);
    } else {
      AnswerOrigin(
        aState, aOrigin, UnknownJob("The job was handed to an entry out of reach."), aActions);
    }
    return true;
  }
  const auto known = dispatch::FindKnown(*aState.mDispatch, aJob.mId);
  if (!known) {
    return false;
  }
  if (known->mTeam != aJob.mTeam || known->mBodyHash != aJob.mBodyHash) {
    if (aJob.mBornMs > aNow.mUnixMs + aState.mOptions.mMaxAhead.count()) {
      return false; // Refused for its birth: a refusal that is remembered needs a bounded one.
    }
    RefuseFinally(
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
    AnswerOrigin(aState, aOrigin, *dispatch::Find(*aState.mDispatch, aJob.mId), aActions);
  }
  return true;
}

/// A caller-chosen submission that is new to its owner. This is the only place where one is
/// accepted. The caller's clock is never trusted: a birth in doubt means "may have run".
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
      aState.mLease.mVersion < claim.mOwnedSince) {
    return AnswerOrigin(
      aState,
      aOrigin,
      RetryLater(
        aState, ErrorCode::OwnerUnsettled, WithoutOwner(aJob), "The id's owner is changing."),
      aActions);
  }
  if (aJob.mBornMs > aNow.mUnixMs + options.mMaxAhead.count()) {
    // Another copy can arrive when its birth has become acceptable, also at a later owner that does
    // not know of this refusal. "Not run" is therefore said only when there is no other copy.
    auto error = MakeError(ErrorCode::ClockAhead,
                           WithoutOwner(aJob),
                           "The birth is ahead of this entry's clock, which shows " +
                             std::to_string(aNow.mUnixMs) + " ms.");
    error.mRetryAfter = std::chrono::milliseconds(aJob.mBornMs - aNow.mUnixMs) - options.mMaxAhead;
    return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
  }
  const auto slack = (options.mMaxAhead + options.mMaxClockSkew).count();
  const bool mayHaveRunBefore = aJob.mBornMs <= claim.mSettled->mUnixMs + slack;
  // An answer is forgotten after the retention time, so an older birth cannot be told from new. The
  // time is one that never steps back, as the retention does not.
  const auto wallMs = aState.mWallUs / 1000;
  const bool mayBeForgotten =
    aJob.mBornMs <= wallMs - options.mDispatch.mAnswerRetention.count() + slack;
  if (aJob.mResubmission && (mayHaveRunBefore || mayBeForgotten)) {
    if (const auto it = aState.mKnowledge.find(aJob.mId); it != aState.mKnowledge.end() &&
                                                          it->second.mTeam == aJob.mTeam &&
                                                          it->second.mBodyHash == aJob.mBodyHash) {
      auto error = UnknownJob("The job ended at another entry; its results are not kept here.");
      error.mVerdict = it->second.mVerdict;
      return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
    }
    const auto previous = ownership::PreviousOwner(aState.mViews, aJob.mId, options.mIncarnation);
    const bool fromPrevious = aOrigin.mPeer == previous;
    if (mayHaveRunBefore && !fromPrevious && IsLinkUp(aState, previous)) {
      // It joins the job if it has it. The hop count keeps it from being sent on.
      return ForwardSubmit(
        aState, aOrigin, aWait, std::move(aJob), previous, message::kMaxHops - 1, aNow, aActions);
    }
    return AnswerOrigin(
      aState, aOrigin, UnknownJob("An earlier copy may have run; its answer is lost."), aActions);
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
    return AnswerOrigin(
      aState,
      aOrigin,
      RetryLater(
        aState, ErrorCode::NotReady, WithoutOwner(aJob), "This entry has no configuration yet."),
      aActions);
  }
  if (!aState.mConfiguration.mConfiguration->mDataCentres.contains(id->mHome)) {
    return AnswerOrigin(aState,
                        aOrigin,
                        MakeError(ErrorCode::BadRequest,
                                  WithoutOwner(aJob),
                                  "The id's home is no configured data centre."),
                        aActions);
  }
  if (JoinKnown(aState, aOrigin, aWait, aJob, aHops, aNow, aActions)) {
    return;
  }
  const auto route = RouteOf(aState, aJob.mId, aHops);
  switch (route.mPlace) {
    case Place::Here:
      return SubmitAsOwner(aState, aOrigin, aWait, std::move(aJob), aNow, aActions);
    case Place::Peer:
      return ForwardSubmit(
        aState, aOrigin, aWait, std::move(aJob), route.mPeer, aHops, aNow, aActions);
    case Place::Unreachable:
      break;
  }
  AnswerOrigin(
    aState,
    aOrigin,
    RetryLater(
      aState, ErrorCode::OwnerUnreachable, WithoutOwner(aJob), "The id's owner cannot be reached."),
    aActions);
}

/// A question about a job that dispatch knows.
void AskHere(State& aState,
             const Origin& aOrigin,
             const Ask& aAsk,
             const Now& aNow,
             Actions& aActions)
{
  if (aAsk.mQuestion == Question::Cancel) {
    Dispatch(aState, dispatch::Cancel{ aAsk.mId }, aNow, aActions);
  }
  auto answer = dispatch::Find(*aState.mDispatch, aAsk.mId);
  if (aAsk.mQuestion != Question::Wait || answer->mState != JobState::Running) {
    return AnswerOrigin(aState, aOrigin, std::move(*answer), aActions);
  }
  Waiter waiter{ aOrigin, false, false, aAsk.mId, 0, std::nullopt };
  if (aAsk.mWait) {
    waiter.mUntil = aNow.mTime + *aAsk.mWait;
  }
  const auto request = AddWaiter(aState, std::move(waiter));
  Dispatch(aState, dispatch::Wait{ request, aAsk.mId }, aNow, aActions);
}

void Answer(State& aState,
            const Origin& aOrigin,
            const Ask& aAsk,
            std::uint32_t aHops,
            const Now& aNow,
            Actions& aActions)
{
  if (const auto known = dispatch::FindKnown(*aState.mDispatch, aAsk.mId)) {
    if (known->mTeam != aAsk.mTeam) {
      return AnswerOrigin(aState, aOrigin, UnknownJob(), aActions);
    }
    return AskHere(aState, aOrigin, aAsk, aNow, aActions);
  }
  if (const auto moved = aState.mMoved.find(aAsk.mId);
      moved != aState.mMoved.end() && IsLinkUp(aState, moved->second)) {
    return ForwardAsk(aState, aOrigin, aAsk, moved->second, aHops, aNow, aActions);
  }
  const auto known = aState.mKnowledge.find(aAsk.mId);
  if (known != aState.mKnowledge.end() && known->second.mTeam == aAsk.mTeam &&
      known->second.mState != JobState::Running) {
    auto error = UnknownJob(known->second.mState == JobState::Complete
                              ? "The job ended complete; its results are not kept here."
                              : "The job failed; its details are not kept here.");
    error.mVerdict = known->second.mVerdict;
    return AnswerOrigin(aState, aOrigin, std::move(error), aActions);
  }
  auto route = RouteOf(aState, aAsk.mId, aHops);
  if (route.mPlace == Place::Here && ParseCallerId(aAsk.mId)) {
    // An earlier owner that is alive may still have the job. It does not send the question on.
    const auto previous =
      ownership::PreviousOwner(aState.mViews, aAsk.mId, aState.mOptions.mIncarnation);
    if (aOrigin.mPeer != previous && ToPeer(aState, previous, aHops).mPlace == Place::Peer) {
      return ForwardAsk(aState, aOrigin, aAsk, previous, message::kMaxHops - 1, aNow, aActions);
    }
  }
  switch (route.mPlace) {
    case Place::Here:
      return AnswerOrigin(aState, aOrigin, UnknownJob(), aActions);
    case Place::Peer:
      return ForwardAsk(aState, aOrigin, aAsk, route.mPeer, aHops, aNow, aActions);
    case Place::Unreachable:
      break;
  }
  if (aHops >= message::kMaxHops) {
    return AnswerOrigin(aState, aOrigin, UnknownJob(), aActions);
  }
  AnswerOrigin(aState,
               aOrigin,
               RetryLater(aState,
                          ErrorCode::OwnerUnreachable,
                          Verdict::MayHaveRun,
                          "The job's owner cannot be reached."),
               aActions);
}

Error PeerLost()
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

/// Removes the waiter of a request to dispatch.
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

void CarryAccepted(State& aState, dispatch::Accepted& aAction, Actions& aActions)
{
  const auto it = aState.mWaiters.find(aAction.mRequest);
  if (it == aState.mWaiters.end() || !it->second.mUntilAccepted) {
    return;
  }
  const auto waiter = TakeWaiter(aState, aAction.mRequest);
  JobAnswer answer;
  answer.mId = std::move(aAction.mId);
  AnswerOrigin(aState, waiter->mOrigin, std::move(answer), aActions);
}

void CarryAnswer(State& aState, dispatch::Answer& aAction, Actions& aActions)
{
  if (const auto waiter = TakeWaiter(aState, aAction.mRequest)) {
    AnswerOrigin(aState, waiter->mOrigin, std::move(aAction.mAnswer), aActions);
  }
}

void CarryRefusal(State& aState, dispatch::Refuse& aAction, const Now& aNow, Actions& aActions)
{
  const auto waiter = TakeWaiter(aState, aAction.mRequest);
  if (!waiter) {
    return;
  }
  if (waiter->mCallerChosen && aAction.mError.mVerdict == Verdict::NotRun) {
    return RefuseFinally(aState,
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
      RetryLater(
        aState, ErrorCode::NotReady, Verdict::NotRun, "This entry has no configuration yet."),
      aActions);
  }
  if (aState.mDrainStarted && aNow.mTime >= *aState.mDrainStarted + kDrainGrace) {
    return AnswerOrigin(
      aState,
      origin,
      RetryLater(aState, ErrorCode::Stopping, Verdict::NotRun, "This entry is stopping."),
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
  const Ask ask{ waits ? Question::Wait : Question::Status,
                 aEvent.mId,
                 aEvent.mTeam,
                 waits ? std::optional(aEvent.mWait) : std::nullopt };
  Answer(aState, { aEvent.mRequest, {}, 0 }, ask, 0, aNow, aActions);
}

void OnCallerCancel(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions)
{
  const Ask ask{ Question::Cancel, aEvent.mId, aEvent.mTeam, std::nullopt };
  Answer(aState, { aEvent.mRequest, {}, 0 }, ask, 0, aNow, aActions);
}

void OnCallerGone(State& aState, const CallerGone& aEvent, const Now& aNow, Actions& aActions)
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
    Dispatch(aState, dispatch::Unwait{ pending.mKey }, aNow, aActions);
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
  const Ask ask{
    aMessage.mWait ? Question::Wait : Question::Status, aMessage.mId, aMessage.mTeam, std::nullopt
  };
  Answer(aState, { 0, aFrom, aMessage.mNumber }, ask, aMessage.mHops, aNow, aActions);
}

void OnCancel(State& aState,
              Incarnation aFrom,
              const message::Cancel& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  const Ask ask{ Question::Cancel, aMessage.mId, aMessage.mTeam, std::nullopt };
  Answer(aState, { 0, aFrom, aMessage.mNumber }, ask, aMessage.mHops, aNow, aActions);
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

void FailForwards(State& aState, Incarnation aPeer, Actions& aActions)
{
  const auto numbers = std::move(aState.mPeers[aPeer].mForwards);
  aState.mPeers[aPeer].mForwards.clear();
  std::vector<std::uint64_t> ordered(numbers.begin(), numbers.end());
  std::sort(ordered.begin(), ordered.end());
  for (const auto number : ordered) {
    if (const auto forward = TakeForward(aState, number)) {
      AnswerOrigin(aState, forward->mOrigin, PeerLost(), aActions);
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
      Dispatch(aState, dispatch::Unwait{ key }, aNow, aActions);
      auto answer = dispatch::Find(*aState.mDispatch, waiter->mId);
      if (answer) {
        AnswerOrigin(aState, waiter->mOrigin, std::move(*answer), aActions);
      } else {
        AnswerOrigin(aState, waiter->mOrigin, UnknownJob(), aActions);
      }
      continue;
    }
    const auto forward = TakeForward(aState, key);
    if (forward->mWait && IsLinkUp(aState, forward->mTo)) {
      const Ask ask{ Question::Status, forward->mId, forward->mTeam, std::nullopt };
      ForwardAsk(aState, forward->mOrigin, ask, forward->mTo, 0, aNow, aActions);
      continue;
    }
    AnswerOrigin(aState, forward->mOrigin, PeerLost(), aActions);
  }
  while (!aState.mRefusalExpiry.empty() && aState.mRefusalExpiry.front().first <= aNow.mTime) {
    aState.mRefusals.erase(aState.mRefusalExpiry.front().second);
    aState.mRefusalExpiry.pop_front();
  }
}

void WaitAtPeer(State& aState,
                const Waiter& aWaiter,
                const std::string& aTeam,
                Incarnation aPeer,
                const Now& aNow,
                Actions& aActions)
{
  if (!IsLinkUp(aState, aPeer)) {
    return AnswerOrigin(aState, aWaiter.mOrigin, PeerLost(), aActions);
  }
  const Ask ask{ Question::Wait, aWaiter.mId, aTeam, std::nullopt };
  ForwardAsk(aState, aWaiter.mOrigin, ask, aPeer, 0, aNow, aActions);
}

} // namespace pollenwall::node
