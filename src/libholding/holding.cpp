#include <pollenwall/holding.h>

#include <algorithm>
#include <set>
#include <utility>

#include "leases.h"

namespace pollenwall::holding {
namespace {

using std::chrono::milliseconds;

/// Longest wait of a poll while runs of an earlier holder are being stopped.
constexpr milliseconds kClearingPollWait{ 50 };
/// Delay before the next poll of an upstream that refused or did not answer the last one.
constexpr milliseconds kPollRetryDelay{ 100 };

Session* Find(State& aState, std::string_view aUpstream, std::uint64_t aNumber)
{
  const auto it = aState.mSessions.find(aUpstream);
  return it == aState.mSessions.end() || it->second.mNumber != aNumber ? nullptr : &it->second;
}

void AddNote(Actions& aActions, std::string aEvent, std::string_view aUpstream, std::string aDetail)
{
  aActions.emplace_back(Note{ std::move(aEvent), std::string(aUpstream), std::move(aDetail) });
}

void ReportUsable(std::string_view aUpstream, Session& aSession, Actions& aActions)
{
  const bool usable = aSession.mPhase == SessionPhase::Ready && !aSession.mReleasing &&
                      aSession.mLostPolls == 0 && !aSession.mRestartSuspectedSince;
  if (usable != aSession.mUsable) {
    aSession.mUsable = usable;
    aActions.emplace_back(UsableChanged{ std::string(aUpstream), usable });
  }
}

void SetPhase(std::string_view aUpstream, Session& aSession, SessionPhase aPhase, Actions& aActions)
{
  aSession.mPhase = aPhase;
  ReportUsable(aUpstream, aSession, aActions);
}

void ReportEnd(std::string_view aUpstream,
               const Run& aRun,
               const OwnRun& aOwn,
               EndEvidence aEvidence,
               TaskOutcome aOutcome,
               Actions& aActions)
{
  aActions.emplace_back(Ended{ std::string(aUpstream),
                               aRun.mTask,
                               aRun.mNumber,
                               std::move(aOutcome),
                               aEvidence,
                               aOwn.mPhase == RunPhase::Running,
                               aOwn.mCopiesSent });
}

void ReportAllRunsLost(std::string_view aUpstream,
                       Session& aSession,
                       EndEvidence aEvidence,
                       ErrorCode aCode,
                       Actions& aActions)
{
  for (const auto& [run, own] : aSession.mRuns) {
    ReportEnd(aUpstream, run, own, aEvidence, { Verdict::MayHaveRun, aCode }, aActions);
  }
  aSession.mRuns.clear();
}

/// Records an answer and returns whether it shows that the upstream runs another incarnation. It
/// does not if the upstream has answered a later order or has changed its address since: the order
/// went to an address that the upstream no longer has.
bool IsReplaced(Session& aSession, OrderStatus aStatus, Time aSentAt)
{
  switch (aStatus) {
    case OrderStatus::OtherIncarnation:
      return aSentAt >= aSession.mAnsweredSentAt && aSentAt >= aSession.mAddressSince;
    case OrderStatus::NotSent:
    case OrderStatus::ServerGone:
    case OrderStatus::Unknown:
      return false;
    default:
      aSession.mAnsweredSentAt = std::max(aSession.mAnsweredSentAt, aSentAt);
      return false;
  }
}

/// Ends the hold after an order sent at aSentAt was fenced, unless its token was an earlier one.
void MarkLost(std::string_view aUpstream, Session& aSession, Time aSentAt, Actions& aActions)
{
  if (aSession.mPhase == SessionPhase::Lost || aSentAt < aSession.mTokenSince) {
    return;
  }
  const bool wasHeld = aSession.mPhase != SessionPhase::Claiming;
  AddNote(aActions,
          wasHeld ? "hold_lost" : "claim_fenced",
          aUpstream,
          "the upstream has seen a higher fencing token");
  SetPhase(aUpstream, aSession, SessionPhase::Lost, aActions);
  aActions.emplace_back(HoldLost{ std::string(aUpstream), wasHeld });
}

/// Whether a run is known to be at work at the process whose clock is known.
bool IsAtKnownProcess(const OwnRun& aOwn)
{
  return aOwn.mPhase == RunPhase::Running && aOwn.mLeaseKnown;
}

/// Reports that the upstream has crashed or may have, and the runs that it may have had.
void ReportCrash(State& aState,
                 std::string_view aUpstream,
                 Session& aSession,
                 CrashState aCrashState,
                 Actions& aActions)
{
  const bool isReported = aSession.mCrashNumber != 0;
  if ((aSession.mRuns.empty() && aSession.mLapsedRuns.empty()) ||
      (isReported && aSession.mCrashState >= aCrashState)) {
    return;
  }
  aSession.mCrashNumber = isReported ? aSession.mCrashNumber : ++aState.mLastCrash;
  aSession.mCrashState = aCrashState;
  Crashed crashed{ std::string(aUpstream), aSession.mCrashNumber, aCrashState, {}, {},
                   aSession.mBornMs };
  for (const auto& [run, began] : aSession.mLapsedRuns) {
    (began ? crashed.mRuns : crashed.mUnansweredRuns).push_back(run);
  }
  for (const auto& [run, own] : aSession.mRuns) {
    (IsAtKnownProcess(own) ? crashed.mRuns : crashed.mUnansweredRuns).push_back(run);
  }
  aActions.emplace_back(std::move(crashed));
}

/// Withdraws the report of a crash when the same process answers again.
void WithdrawCrash(std::string_view aUpstream, Session& aSession, Actions& aActions)
{
  if (aSession.mCrashNumber != 0) {
    aActions.emplace_back(
      Crashed{ std::string(aUpstream), aSession.mCrashNumber, CrashState::Cleared, {}, {}, {} });
  }
}

/// Ends a session whose upstream runs another incarnation. No run of the session exists there.
void DropSession(State& aState, std::string_view aUpstream, Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  auto session = std::move(it->second);
  aState.mSessions.erase(it);
  ReportCrash(aState, aUpstream, session, CrashState::Confirmed, aActions);
  ReportAllRunsLost(aUpstream, session, EndEvidence::Replaced, ErrorCode::UpstreamLost, aActions);
  if (session.mUsable) {
    aActions.emplace_back(UsableChanged{ std::string(aUpstream), false });
  }
  aActions.emplace_back(OtherIncarnationFound{ std::string(aUpstream) });
}

/// Makes the upstream refuse the orders sent so far from the next one on: an order without an
/// answer may be executed seconds later, when its run is over.
void RaiseToken(const State& aState, Session& aSession, const Now& aNow)
{
  aSession.mToken = MakeToken(aState.mOptions.mTokenSalt, aNow.mUnixMs, aSession.mToken);
  aSession.mTokenSince = aNow.mTime;
}

/// Raises the token, and starts a new session, so that answers to earlier orders are ignored.
void FenceEarlierOrders(State& aState, Session& aSession, const Now& aNow)
{
  aSession.mNumber = ++aState.mLastSession;
  RaiseToken(aState, aSession, aNow);
  aSession.mPollPending = false;
  aSession.mPollsSent = 0;
}

/// Asks at once which process has the upstream's place. Until it has answered, no task is started,
/// no lease is renewed, and no ends are acknowledged, which the new process would delete.
void SuspectRestart(std::string_view aUpstream,
                    Session& aSession,
                    std::string_view aEvidence,
                    const Now& aNow,
                    Actions& aActions)
{
  if (aSession.mRestartSuspectedSince || aSession.mPhase == SessionPhase::Claiming ||
      aSession.mPhase == SessionPhase::Lost) {
    return;
  }
  AddNote(aActions, "upstream_restart_suspected", aUpstream, std::string(aEvidence));
  aSession.mRestartSuspectedSince = aNow.mTime;
  aSession.mPollPending = false;
  aSession.mPollsSent = 0;
  aSession.mNextPollAt = aNow.mTime;
  ReportUsable(aUpstream, aSession, aActions);
}

/// Handles an answer that is not of the process whose clock is known. It may be of a former one if
/// the order was sent before that clock was read.
void HandleOtherClock(std::string_view aUpstream,
                      Session& aSession,
                      Time aSentAt,
                      const Now& aNow,
                      Actions& aActions)
{
  if (aSentAt >= aSession.mClockReadBefore) {
    SuspectRestart(aUpstream, aSession, "clock of an answer", aNow, aActions);
  }
}

/// Records the upstream's clock in the answer to a start. Returns whether the order's lease end is
/// on that clock; otherwise the order may have given the longest lease.
bool RecordStartClock(const State& aState,
                      Session& aSession,
                      const StartAnswered& aEvent,
                      const Now& aNow,
                      Actions& aActions)
{
  if (aEvent.mStatus == OrderStatus::NotSent || aEvent.mStatus == OrderStatus::ServerGone) {
    return false;
  }
  const bool isSame =
    aEvent.mClockMs &&
    IsOfSameProcess(aState.mOptions, aSession, *aEvent.mClockMs, aEvent.mSentAt, aNow.mTime);
  if (isSame) {
    UpdateClock(aSession, aEvent.mClockMs, aEvent.mSentAt, aNow.mTime);
    if (aEvent.mSentAt >= aSession.mProcessSince) {
      return true;
    }
  }
  // An order that is executed after its time-out is not allowed for: nothing bounds its delay.
  AssumeLongestUnknownLease(
    aState.mOptions,
    aSession,
    std::min(aNow.mTime, aEvent.mSentAt + Duration(aState.mOptions.mAnswerTimeout)));
  if (aEvent.mClockMs && !isSame) {
    HandleOtherClock(aEvent.mUpstream, aSession, aEvent.mSentAt, aNow, aActions);
  }
  return false;
}

void SendStopOf(std::string_view aUpstream,
                const Session& aSession,
                const Run& aRun,
                const Now& aNow,
                Actions& aActions)
{
  aActions.emplace_back(
    SendStop{ std::string(aUpstream), aSession.mNumber, aRun, aSession.mToken, aNow.mTime });
}

void SendOwnStop(std::string_view aUpstream,
                 const Session& aSession,
                 const Run& aRun,
                 OwnRun& aOwn,
                 const Now& aNow,
                 Actions& aActions)
{
  aOwn.mStopSentAt = aNow.mTime;
  SendStopOf(aUpstream, aSession, aRun, aNow, aActions);
}

/// The number up to which the next poll acknowledges ended runs. They are acknowledged until one
/// such poll has been answered: a later process numbers its ends anew, and would delete them.
std::uint64_t EndToAcknowledge(const Session& aSession)
{
  const bool isAcknowledged = aSession.mAnsweredPollSentAt > aSession.mLastEndSince;
  return isAcknowledged || aSession.mRestartSuspectedSince ? 0 : aSession.mLastEnd;
}

/// Whether the next poll may renew the lease. While the lease of a run is unknown, only the first
/// poll since an answer does: each renewal delays the lapse of that run.
bool IsRenewalAllowed(const Session& aSession)
{
  return !aSession.mRestartSuspectedSince &&
         (aSession.mPollsSent == 0 || !HasRunOfUnknownLease(aSession));
}

void SendNextPoll(State& aState,
                  std::string_view aUpstream,
                  Session& aSession,
                  const Now& aNow,
                  Actions& aActions)
{
  const auto& options = aState.mOptions;
  SendPoll poll{ std::string(aUpstream),
                 aSession.mNumber,
                 aSession.mToken,
                 EndToAcknowledge(aSession),
                 {},
                 {},
                 aNow.mTime };
  if (aSession.mPhase == SessionPhase::Ready && !aSession.mRuns.empty()) {
    if (IsRenewalAllowed(aSession)) {
      poll.mLeaseEndMs = NextLeaseEnd(options, aSession, aNow.mTime);
      AssumeLongestUnknownLease(options, aSession, aNow.mTime + options.mAnswerTimeout);
    }
    poll.mWait = options.mPollWait;
  } else if (aSession.mPhase == SessionPhase::Clearing && !aSession.mForeignRuns.empty()) {
    poll.mWait = kClearingPollWait;
  }
  // After an unanswered poll, or if the upstream may have restarted, the next poll asks at once.
  if (aSession.mPollsSent > 0 || aSession.mRestartSuspectedSince) {
    poll.mWait = milliseconds{ 0 };
  }
  ++aSession.mPollsSent;
  aSession.mPollPending = true;
  aSession.mPollSentAt = aNow.mTime;
  aSession.mPollWait = poll.mWait;
  aActions.emplace_back(std::move(poll));
}

/// Whether another poll is sent although the latest one is pending. Its answer may be lost, and
/// until the next one the ends of runs are not known and their capacity stands idle.
bool IsPollRepeatDue(const Options& aOptions, const Session& aSession, const Now& aNow)
{
  return aSession.mPollPending && aSession.mPhase != SessionPhase::Silent &&
         aSession.mPollsSent < aOptions.mMaxLostPolls &&
         aNow.mTime - aSession.mPollSentAt >= aSession.mPollWait + aOptions.mPollRepeatDelay;
}

void HandleEnd(std::string_view aUpstream,
               Session& aSession,
               const ListedEnd& aEnd,
               const Now& aNow,
               Actions& aActions)
{
  aSession.mLastEnd = aEnd.mNumber;
  aSession.mLastEndSince = aNow.mTime;
  const auto it = aSession.mRuns.find(aEnd.mRun);
  if (it == aSession.mRuns.end()) {
    return;
  }
  const auto report = [&](Verdict aVerdict, std::optional<ErrorCode> aCode) {
    const auto runTime = aNow.mTime - it->second.mOrderedAt;
    ReportEnd(aUpstream,
              aEnd.mRun,
              it->second,
              EndEvidence::Listed,
              { aVerdict, aCode, "", runTime },
              aActions);
  };
  switch (aEnd.mEnd) {
    case RunEnd::Done:
      report(Verdict::Ran, std::nullopt);
      break;
    case RunEnd::Failed:
      report(Verdict::Ran, ErrorCode::TaskFailed);
      break;
    case RunEnd::Stopped:
    case RunEnd::GroupBroken:
    case RunEnd::GroupIncomplete:
      report(Verdict::MayHaveRun, ErrorCode::Cancelled);
      break;
    case RunEnd::Lapsed:
      report(Verdict::MayHaveRun, ErrorCode::UpstreamLost);
      break;
  }
  aSession.mRuns.erase(it);
}

/// Handles that no answer tells whether a run has begun, once no copy of its order is pending.
void MarkUnknown(std::string_view aUpstream,
                 const Session& aSession,
                 const Run& aRun,
                 OwnRun& aOwn,
                 const Now& aNow,
                 Actions& aActions)
{
  if (aOwn.mPhase != RunPhase::Starting || aOwn.mCopiesPending > 0) {
    return;
  }
  aOwn.mPhase = RunPhase::Unknown;
  AddNote(aActions, "start_unanswered", aUpstream, ToString(aRun.mTask));
  if (aOwn.mStopRequested && aSession.mPhase != SessionPhase::Lost) {
    SendOwnStop(aUpstream, aSession, aRun, aOwn, aNow, aActions);
  }
}

/// Whether the upstream has refused every copy of the order. One refused copy shows nothing about
/// the others: they may have been executed before it, or may be later.
bool NeverBegins(const OwnRun& aOwn)
{
  return aOwn.mPhase != RunPhase::Running && IsEachCopyAnswered(aOwn);
}

/// The code of a run that an upstream refused to start.
ErrorCode CodeOfRefusal(OrderStatus aStatus)
{
  switch (aStatus) {
    case OrderStatus::Fenced:
      return ErrorCode::OwnerUnsettled;
    case OrderStatus::OtherIncarnation:
      return ErrorCode::UpstreamLost;
    case OrderStatus::NoRoom:
    case OrderStatus::Unavailable:
      return ErrorCode::Overloaded;
    case OrderStatus::Rejected:
      return ErrorCode::BadRequest;
    case OrderStatus::NotSent:
    case OrderStatus::ServerGone:
      return ErrorCode::OwnerUnreachable;
    default:
      return ErrorCode::Expired;
  }
}

/// Ends the runs of an upstream that does not answer, or is no longer held, whose leases have
/// lapsed; HaveKnownLeasesLapsed holds.
void EndLapsedRuns(State& aState,
                   std::string_view aUpstream,
                   Session& aSession,
                   const Now& aNow,
                   Actions& aActions)
{
  std::vector<Run> lapsed;
  for (const auto& [run, own] : aSession.mRuns) {
    if (HasRunLapsed(aState.mOptions, aSession, own, aNow.mTime)) {
      lapsed.push_back(run);
    }
  }
  if (lapsed.empty()) {
    return;
  }
  const bool isLost = aSession.mPhase == SessionPhase::Lost;
  AddNote(aActions, "runs_lapsed", aUpstream, std::to_string(lapsed.size()));
  if (!isLost) {
    ReportCrash(aState, aUpstream, aSession, CrashState::Suspected, aActions);
  }
  for (const auto& run : lapsed) {
    const auto it = aSession.mRuns.find(run);
    aSession.mLapsedRuns.push_back({ run, IsAtKnownProcess(it->second) });
    const auto code = isLost ? ErrorCode::OwnerUnsettled : ErrorCode::UpstreamLost;
    ReportEnd(
      aUpstream, run, it->second, EndEvidence::Lapsed, { Verdict::MayHaveRun, code }, aActions);
    aSession.mRuns.erase(it);
  }
  if (isLost) {
    return;
  }
  // Answers to the orders of the other runs still count.
  aSession.mRuns.empty() ? FenceEarlierOrders(aState, aSession, aNow)
                         : RaiseToken(aState, aSession, aNow);
}

/// Sends another copy of each order to start a run that has not been answered for
/// mStartRepeatDelay since the latest copy. Without it, one lost order costs its job half a second.
void RepeatStarts(const State& aState,
                  std::string_view aUpstream,
                  Session& aSession,
                  const Now& aNow,
                  Actions& aActions)
{
  if (!aSession.mUsable || aState.mAllStartsWithheld ||
      aState.mStartsWithheld.contains(aUpstream)) {
    return;
  }
  for (auto& [run, own] : aSession.mRuns) {
    if (own.mPhase != RunPhase::Starting || own.mCopiesSent >= aState.mOptions.mMaxStartCopies ||
        own.mStopRequested ||
        aNow.mTime - own.mOrderedAt < own.mCopiesSent * aState.mOptions.mStartRepeatDelay) {
      continue;
    }
    ++own.mCopiesSent;
    ++own.mCopiesPending;
    own.mLastCopyAt = aNow.mTime;
    aActions.emplace_back(SendStart{ std::string(aUpstream),
                                     aSession.mNumber,
                                     run,
                                     aSession.mToken,
                                     NextLeaseEnd(aState.mOptions, aSession, aNow.mTime),
                                     own.mPayload,
                                     aNow.mTime });
  }
}

/// Compares the upstream's list of running tasks with the runs of the session.
void HandleRunning(const Options& aOptions,
                   std::string_view aUpstream,
                   Session& aSession,
                   const PollAnswered& aEvent,
                   const Now& aNow,
                   Actions& aActions)
{
  std::vector<Run> foreign;
  std::set<Run> listed;
  for (const auto& [run, part] : aEvent.mRunning) {
    listed.insert(run);
    const auto it = aSession.mRuns.find(run);
    if (it != aSession.mRuns.end()) {
      if (it->second.mPhase != RunPhase::Running) {
        it->second.mPhase = RunPhase::Running;
        it->second.mRunningSince = aNow.mTime;
      }
      aActions.emplace_back(Progress{ std::string(aUpstream), run.mTask, run.mNumber, part });
      continue;
    }
    foreign.push_back(run);
    if (aSession.mPhase != SessionPhase::Lost) {
      SendStopOf(aUpstream, aSession, run, aNow, aActions);
    }
  }
  aSession.mForeignRuns = std::move(foreign);
  std::vector<Run> gone;
  for (auto& [run, own] : aSession.mRuns) {
    const bool isListed = listed.contains(run);
    if (aSession.mTokenAccepted && MakesLeaseKnown(aOptions, own, aEvent, isListed)) {
      own.mLeaseKnown = true;
    }
    if (isListed) {
      continue;
    }
    // A copy of the order that is still on its way would be executed by an upstream that has
    // restarted since.
    const bool mayArrive = own.mCopyUnknown || own.mCopiesPending > 0;
    const bool vanished = own.mPhase == RunPhase::Running && own.mRunningSince < aEvent.mSentAt;
    if ((vanished && !mayArrive) || (own.mStopConfirmed && own.mStopConfirmedAt < aEvent.mSentAt)) {
      gone.push_back(run);
    } else if ((vanished || own.mPhase == RunPhase::Unknown) && own.mOrderedAt < aEvent.mSentAt &&
               !own.mStopSentAt) {
      // The start may still arrive; after a confirmed stop the upstream rejects it.
      SendOwnStop(aUpstream, aSession, run, own, aNow, aActions);
    }
  }
  for (const auto& run : gone) {
    const auto it = aSession.mRuns.find(run);
    const auto& own = it->second;
    const bool mayHaveRun = own.mPhase == RunPhase::Running || own.mProcessEnded;
    ReportEnd(aUpstream,
              run,
              own,
              own.mStopConfirmed ? EndEvidence::StopConfirmed : EndEvidence::Vanished,
              { mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, ErrorCode::UpstreamLost },
              aActions);
    aSession.mRuns.erase(it);
  }
}

} // namespace

std::string_view ToString(OrderStatus aStatus)
{
  static constexpr std::array<std::string_view, kOrderStatuses> kNames{
    "done",     "fenced",      "superseded",  "late",
    "no_room",  "rejected",    "unavailable", "other_incarnation",
    "not_sent", "server_gone", "unknown"
  };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

std::string_view ToString(EndEvidence aEvidence)
{
  static constexpr std::array<std::string_view, kEndEvidences> kNames{
    "not_ordered", "refused", "listed", "stop_confirmed", "vanished", "replaced", "lapsed"
  };
  return kNames.at(static_cast<std::size_t>(aEvidence));
}

std::uint64_t MakeToken(std::uint16_t aSalt, UnixMs aUnixMs, std::uint64_t aLeast)
{
  const auto clock = static_cast<std::uint64_t>(std::max<UnixMs>(0, aUnixMs) / kTokenUnit.count());
  return (std::max(clock, (aLeast >> kTokenSaltBits) + 1) << kTokenSaltBits) | aSalt;
}

void AskForProcess(State& aState, std::string_view aUpstream, const Now& aNow)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it != aState.mSessions.end()) {
    it->second.mProcessAskedAt = aNow.mTime;
  }
}

std::uint64_t TokenOf(const State& aState, std::string_view aUpstream)
{
  const auto it = aState.mSessions.find(aUpstream);
  return it == aState.mSessions.end() ? 0 : it->second.mToken;
}

void Claim(State& aState,
           std::string_view aUpstream,
           std::uint64_t aLeastToken,
           const Now& aNow,
           Actions& aActions)
{
  if (aState.mSessions.contains(aUpstream)) {
    return;
  }
  Session session;
  session.mNumber = ++aState.mLastSession;
  session.mToken = MakeToken(aState.mOptions.mTokenSalt, aNow.mUnixMs, aLeastToken);
  auto& stored = aState.mSessions.emplace(aUpstream, std::move(session)).first->second;
  SendNextPoll(aState, aUpstream, stored, aNow, aActions);
}

void Release(State& aState, std::string_view aUpstream, Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it != aState.mSessions.end() && !it->second.mReleasing) {
    it->second.mReleasing = true;
    ReportUsable(aUpstream, it->second, aActions);
  }
}

void CancelRelease(State& aState, std::string_view aUpstream, Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it != aState.mSessions.end() && it->second.mReleasing) {
    it->second.mReleasing = false;
    ReportUsable(aUpstream, it->second, aActions);
  }
}

std::optional<SendStart> Start(State& aState,
                               std::string_view aUpstream,
                               const Run& aRun,
                               std::shared_ptr<const std::string> aPayload,
                               const Now& aNow,
                               Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it == aState.mSessions.end() || !it->second.mUsable) {
    aActions.emplace_back(Ended{ std::string(aUpstream),
                                 aRun.mTask,
                                 aRun.mNumber,
                                 { Verdict::NotRun, ErrorCode::Overloaded } });
    return std::nullopt;
  }
  auto& session = it->second;
  OwnRun own{ RunPhase::Starting, aNow.mTime, aPayload };
  own.mLastCopyAt = aNow.mTime;
  session.mRuns[aRun] = std::move(own);
  session.mNextPollAt = aNow.mTime;
  return SendStart{ std::string(aUpstream),
                    session.mNumber,
                    aRun,
                    session.mToken,
                    NextLeaseEnd(aState.mOptions, session, aNow.mTime),
                    std::move(aPayload),
                    aNow.mTime };
}

void ChangeAddress(State& aState, std::string_view aUpstream, const Now& aNow)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it != aState.mSessions.end()) {
    it->second.mAddressSince = aNow.mTime;
  }
}

void ProcessListed(State& aState,
                   std::string_view aUpstream,
                   UnixMs aBornMs,
                   const Now& aNow,
                   Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it != aState.mSessions.end() && it->second.mBornMs && it->second.mBornMs != aBornMs) {
    SuspectRestart(aUpstream, it->second, "record of another process", aNow, aActions);
  }
}

void Stop(State& aState,
          std::string_view aUpstream,
          const TaskId& aTask,
          const Now& aNow,
          Actions& aActions)
{
  const auto it = aState.mSessions.find(aUpstream);
  if (it == aState.mSessions.end()) {
    return;
  }
  auto& session = it->second;
  for (auto& [run, own] : session.mRuns) {
    if (run.mTask != aTask || own.mStopRequested) {
      continue;
    }
    own.mStopRequested = true;
    if (own.mPhase != RunPhase::Starting && session.mPhase != SessionPhase::Lost) {
      SendOwnStop(aUpstream, session, run, own, aNow, aActions);
    }
  }
}

void Handle(State& aState, const StartAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  auto* session = Find(aState, aEvent.mUpstream, aEvent.mSession);
  if (session == nullptr) {
    return;
  }
  const bool isReplaced = IsReplaced(*session, aEvent.mStatus, aEvent.mSentAt);
  const bool isLeaseKnown = RecordStartClock(aState, *session, aEvent, aNow, aActions);
  const auto it = session->mRuns.find(aEvent.mRun);
  if (it == session->mRuns.end()) {
    return; // A poll has already returned its end.
  }
  auto& own = it->second;
  own.mCopiesPending -= own.mCopiesPending > 0 ? 1 : 0;
  if (aEvent.mStatus == OrderStatus::Done) {
    if (own.mPhase == RunPhase::Running) {
      return; // The answer to another copy, or a poll, came first.
    }
    own.mPhase = RunPhase::Running;
    own.mRunningSince = aNow.mTime;
    own.mLeaseKnown = isLeaseKnown && IsEachCopyAnswered(own);
    if (own.mStopRequested) {
      SendOwnStop(aEvent.mUpstream, *session, aEvent.mRun, own, aNow, aActions);
    }
    return;
  }
  own.mCopyUnknown = own.mCopyUnknown || aEvent.mStatus == OrderStatus::Unknown;
  if (NeverBegins(own)) {
    ReportEnd(aEvent.mUpstream,
              aEvent.mRun,
              own,
              EndEvidence::Refused,
              { Verdict::NotRun, CodeOfRefusal(aEvent.mStatus) },
              aActions);
    session->mRuns.erase(it);
  } else {
    MarkUnknown(aEvent.mUpstream, *session, aEvent.mRun, own, aNow, aActions);
  }
  if (aEvent.mStatus == OrderStatus::Fenced) {
    MarkLost(aEvent.mUpstream, *session, aEvent.mSentAt, aActions);
  } else if (isReplaced) {
    DropSession(aState, aEvent.mUpstream, aActions);
  }
}

void Handle(State& aState, const StopAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  auto* session = Find(aState, aEvent.mUpstream, aEvent.mSession);
  if (session == nullptr) {
    return;
  }
  if (aEvent.mStatus == OrderStatus::Fenced) {
    MarkLost(aEvent.mUpstream, *session, aEvent.mSentAt, aActions);
    return;
  }
  if (IsReplaced(*session, aEvent.mStatus, aEvent.mSentAt)) {
    DropSession(aState, aEvent.mUpstream, aActions);
    return;
  }
  const bool isOfSameProcess =
    aEvent.mClockMs &&
    IsOfSameProcess(aState.mOptions, *session, *aEvent.mClockMs, aEvent.mSentAt, aNow.mTime);
  if (aEvent.mClockMs && !isOfSameProcess) {
    HandleOtherClock(aEvent.mUpstream, *session, aEvent.mSentAt, aNow, aActions);
  }
  // A stop that a former process has confirmed shows nothing about the present one. An unconfirmed
  // stop is sent again.
  const bool isConfirmed = aEvent.mStatus == OrderStatus::Done && isOfSameProcess;
  const auto it = session->mRuns.find(aEvent.mRun);
  if (isConfirmed && it != session->mRuns.end() && !it->second.mStopConfirmed) {
    it->second.mStopConfirmed = true;
    it->second.mStopConfirmedAt = aNow.mTime;
  }
}

void Handle(State& aState, const PollAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  auto* session = Find(aState, aEvent.mUpstream, aEvent.mSession);
  if (session == nullptr || aEvent.mSentAt < session->mAnsweredPollSentAt) {
    return;
  }
  const bool isLatest = aEvent.mSentAt >= session->mPollSentAt;
  session->mPollPending = session->mPollPending && !isLatest;
  const bool isReplaced = IsReplaced(*session, aEvent.mStatus, aEvent.mSentAt);
  if (aEvent.mStatus == OrderStatus::OtherIncarnation && !isReplaced) {
    session->mNextPollAt = aNow.mTime;
    return;
  }
  // Only the answer to a poll that is carried out names its process.
  if (aEvent.mStatus == OrderStatus::Done ||
      (aEvent.mClockMs &&
       IsOfSameProcess(aState.mOptions, *session, *aEvent.mClockMs, aEvent.mSentAt, aNow.mTime))) {
    UpdateClock(*session, aEvent.mClockMs, aEvent.mSentAt, aNow.mTime);
  }
  switch (aEvent.mStatus) {
    case OrderStatus::Done:
      break;
    case OrderStatus::Fenced:
      MarkLost(aEvent.mUpstream, *session, aEvent.mSentAt, aActions);
      return;
    case OrderStatus::OtherIncarnation:
      DropSession(aState, aEvent.mUpstream, aActions);
      return;
    default:
      ++session->mLostPolls;
      if (session->mPhase == SessionPhase::Claiming) {
        if (session->mPollPending) {
          return;
        }
        aActions.emplace_back(ClaimUnanswered{ aEvent.mUpstream });
        aState.mSessions.erase(aState.mSessions.find(aEvent.mUpstream));
        return;
      }
      if (aEvent.mStatus == OrderStatus::ServerGone) {
        ReportCrash(aState, aEvent.mUpstream, *session, CrashState::Refused, aActions);
      }
      if (session->mPhase == SessionPhase::Ready &&
          session->mLostPolls < aState.mOptions.mMaxLostPolls) {
        session->mNextPollAt = aNow.mTime;
        ReportUsable(aEvent.mUpstream, *session, aActions);
        return;
      }
      session->mNextPollAt = aNow.mTime + kPollRetryDelay;
      // Runs can be left in phase Clearing too, when the upstream has restarted.
      if (session->mPhase == SessionPhase::Ready ||
          (session->mPhase == SessionPhase::Clearing && !session->mRuns.empty())) {
        AddNote(aActions, "upstream_silent", aEvent.mUpstream, "polls were not answered");
        SetPhase(aEvent.mUpstream, *session, SessionPhase::Silent, aActions);
      }
      return;
  }
  session->mAnsweredPollSentAt = aEvent.mSentAt;
  session->mPollsSent = session->mPollPending ? 1 : 0;
  session->mLostPolls = 0;
  ReportUsable(aEvent.mUpstream, *session, aActions);
  if (aEvent.mBornMs == session->mBornMs) {
    WithdrawCrash(aEvent.mUpstream, *session, aActions);
  } else {
    if (session->mBornMs) {
      // A new process under the old id: it numbers its ends from 1, runs only what it lists, and
      // would execute late copies of orders whose runs its predecessor has ended.
      ReportCrash(aState, aEvent.mUpstream, *session, CrashState::Confirmed, aActions);
      AddNote(aActions, "upstream_restarted", aEvent.mUpstream, "");
      const bool isLost = session->mPhase == SessionPhase::Lost;
      session->mLastEnd = 0;
      session->mSentLeaseEndMs = 0;
      session->mLeaseEndMs = 0;
      session->mProcessSince = aNow.mTime;
      if (!isLost) {
        RaiseToken(aState, *session, aNow);
      }
      for (auto& [run, own] : session->mRuns) {
        own.mProcessEnded = true;
        own.mStopConfirmed = false; // The present process knows no stop.
        if (own.mStopSentAt && !isLost) {
          SendOwnStop(aEvent.mUpstream, *session, run, own, aNow, aActions);
        }
      }
      AssumeLongestLease(aState.mOptions, *session);
    }
    session->mBornMs = aEvent.mBornMs;
    session->mProcessAskedAt = session->mProcessAskedAt.value_or(aEvent.mSentAt);
  }
  if (session->mBornMs && session->mProcessAskedAt && aEvent.mSentAt >= *session->mProcessAskedAt) {
    session->mProcessAskedAt.reset();
    aActions.emplace_back(ProcessFound{ aEvent.mUpstream, *session->mBornMs });
  }
  session->mCrashNumber = 0;
  session->mLapsedRuns.clear();
  for (const auto& end : aEvent.mEnds) {
    if (end.mNumber > session->mLastEnd) {
      HandleEnd(aEvent.mUpstream, *session, end, aNow, aActions);
    }
  }
  const bool isTokenAccepted = aEvent.mSentAt >= session->mTokenSince;
  if (!session->mTokenAccepted && isTokenAccepted) {
    AssumeLongestLease(aState.mOptions, *session); // Late orders were carried out until now.
  }
  session->mTokenAccepted = isTokenAccepted;
  HandleRunning(aState.mOptions, aEvent.mUpstream, *session, aEvent, aNow, aActions);
  const auto phase = session->mForeignRuns.empty() && session->mTokenAccepted
                       ? SessionPhase::Ready
                       : SessionPhase::Clearing;
  if (session->mPhase != SessionPhase::Lost && session->mPhase != phase) {
    if (phase == SessionPhase::Ready) {
      AddNote(aActions, "upstream_held", aEvent.mUpstream, "");
    }
    SetPhase(aEvent.mUpstream, *session, phase, aActions);
  }
  if (session->mRestartSuspectedSince && aEvent.mSentAt >= *session->mRestartSuspectedSince) {
    session->mRestartSuspectedSince.reset();
    ReportUsable(aEvent.mUpstream, *session, aActions);
  }
  const bool busy =
    !session->mTokenAccepted || !session->mRuns.empty() || !session->mForeignRuns.empty();
  session->mNextPollAt =
    aNow.mTime + (busy ? Duration{ 0 } : Duration(aState.mOptions.mIdlePollInterval));
}

void Advance(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto it = aState.mSessions.begin(); it != aState.mSessions.end();) {
    const auto& upstream = it->first;
    auto& session = it->second;
    const bool unreachable =
      session.mPhase == SessionPhase::Lost || session.mPhase == SessionPhase::Silent;
    if (unreachable && HaveKnownLeasesLapsed(aState.mOptions, session, aNow.mTime)) {
      EndLapsedRuns(aState, upstream, session, aNow, aActions);
    }
    if (session.mRuns.empty() && (session.mPhase == SessionPhase::Lost ||
                                  (session.mReleasing && session.mForeignRuns.empty()))) {
      it = aState.mSessions.erase(it);
      continue;
    }
    if (session.mPhase != SessionPhase::Lost) {
      for (auto& [run, own] : session.mRuns) {
        if (own.mStopSentAt && !own.mStopConfirmed &&
            aNow.mTime - *own.mStopSentAt > aState.mOptions.mStopRetryDelay) {
          SendOwnStop(upstream, session, run, own, aNow, aActions);
        }
      }
      RepeatStarts(aState, upstream, session, aNow, aActions);
      if (IsPollRepeatDue(aState.mOptions, session, aNow) ||
          (!session.mPollPending && aNow.mTime >= session.mNextPollAt)) {
        SendNextPoll(aState, upstream, session, aNow, aActions);
      }
    }
    ++it;
  }
}

bool Holds(const State& aState, std::string_view aUpstream)
{
  const auto it = aState.mSessions.find(aUpstream);
  return it != aState.mSessions.end() && it->second.mPhase != SessionPhase::Lost;
}

} // namespace pollenwall::holding
