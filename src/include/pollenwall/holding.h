#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <pollenwall/crash_report.h>
#include <pollenwall/ids.h>
#include <pollenwall/job.h>
#include <pollenwall/time.h>

/// Exclusive use of upstreams by one entry (a *hold*), under leases and fencing tokens. No I/O and
/// no clock. Not thread safe.
///
/// An upstream takes orders from one entry at a time: every order carries a fencing token, and the
/// upstream rejects a token lower than the highest that it has received (Gray and Cheriton 1989 for
/// leases, Chubby's sequencers for the tokens). The upstream stops its runs unless the lease is
/// renewed, so a run whose holder has died ends with the lease at the latest.
///
/// Each order to start a run leads to exactly one Ended action, which is not sent before it is
/// certain that the run is over or will never begin: the upstream has listed its end, or has
/// confirmed a stop after which it rejects the run, or the lease has lapsed on the upstream's own
/// clock.
///
/// An upstream's process may restart under the same id with a new clock, on which the lease ends of
/// earlier orders lie far ahead, so that they give the longest lease. Until it is known which
/// process has carried out an order, its run therefore counts as under the longest lease.
namespace pollenwall::holding {

/// The high bits of a token are the wall clock in these units, so that a later claim has a higher
/// token without coordination between entries. The low bits are the claiming entry's salt, random
/// and different from those of the entries that it has heard, so that no two entries use the same
/// token. Tokens stay below 2^53 and fit a JSON number.
inline constexpr std::chrono::milliseconds kTokenUnit{ 16 };
inline constexpr int kTokenSaltBits = 16;

struct Options
{
  std::uint16_t mTokenSalt = 0; ///< The low bits of this entry's tokens.
  /// How long one renewal keeps the runs on an upstream alive. A shorter lease shortens the wait
  /// before lost tasks may start elsewhere.
  std::chrono::milliseconds mLease{ 700 };
  /// The platform allows no longer lease; an upstream shortens those of orders to this.
  std::chrono::milliseconds mMaxLease{ 1000 };
  /// Longest time for which a poll waits at the upstream for the end of a run. A poll renews the
  /// lease and returns the progress of each run, so this bounds the time to detect a stalled run.
  std::chrono::milliseconds mPollWait{ 120 };
  /// A poll without an answer this long after its wait is followed by another one without a wait,
  /// on another connection. Some times the round trip and the delay of a tick.
  std::chrono::milliseconds mPollRepeatDelay{ 40 };
  /// Interval between polls of an upstream on which nothing runs.
  std::chrono::milliseconds mIdlePollInterval{ 1000 };
  /// An order without an answer in this time counts as unanswered.
  std::chrono::milliseconds mAnswerTimeout{ 150 };
  /// A start without an answer is sent again after this, until there are mMaxStartCopies. All
  /// copies have the same run, which the upstream starts once. Some times the round trip and the
  /// delay of a tick.
  std::chrono::milliseconds mStartRepeatDelay{ 40 };
  /// A run whose copies are all lost costs its job a second: it has to be stopped before its task
  /// starts elsewhere. Of 100 starts this happens to 9 with two copies and to 1 with four if 30 of
  /// 100 orders are lost.
  std::uint32_t mMaxStartCopies = 4;
  /// A stop that the upstream has not confirmed is sent again after this.
  std::chrono::milliseconds mStopRetryDelay{ 200 };
  /// Fraction by which an upstream's clock may run slow, from the platform's documentation.
  double mMaxClockDrift = 0.02;
  /// Added to the end of a lease on the upstream's clock before its runs count as over.
  std::chrono::milliseconds mLapseMargin{ 60 };
  /// After this many unanswered polls in a row an upstream is silent: its lease is no longer
  /// renewed. A healthy upstream's answer can be lost too, so after a single lost answer the
  /// upstream only gets no new tasks until its next answer. No more polls than this are pending.
  std::uint32_t mMaxLostPolls = 4;
};

/// One run of a task on an upstream. The number increases with each start of the task.
struct Run
{
  TaskId mTask;
  std::uint32_t mNumber = 0;

  friend auto operator<=>(const Run&, const Run&) = default;
};

/// How a run ended, as reported by the upstream.
enum class RunEnd
{
  Done,
  Failed,          ///< Because of the task or of the upstream.
  Stopped,         ///< By order.
  Lapsed,          ///< Its lease was not renewed.
  GroupBroken,     ///< Another member of its group ended.
  GroupIncomplete, ///< The other members of its group did not arrive.
};

/// A run that an upstream lists as running.
struct ListedRun
{
  Run mRun;
  double mDoneFraction = 0; ///< Fraction of its work that is done, 0 to 1.

  friend bool operator==(const ListedRun&, const ListedRun&) = default;
};

/// An item in an upstream's list of ended runs. mNumber starts at 1 in each incarnation of the
/// upstream.
struct ListedEnd
{
  std::uint64_t mNumber = 0;
  Run mRun;
  RunEnd mEnd = RunEnd::Done;

  friend bool operator==(const ListedEnd&, const ListedEnd&) = default;
};

/// The result of an order to start or stop a run, or of a poll.
enum class OrderStatus
{
  Done,
  Fenced,           ///< Another entry holds the upstream with a higher token.
  Superseded,       ///< A run of the task with this or a higher number has ended or been stopped.
  Late,             ///< The order arrived after the end of its lease.
  NoRoom,           ///< The upstream lacks the free capacity.
  Rejected,         ///< The order is invalid; a retry would fail too.
  Unavailable,      ///< The upstream did nothing; a later attempt may succeed.
  OtherIncarnation, ///< Another process runs at the address.
  NotSent,          ///< No byte was sent.
  ServerGone,       ///< No byte was sent; the process has likely ended, see HttpCallResult.
  Unknown,          ///< No answer; the upstream may have executed the order or may do so later.
};
inline constexpr std::size_t kOrderStatuses = 11;
std::string_view ToString(OrderStatus aStatus);

// Events.

struct StartAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0; ///< Session::mNumber; answers of earlier sessions are ignored.
  Run mRun;
  OrderStatus mStatus = OrderStatus::Unknown;
  std::optional<std::int64_t> mClockMs; ///< The upstream's clock.
  Time mSentAt{};                       ///< SendStart::mSentAt.
};

struct StopAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  Run mRun;
  OrderStatus mStatus = OrderStatus::Unknown;
  std::optional<std::int64_t> mClockMs;
  Time mSentAt{};
};

struct PollAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  OrderStatus mStatus = OrderStatus::Unknown;
  std::optional<std::int64_t> mClockMs;
  /// Start time of the upstream's process; shows a restart under the same id.
  std::optional<UnixMs> mBornMs;
  Time mSentAt{};
  std::vector<ListedRun> mRunning;
  std::vector<ListedEnd> mEnds;
};

// Actions.

struct SendStart
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  Run mRun;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseEndMs = 0; ///< On the upstream's clock, which refuses the start after it.
  std::shared_ptr<const std::string> mPayload;
  Time mSentAt{}; ///< When the order was decided; the answer's mSentAt.
};

struct SendStop
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  Run mRun;
  std::uint64_t mToken = 0;
  Time mSentAt{}; ///< As in SendStart.
};

/// Polls the lists of running and ended runs, and acknowledges ended runs.
struct SendPoll
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  std::uint64_t mToken = 0;
  std::uint64_t mAcknowledgedEnd =
    0; ///< The upstream may delete ends up to this number from its list.
  std::optional<std::int64_t> mLeaseEndMs; ///< Renews the lease if set.
  std::chrono::milliseconds mWait{ 0 };    ///< Longest time to wait for the end of a run.
  Time mSentAt{};                          ///< As in SendStart.
};

/// What shows that a run is over or will never begin.
enum class EndEvidence
{
  NotOrdered,    ///< No order was sent, because the upstream was not usable.
  Refused,       ///< The order was refused.
  Listed,        ///< The upstream lists its end.
  StopConfirmed, ///< The upstream rejects it after a confirmed stop.
  Vanished,      ///< The upstream no longer lists it: its process has restarted.
  Replaced,      ///< Another process has taken the upstream's place.
  Lapsed,        ///< Its lease has lapsed.
};
inline constexpr std::size_t kEndEvidences = 7;
std::string_view ToString(EndEvidence aEvidence);

/// The end of a run that Start was called for.
struct Ended
{
  std::string mUpstream;
  TaskId mTask;
  std::uint32_t mNumber = 0;
  TaskOutcome mOutcome;
  EndEvidence mEvidence = EndEvidence::NotOrdered;
  bool mBegan = false;       ///< The upstream has reported it as running.
  std::uint32_t mCopies = 0; ///< Orders to start it that were sent.
};

/// Progress of a run of this entry.
struct Progress
{
  std::string mUpstream;
  TaskId mTask;
  std::uint32_t mNumber = 0;
  double mDoneFraction = 0;
};

/// The upstream has become able, or unable, to take new tasks.
struct UsableChanged
{
  std::string mUpstream;
  bool mUsable = false;
};

/// The upstream has refused a token: it has seen a higher one.
struct HoldLost
{
  std::string mUpstream;
  /// The upstream had accepted the token, so another entry has claimed it since. Otherwise the
  /// first poll of a claim was refused, which does not show whether any entry holds the upstream.
  bool mWasHeld = false;
};

/// The upstream did not answer the first poll of a claim; it is not held.
struct ClaimUnanswered
{
  std::string mUpstream;
};

/// A process with another id answered at the upstream's address; the session has ended.
struct OtherIncarnationFound
{
  std::string mUpstream;
};

/// The upstream may have crashed, has crashed, or has not after all. Sent only if it may have had
/// runs, with rising certainty and at most once in each state for one crash.
struct Crashed
{
  std::string mUpstream;
  std::uint64_t mNumber = 0; ///< Of the crash; unique in this State.
  CrashState mState = CrashState::Confirmed;
  std::vector<Run> mRuns; ///< This entry's runs that were at work there.
  /// Those of which it is unknown whether they had begun, or at which process.
  std::vector<Run> mUnansweredRuns;
  std::optional<UnixMs> mBornMs; ///< Start of the process that had the runs.
};

/// A process of the upstream has answered: the first one of a session, one with another start, or
/// the first after AskForProcess.
struct ProcessFound
{
  std::string mUpstream;
  UnixMs mBornMs = 0;
};

/// A log event.
struct Note
{
  std::string mEvent;
  std::string mUpstream;
  std::string mDetail;
};

using Action = std::variant<SendStart,
                            SendStop,
                            SendPoll,
                            Ended,
                            Progress,
                            UsableChanged,
                            HoldLost,
                            ClaimUnanswered,
                            OtherIncarnationFound,
                            Crashed,
                            ProcessFound,
                            Note>;
using Actions = std::vector<Action>;

enum class RunPhase
{
  Starting, ///< The answer to the order is pending.
  Unknown,  ///< The order was not answered; the upstream may execute it.
  Running,
};

/// A run that this entry has ordered.
struct OwnRun
{
  RunPhase mPhase = RunPhase::Starting;
  Time mOrderedAt{};
  std::shared_ptr<const std::string> mPayload;
  std::uint32_t mCopiesSent = 1;    ///< Of the order to start it.
  std::uint32_t mCopiesPending = 1; ///< Of these, without an answer so far.
  bool mCopyUnknown = false;        ///< A copy was not answered; it may be executed at any time.
  Time mLastCopyAt{};               ///< When the latest copy was sent.
  Time mRunningSince{};             ///< When the upstream first reported it as running.
  /// Only the process whose clock is known can run it: its lease ends by Session::mLeaseEndMs.
  bool mLeaseKnown = false;
  bool mProcessEnded = false; ///< The process to which it was ordered has ended since.
  bool mStopRequested = false;
  std::optional<Time> mStopSentAt;
  bool mStopConfirmed = false;
  Time mStopConfirmedAt{};
};

struct LapsedRun
{
  Run mRun;
  bool mBegan = false; ///< It is known to have been at work at the process whose clock was known.
};

enum class SessionPhase
{
  Claiming, ///< The first poll with the token is not answered yet.
  /// Runs of an earlier holder are being stopped, or no order with the present token has been
  /// answered. No lease is renewed: it would keep the runs of another holder alive.
  Clearing,
  Ready,
  Silent, ///< Polls are not answered; the lease is not renewed.
  Lost, ///< Another entry holds it; Ended is sent for this entry's runs once the lease has lapsed.
};

/// A hold on one incarnation of an upstream.
struct Session
{
  std::uint64_t mNumber = 0;
  std::uint64_t mToken = 0;
  /// Orders sent before have lower tokens; that one of them is fenced shows no other holder.
  Time mTokenSince{};
  bool mTokenAccepted = true; ///< The latest answered poll had mToken. Not used while claiming.
  SessionPhase mPhase = SessionPhase::Claiming;
  bool mReleasing = false;       ///< Takes no new tasks; the session ends once nothing runs.
  bool mUsable = false;          ///< As last reported.
  std::uint64_t mLastEnd = 0;    ///< The highest ListedEnd::mNumber handled so far.
  Time mLastEndSince{};          ///< When mLastEnd was handled.
  std::optional<UnixMs> mBornMs; ///< As in the latest answered poll; see PollAnswered.
  std::map<Run, OwnRun> mRuns;
  std::vector<Run> mForeignRuns; ///< Runs of earlier holders, being stopped.
  /// Runs that lapsed since the upstream became silent. Whether it has crashed under them is known
  /// when a process answers at its address again.
  std::vector<LapsedRun> mLapsedRuns;
  bool mPollPending = false; ///< The latest poll has no answer yet.
  Time mPollSentAt{};        ///< When it was sent.
  std::chrono::milliseconds mPollWait{ 0 };
  Time mNextPollAt{};
  std::uint32_t mPollsSent = 0; ///< Since an answer.
  std::uint32_t mLostPolls = 0; ///< Those of mPollsSent that were not answered in time.
  /// When the poll was sent whose answer was used last. Answers to earlier polls are out of date.
  Time mAnsweredPollSentAt{};
  std::uint64_t mCrashNumber = 0; ///< Of the crash reported for this incarnation; 0: none.
  CrashState mCrashState = CrashState::Suspected; ///< As last reported, if mCrashNumber is not 0.
  /// If set: ProcessFound is due with the answer to a poll that was sent no earlier.
  std::optional<Time> mProcessAskedAt = Time{};
  /// The upstream's clock, read between mClockReadAfter and mClockReadBefore.
  std::optional<std::int64_t> mClockMs;
  Time mClockReadAfter{};
  Time mClockReadBefore{};
  /// The latest time at which an order was sent that the upstream itself has answered.
  Time mAnsweredSentAt{};
  Time mAddressSince{};             ///< When the upstream's address last changed.
  std::int64_t mSentLeaseEndMs = 0; ///< Latest in any order sent; on the upstream's clock.
  /// Latest that the upstream may have: also of orders sent to a former process.
  std::int64_t mLeaseEndMs = 0;
  /// Latest end, on this entry's clock, of a lease that was given by a process whose clock is not
  /// known. It concerns the runs without OwnRun::mLeaseKnown.
  Time mUnknownLeaseEnd{};
  /// When the present process was found. The lease ends of orders sent before are on the clock of
  /// a former one.
  Time mProcessSince{};
  /// If set: the upstream may have restarted. It takes no new tasks until a poll that was sent no
  /// earlier is answered.
  std::optional<Time> mRestartSuspectedSince;
};

struct State
{
  Options mOptions;
  std::uint64_t mLastSession = 0;
  std::uint64_t mLastCrash = 0;
  std::map<std::string, Session, std::less<>> mSessions; ///< By upstream key.
  /// No further copies of starts are sent to these upstreams, or to any: a copy may begin a run
  /// whose first copies were lost.
  std::set<std::string, std::less<>> mStartsWithheld;
  bool mAllStartsWithheld = false;
};

/// Makes a token above aLeast.
std::uint64_t MakeToken(std::uint16_t aSalt, UnixMs aUnixMs, std::uint64_t aLeast);

/// Makes the next answer of a held upstream report its process, see ProcessFound. Answers to polls
/// that are pending do not count: they may be of before what the caller has learned.
void AskForProcess(State& aState, std::string_view aUpstream, const Now& aNow);

/// The token with which an upstream is held; 0 if it is not held.
std::uint64_t TokenOf(const State& aState, std::string_view aUpstream);

/// Claims an upstream with a token above aLeastToken. The first poll renews no lease, so runs of a
/// dead holder lapse even if this entry dies as well.
void Claim(State& aState,
           std::string_view aUpstream,
           std::uint64_t aLeastToken,
           const Now& aNow,
           Actions& aActions);

/// Stops giving new tasks to an upstream; the hold ends once nothing runs there.
void Release(State& aState, std::string_view aUpstream, Actions& aActions);

/// Reverts Release.
void CancelRelease(State& aState, std::string_view aUpstream, Actions& aActions);

/// Starts a task and returns the order to send. For an upstream that is not usable it returns
/// nothing and appends an Ended action with Verdict::NotRun.
std::optional<SendStart> Start(State& aState,
                               std::string_view aUpstream,
                               const Run& aRun,
                               std::shared_ptr<const std::string> aPayload,
                               const Now& aNow,
                               Actions& aActions);

/// Records that orders to the upstream go to another address from now on. That another process
/// answers an order sent before shows nothing about the upstream.
void ChangeAddress(State& aState, std::string_view aUpstream, const Now& aNow);

/// Records that the platform lists the process that started at aBornMs under the upstream's id. If
/// another process answered the latest poll, the upstream takes no tasks until the next answer.
void ProcessListed(State& aState,
                   std::string_view aUpstream,
                   UnixMs aBornMs,
                   const Now& aNow,
                   Actions& aActions);

/// Stops a run of this entry. Does nothing if the run is over already.
void Stop(State& aState,
          std::string_view aUpstream,
          const TaskId& aTask,
          const Now& aNow,
          Actions& aActions);

void Handle(State& aState, const StartAnswered& aEvent, const Now& aNow, Actions& aActions);
void Handle(State& aState, const StopAnswered& aEvent, const Now& aNow, Actions& aActions);
void Handle(State& aState, const PollAnswered& aEvent, const Now& aNow, Actions& aActions);

/// Applies time-outs and sends polls that are due. Must be called every 10 to 50 ms.
void Advance(State& aState, const Now& aNow, Actions& aActions);

/// Whether this entry holds or is claiming the upstream, and has not lost it to another entry.
bool Holds(const State& aState, std::string_view aUpstream);

} // namespace pollenwall::holding
