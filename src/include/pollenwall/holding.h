#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/job.h>
#include <pollenwall/time.h>

/// One entry's hold on upstreams that run tasks under leases. No I/O and no clock. Nothing here is
/// thread safe.
///
/// An upstream takes orders from one entry at a time: every order carries a fencing token, and the
/// upstream does nothing for a token lower than the highest that it has seen (Gray and Cheriton
/// 1989 for leases, Chubby's sequencers for the tokens). All that runs there ends unless its lease
/// is renewed, so a run whose holder has died is over after the lease at the latest.
///
/// Each order ends with exactly one Ended action, and not before it is certain that the run is over
/// or never begins: the upstream has listed its end, has confirmed a stop after which it rejects
/// the run, or the lease has lapsed on the upstream's own clock.
namespace pollenwall::holding {

/// A token is the wall clock in these units, so that a later claim has a higher token without
/// asking anyone, and the claiming entry's salt, so that no two entries have the same. Below 2^53,
/// it fits a JSON number.
inline constexpr std::chrono::milliseconds kTokenUnit{ 16 };
inline constexpr int kTokenSaltBits = 16;

struct Options
{
  std::uint16_t mTokenSalt = 0; ///< Of this entry.
  /// Time for which what runs on an upstream is kept alive by one renewal. The platform allows at
  /// most 1 s; less shortens the wait before lost tasks may start elsewhere.
  std::chrono::milliseconds mLease{ 700 };
  /// Longest wait of one look for an end while tasks run. A look renews the lease and shows how far
  /// each run is, so this bounds the time to find a run that stands still.
  std::chrono::milliseconds mLookWait{ 120 };
  /// Pause between looks at an upstream on which nothing runs.
  std::chrono::milliseconds mIdleLook{ 1000 };
  /// An answer later than this counts as lost.
  std::chrono::milliseconds mAnswerTimeout{ 150 };
  /// A stop that has not shown in the list of ends is sent again after this.
  std::chrono::milliseconds mStopAgain{ 200 };
  /// Part by which an upstream's clock may be slow, from the platform's pages.
  double mClockSlow = 0.02;
  /// Added to the lease's end on the upstream's clock before its runs count as over.
  std::chrono::milliseconds mLapseMargin{ 60 };
  /// So many lost looks in a row make an upstream silent: its lease is left to lapse. A single
  /// answer can be lost on a sound upstream; until the next one it only gets no new tasks.
  std::uint32_t mLostLooks = 2;
};

/// One run of a task on an upstream. The number rises with each start of the task.
struct Run
{
  TaskId mTask;
  std::uint32_t mNumber = 0;

  friend auto operator<=>(const Run&, const Run&) = default;
};

/// How an upstream says that a run ended.
enum class RunEnd
{
  Done,
  Failed,  ///< By the task's own fault or the upstream's.
  Stopped, ///< By order.
  Lapsed,  ///< Its lease was not renewed.
  Broken,  ///< Another member of its group ended.
  Alone,   ///< The other members of its group did not arrive.
};

/// A run that an upstream lists as running.
struct ListedRun
{
  Run mRun;
  double mPart = 0; ///< Of its work that is done, 0 to 1.

  friend bool operator==(const ListedRun&, const ListedRun&) = default;
};

/// One end in an upstream's list. Numbers start at 1 in each incarnation of the upstream.
struct ListedEnd
{
  std::uint64_t mNumber = 0;
  Run mRun;
  RunEnd mEnd = RunEnd::Done;

  friend bool operator==(const ListedEnd&, const ListedEnd&) = default;
};

/// How an order or a look ended.
enum class OrderStatus
{
  Done,
  Fenced,           ///< Another entry holds the upstream with a higher token.
  Superseded,       ///< A run of this number or a higher one has ended or was stopped there.
  Late,             ///< It arrived after the end of its lease.
  NoRoom,           ///< It does not fit beside what runs there.
  Rejected,         ///< The order itself is refused for good.
  Unavailable,      ///< The upstream has done nothing and may do so later.
  OtherIncarnation, ///< The process that was meant is gone.
  NotSent,          ///< No byte left this entry.
  Unknown,          ///< No answer; the order may be carried out now or later.
};
inline constexpr std::size_t kOrderStatuses = 10;
std::string_view ToString(OrderStatus aStatus);

// Events.

struct StartAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0; ///< Of the order; answers of earlier sessions are dropped.
  Run mRun;
  OrderStatus mStatus = OrderStatus::Unknown;
  std::optional<std::int64_t> mClockMs; ///< The upstream's clock.
  Time mSentAt{};
};

struct StopAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  Run mRun;
  OrderStatus mStatus = OrderStatus::Unknown;
  Time mSentAt{};
};

struct LookAnswered
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  OrderStatus mStatus = OrderStatus::Unknown;
  std::optional<std::int64_t> mClockMs;
  std::optional<UnixMs> mBornMs; ///< When the upstream's process started; it may keep its name.
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
  std::int64_t mLeaseEndMs = 0; ///< On the upstream's clock; the start is refused after it.
};

struct SendStop
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  Run mRun;
  std::uint64_t mToken = 0;
};

/// Asks for what runs and what has ended, and acknowledges ends.
struct SendLook
{
  std::string mUpstream;
  std::uint64_t mSession = 0;
  std::uint64_t mToken = 0;
  std::uint64_t mSeen = 0; ///< Ends up to this number are forgotten by the upstream.
  std::optional<std::int64_t> mLeaseEndMs; ///< Renews the lease; absent: does not.
  std::chrono::milliseconds mWait{ 0 };    ///< For an end.
};

/// The end of one order to start.
struct Ended
{
  std::string mUpstream;
  TaskId mTask;
  std::uint32_t mNumber = 0;
  TaskOutcome mOutcome;
};

/// How far a run of this entry is.
struct Progress
{
  std::string mUpstream;
  TaskId mTask;
  std::uint32_t mNumber = 0;
  double mPart = 0;
};

/// Whether the upstream can be given new tasks has changed.
struct UsableChanged
{
  std::string mUpstream;
  bool mUsable = false;
};

/// Another entry has taken the upstream over.
struct LostToOther
{
  std::string mUpstream;
};

/// The upstream did not answer the first look of a claim; it is not held.
struct ClaimUnanswered
{
  std::string mUpstream;
};

/// A line for the log.
struct Note
{
  std::string mEvent;
  std::string mUpstream;
  std::string mDetail;
};

using Action = std::
  variant<SendStop, SendLook, Ended, Progress, UsableChanged, LostToOther, ClaimUnanswered, Note>;
using Actions = std::vector<Action>;

enum class RunPhase
{
  Starting, ///< The order's answer is due.
  Unknown,  ///< The order has no answer; it may be carried out.
  Running,
};

/// One order of this entry.
struct OwnRun
{
  RunPhase mPhase = RunPhase::Starting;
  Time mOrderedAt{};
  Time mKnownAt{}; ///< When the upstream was first known to run it.
  bool mStopWanted = false;
  std::optional<Time> mStopSentAt;
  bool mStopConfirmed = false;
  Time mStopConfirmedAt{};
};

enum class SessionPhase
{
  Claiming, ///< The first look with the token has no answer yet.
  Clearing, ///< Runs of an earlier holder are being stopped.
  Ready,
  Silent, ///< Looks are not answered; the lease is left to lapse.
  Lost,   ///< Another entry holds it; own runs are reported when the lease has lapsed.
};

/// The hold on one incarnation of an upstream.
struct Session
{
  std::uint64_t mNumber = 0;
  std::uint64_t mToken = 0;
  SessionPhase mPhase = SessionPhase::Claiming;
  bool mReleasing = false; ///< Takes no new tasks and is dropped once nothing runs.
  bool mUsable = false;    ///< As last reported.
  std::uint64_t mSeen = 0;
  std::optional<UnixMs> mBornMs;
  std::map<Run, OwnRun> mRuns;
  std::vector<Run> mForeign; ///< Runs of earlier holders, being stopped.
  bool mLooking = false;     ///< A look is outstanding.
  Time mNextLook{};
  std::uint32_t mLostLooks = 0;         ///< In a row.
  std::optional<std::int64_t> mClockMs; ///< The upstream's clock at some moment between the two:
  Time mClockAfter{};
  Time mClockBefore{};
  std::int64_t mLeaseEndMs = 0; ///< The latest that any order has named.
};

struct State
{
  Options mOptions;
  std::uint64_t mLastSession = 0;
  std::map<std::string, Session, std::less<>> mSessions; ///< By upstream.
};

/// A token above aLeast.
std::uint64_t MakeToken(std::uint16_t aSalt, UnixMs aUnixMs, std::uint64_t aLeast);

/// The token with which an upstream is held; 0 when it is not.
std::uint64_t TokenOf(const State& aState, std::string_view aUpstream);

/// Begins to hold an upstream with a token above aLeastToken. Its first look renews no lease, so
/// runs of a dead holder lapse even if this entry dies as well.
void Claim(State& aState,
           std::string_view aUpstream,
           std::uint64_t aLeastToken,
           const Now& aNow,
           Actions& aActions);

/// Takes no new tasks; the hold ends once nothing runs.
void Release(State& aState, std::string_view aUpstream, Actions& aActions);

/// Undoes Release.
void Keep(State& aState, std::string_view aUpstream, Actions& aActions);

/// Starts a task and returns the order to send. On an upstream that is not usable the run ends at
/// once as not run, and nothing is returned.
std::optional<SendStart> Start(State& aState,
                               std::string_view aUpstream,
                               const Run& aRun,
                               const Now& aNow,
                               Actions& aActions);

/// Stops a run of this entry. Nothing happens when it is over already.
void Stop(State& aState,
          std::string_view aUpstream,
          const TaskId& aTask,
          const Now& aNow,
          Actions& aActions);

void Handle(State& aState, const StartAnswered& aEvent, const Now& aNow, Actions& aActions);
void Handle(State& aState, const StopAnswered& aEvent, const Now& aNow, Actions& aActions);
void Handle(State& aState, const LookAnswered& aEvent, const Now& aNow, Actions& aActions);

/// Applies what is due. Call every 10 to 50 ms.
void Advance(State& aState, const Now& aNow, Actions& aActions);

/// Whether this entry holds the upstream and has not lost it.
bool Holds(const State& aState, std::string_view aUpstream);

} // namespace pollenwall::holding
