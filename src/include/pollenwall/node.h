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

/// The whole core of one entry: membership, ownership, configuration, lending, journal and
/// dispatch. The shell turns input into events and carries out actions; a test drives several nodes
/// in virtual time.
namespace pollenwall::node {

using dispatch::RequestId;

struct Options
{
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress;        ///< "IP:PORT" where this entry accepts peers.
  std::vector<std::string> mSeeds; ///< Peer addresses known from the settings.
  Incarnation mIncarnation;
  std::uint64_t mSeed = 0; ///< Of the random generator.
  std::chrono::milliseconds mHeartbeat{ 200 };
  std::chrono::milliseconds mSuspectAfter{ 600 };
  std::chrono::milliseconds mLease{ 400 };
  std::chrono::milliseconds mDriftMargin{ 50 };
  std::chrono::milliseconds mMaxAhead{ 150 };
  std::chrono::milliseconds mMaxClockSkew{ 100 };
  std::chrono::milliseconds mLogRetention{
    3600000
  }; ///< Snapshots are republished well before this.
  std::chrono::milliseconds mDrainLimit{ 30000 };
  double mJournalAppendsPerSecond = 5; ///< Of this entry.
  std::size_t mJournalBufferRecords = 100000;
  dispatch::Options mDispatch;
};

// Events.

/// A caller's job. The id is empty when an entry has to mint one.
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
  }; ///< 0 answers at once; otherwise at the end of the job or of the wait.
};

struct CallerCancel
{
  RequestId mRequest = 0;
  std::string mId;
  std::string mTeam;
};

/// The caller closed its connection; its job goes on.
struct CallerGone
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
  std::optional<std::uint32_t> mBusy; ///< Absent when the upstream could not be asked.
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

/// The result of a ReadLog action. mStarted is the time at which the read was begun.
struct LogRead
{
  std::string mStream;
  bool mOk = false;
  Time mStarted{};
  std::uint64_t mFirst = 0; ///< Oldest retained offset.
  std::uint64_t mNext = 0;  ///< Offset after the last record returned, or the end.
  bool mAtEnd = false;      ///< No record follows mNext.
  std::vector<LogRecord> mRecords;
};

/// The result of an AppendLog action. Without mOk the record may or may not have been appended.
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

/// A planned stop.
struct Drain
{};

/// Due every 10 to 50 ms.
struct Tick
{};

using Event = std::variant<CallerSubmit,
                           CallerStatus,
                           CallerCancel,
                           CallerGone,
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

/// The one answer to a caller's call: exactly one of the two is set.
struct AnswerCaller
{
  RequestId mRequest = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;
};

/// Asks an upstream which of its slots are busy; answered by SlotsAnswered.
struct QuerySlots
{
  dispatch::UpstreamIndex mUpstream = 0;
};

/// Keeps a connection to a peer address from now on, until Disconnect. The shell reconnects with
/// jitter.
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

/// Reads from an offset, long-polling up to mWait at the end. At most one is outstanding per
/// stream.
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

/// Applies one event and appends what has to be done, in order.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

/// The same without a copy of the event's payloads; the event is left in a valid state.
void Handle(State& aState, Event&& aEvent, const Now& aNow, Actions& aActions);

/// Whether the balancer should send callers here.
bool IsReady(const State& aState);

/// Where to reach an upstream.
dispatch::UpstreamAddress AddressOf(const State& aState, dispatch::UpstreamIndex aUpstream);

/// The configuration that this entry holds, as the text of a snapshot record; nothing before there
/// is one.
std::optional<std::string> ConfigurationSnapshot(const State& aState);

/// What `pollenwall status` shows, as JSON text: versions, members, leases, log and cut-off state.
std::string StatusText(const State& aState, const Now& aNow);

/// The whole state as JSON text. Holds no secrets and no payloads.
std::string Dump(const State& aState, const Now& aNow);

/// Counters and gauges by name, for metrics.
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);
std::vector<std::pair<std::string, double>> Gauges(const State& aState);

} // namespace pollenwall::node
