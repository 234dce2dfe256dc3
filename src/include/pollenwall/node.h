#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <pollenwall/dispatch.h>
#include <pollenwall/messages.h>
#include <pollenwall/time.h>

/// The core of one entry: membership, ownership, configuration, lending, journal and dispatch. It
/// does no I/O: the program around it, called the shell, turns input into events and executes the
/// returned actions. Tests drive several nodes in virtual time.
namespace pollenwall::node {

using dispatch::RequestId;

struct Options
{
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress; ///< Where this entry accepts peer connections, as "IP:PORT".
  std::vector<std::string> mSeedAddresses; ///< Peer addresses known from the settings.
  Incarnation mIncarnation;
  std::uint64_t mSeed = 0; ///< Seed of the random number generator.
  std::chrono::milliseconds mHeartbeatInterval{ 200 };
  std::chrono::milliseconds mSuspectAfter{ 600 };
  std::chrono::milliseconds mLease{ 400 };
  /// Added to waits for a lease to expire, see ownership::Options.
  std::chrono::milliseconds mDriftMargin{ 50 };
  std::chrono::milliseconds mMaxBirthAhead{ 150 }; ///< How far a birth may be ahead of the clock.
  std::chrono::milliseconds mMaxClockSkew{ 100 };
  /// How long the log keeps records. Configuration snapshots are republished well before this.
  std::chrono::milliseconds mLogRetention{ 3600000 };
  std::chrono::milliseconds mDrainLimit{ 30000 }; ///< A planned stop takes at most this long.
  double mJournalAppendsPerSecond = 5;            ///< Limit for this entry.
  /// Maximum number of submissions in each list that the journal keeps in memory: those to be
  /// appended, those that ended here, and those of other entries.
  std::size_t mJournalBufferRecords = 100000;
  /// Maximum number of remembered refusals. Beyond it a refusal reports "may have run", because a
  /// later copy of the submission could run.
  std::size_t mMaxRefusals = 200000;
  dispatch::Options mDispatch;
};

// Events.

/// A job submitted by a caller. With an empty id the entry generates one.
struct CallerSubmit
{
  RequestId mRequest = 0;
  bool mWait = true;
  JobSpec mJob;
};

struct CallerStatus
{
  RequestId mRequest = 0;
  std::string mId;
  std::string mTeam;
  std::chrono::milliseconds mWait{
    0
  }; ///< 0: answer at once. Otherwise answer when the job ends, or after this time.
};

struct CallerCancel
{
  RequestId mRequest = 0;
  std::string mId;
  std::string mTeam;
};

/// The caller closed its connection. Its job continues.
struct CallerDisconnected
{
  RequestId mRequest = 0;
};

struct UpstreamAnswered
{
  TaskId mTask;
  std::uint32_t mAttempt = 0;
  dispatch::UpstreamIndex mUpstream = 0;
  TaskOutcome mOutcome;
};

struct SlotsAnswered
{
  dispatch::UpstreamIndex mUpstream = 0;
  std::optional<std::uint32_t> mBusy; ///< Number of busy slots; absent when the query failed.
};

/// A connection to a peer has exchanged Hello messages.
struct PeerUp
{
  message::Hello mHello;
};

struct PeerDown
{
  Incarnation mPeer;
};

struct PeerMessage
{
  Incarnation mFrom;
  message::Message mMessage;
};

struct LogRecord
{
  std::uint64_t mOffset = 0;
  UnixMs mAtMs = 0;
  std::string mData;
};

/// The result of a ReadLog action. mStarted is the time at which the read was started.
struct LogRead
{
  std::string mStream;
  bool mOk = false;
  Time mStarted{};
  std::uint64_t mFirst = 0; ///< Oldest retained offset.
  std::uint64_t mNext = 0;  ///< Offset to read from next.
  bool mAtEnd = false;      ///< The read reached the end of the stream.
  std::vector<LogRecord> mRecords;
};

/// The result of an AppendLog action. When mOk is false, it is unknown whether the record was
/// appended.
struct LogAppended
{
  std::string mStream;
  std::uint64_t mToken = 0;
  bool mOk = false;
};

struct Vm
{
  std::string mAddress;
  std::string mDataCentre;
  bool mEntry = false;
  bool mLeaving = false;
};

struct VmList
{
  bool mOk = false;
  UnixMs mAsOfMs = 0;
  std::vector<Vm> mVms;
};

/// Starts a planned stop.
struct Drain
{};

/// Sent every 10 to 50 ms.
struct Tick
{};

using Event = std::variant<CallerSubmit,
                           CallerStatus,
                           CallerCancel,
                           CallerDisconnected,
                           UpstreamAnswered,
                           SlotsAnswered,
                           PeerUp,
                           PeerDown,
                           PeerMessage,
                           LogRead,
                           LogAppended,
                           VmList,
                           Drain,
                           Tick>;

// Actions.

/// The only answer to a caller's request. Exactly one of mAnswer and mError is set.
struct AnswerCaller
{
  RequestId mRequest = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;
};

/// Queries how many slots of an upstream are busy; answered by SlotsAnswered.
struct QuerySlots
{
  dispatch::UpstreamIndex mUpstream = 0;
};

/// Maintains a connection to a peer address until Disconnect. The shell reconnects with jitter.
struct Connect
{
  std::string mAddress;
};

struct Disconnect
{
  std::string mAddress;
};

struct SendPeer
{
  Incarnation mTo;
  message::Message mMessage;
};

/// Reads records from an offset. At the end of the stream it long-polls for up to mWait. At most
/// one read per stream is outstanding.
struct ReadLog
{
  std::string mStream;
  std::uint64_t mFrom = 0;
  std::chrono::milliseconds mWait{ 0 };
};

struct AppendLog
{
  std::string mStream;
  std::uint64_t mToken = 0;
  std::string mData;
};

/// A structured log line.
struct Report
{
  bool mWarning = false;
  std::string mEvent;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/// The planned stop is complete; the process may exit.
struct Stopped
{};

using Action = std::variant<AnswerCaller,
                            dispatch::StartTask,
                            dispatch::StopTask,
                            QuerySlots,
                            Connect,
                            Disconnect,
                            SendPeer,
                            ReadLog,
                            AppendLog,
                            Report,
                            Stopped>;
using Actions = std::vector<Action>;

struct State;

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& aNow);

/// Applies one event and appends the resulting actions, in order.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

/// Moves the event's payloads instead of copying them. The event is left in a valid state.
void Handle(State& aState, Event&& aEvent, const Now& aNow, Actions& aActions);

/// Whether the load balancer should send callers to this entry.
bool IsReady(const State& aState);

/// The key and network address of an upstream.
dispatch::UpstreamAddress AddressOf(const State& aState, dispatch::UpstreamIndex aUpstream);

/// The applied configuration as the text of a snapshot record; empty before the first one.
std::optional<std::string> ConfigurationSnapshot(const State& aState);

/// The output of `pollenwall status` as JSON text: versions, members, the lease, whether the log is
/// reachable, and which data centres are not.
std::string StatusText(const State& aState, const Now& aNow);

/// The complete state as JSON text, without secrets and payloads.
std::string Dump(const State& aState, const Now& aNow);

/// Counters and gauges by name, for metrics.
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);
std::vector<std::pair<std::string, double>> Gauges(const State& aState);

} // namespace pollenwall::node
