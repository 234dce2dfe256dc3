#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/dispatch.h>
#include <pollenwall/holding.h>
#include <pollenwall/messages.h>

/// One entry of a deployment whose upstreams run tasks under leases and fencing tokens. No I/O and
/// no clock; `Handle` is the whole of it.
///
/// Every entry takes jobs from callers. In each data centre a few entries, normally one, hold the
/// upstreams there and run the scheduling core (`dispatch`) for them. The entry that a caller is
/// connected to is the job's *owner*: it forwards the job to the holder with most room, its own
/// data centre first, keeps the caller's connection and answers. A holder that no longer hears an
/// owner stops that owner's jobs; an owner that no longer hears a holder submits the job elsewhere
/// once the leases of the holder's runs have lapsed.
namespace pollenwall::entry {

using dispatch::RequestId;

struct Options
{
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress; ///< "IP:PORT" where this entry accepts peers.
  Incarnation mIncarnation;
  std::uint64_t mSeed = 0;
  double mProcessorShare = 1; ///< Of a core. Holders are chosen among those with most.
  dispatch::Options mDispatch;
  holding::Options mHolding;
  std::chrono::milliseconds mPresenceInterval{ 100 };
  /// Between entries of different data centres of which neither holds upstreams: they forward
  /// nothing to each other, and at 30 entries such pairs are most of all presences.
  std::chrono::milliseconds mIdlePresenceInterval{ 1000 };
  /// An entry that has echoed no time of this one for this long is treated as gone. An echo is up
  /// to two intervals old, so three presences may be lost or late.
  std::chrono::milliseconds mSilentAfter{ 500 };
  /// From an owner's decision to give a holder up until the runs there are certainly over: by then
  /// the holder has stopped the owner's jobs (mSilentAfter), and the lease of runs that it could
  /// not stop has lapsed. Callers whose connection broke come back no earlier.
  std::chrono::milliseconds mRunsOverAfter{ 1300 };
  /// An upstream that the platform's list no longer names is kept for this long: entries of the
  /// list that lapsed while the platform's store was away come back within 2 s.
  std::chrono::milliseconds mMissingUpstreamKept{ 2500 };
  /// Pause before an upstream that another entry has taken is claimed again.
  std::chrono::milliseconds mClaimAgain{ 1000 };
  /// The same for an entry that hears no other: the one with the others keeps the upstream.
  std::chrono::milliseconds mIsolatedClaimAgain{ 3000 };
  /// Pause after a claim that the upstream did not answer, in the own data centre and in others. In
  /// others it is mostly the network between them that fails; when it is back, their own entries
  /// should be heard before the next claim reaches their upstreams.
  std::chrono::milliseconds mClaimUnanswered{ 1000 };
  std::chrono::milliseconds mRemoteClaimUnanswered{ 3000 };
  /// Upstreams of a data centre without living entries are claimed by others after this. An entry
  /// that was killed is back sooner.
  std::chrono::milliseconds mAbandonedAfter{ 2000 };
  /// After its start an entry speaks to all others at the full rate for this long.
  std::chrono::milliseconds mIntroduction{ 3000 };
  /// Upstreams held by one entry. A data centre with more has several holders.
  std::size_t mUpstreamsPerHolder = 64;
  /// A planned stop takes new jobs for this long: the balancer needs 2 s to see that this entry is
  /// not ready, and jobs that come later would not end before the process is killed.
  std::chrono::milliseconds mDrainAccepts{ 2800 };
  /// A planned stop is complete after this in any case. The platform kills the process after 6 s.
  std::chrono::milliseconds mDrainLimit{ 5000 };
};

/// Another entry, as the platform's list or the settings name it.
struct EntryRecord
{
  std::string mName;
  std::string mPeerAddress;

  friend bool operator==(const EntryRecord&, const EntryRecord&) = default;
};

/// An upstream as the platform's list names it.
struct UpstreamRecord
{
  std::string mId; ///< Of one life of the process.
  std::string mService;
  std::string mDataCentre;
  std::string mRack;
  std::string mAddress; ///< IP number.
  std::uint16_t mPort = 0;
  std::uint32_t mSlots = 0;
  Needs mCapacity;
  bool mLeaving = false;

  friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

// Events.

struct CallerSubmit
{
  RequestId mRequest = 0;
  JobSpec mJob;
  std::string mCallersId{}; ///< The caller's own name of this attempt, for logs; may be empty.
};

/// Nobody waits for the answer any more; the job is stopped.
struct CallerGone
{
  RequestId mRequest = 0;
};

struct PeerMessage
{
  std::string mFrom; ///< Peer address of the sender.
  message::Message mMessage;
};

/// The connection over which this entry sends to a peer has been opened.
struct PeerConnected
{
  std::string mAddress;
};

/// All entries known from the platform's list.
struct EntriesListed
{
  std::vector<EntryRecord> mEntries;
};

/// All upstreams known from the platform's list.
struct UpstreamsListed
{
  std::vector<UpstreamRecord> mUpstreams;
};

/// Services and teams; workers and upstreams come from UpstreamsListed.
struct ConfigurationListed
{
  configuration::Configuration mConfiguration;
};

/// Begins a planned stop.
struct Drain
{};

/// Due every 10 to 50 ms.
struct Tick
{};

using Event = std::variant<CallerSubmit,
                           CallerGone,
                           PeerMessage,
                           PeerConnected,
                           EntriesListed,
                           UpstreamsListed,
                           ConfigurationListed,
                           holding::StartAnswered,
                           holding::StopAnswered,
                           holding::LookAnswered,
                           Drain,
                           Tick>;

// Actions.

/// Answers a caller; sent once for each request. Exactly one of the two is set.
struct AnswerCaller
{
  RequestId mRequest = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;
};

/// Where an order goes.
struct Destination
{
  std::string mId;      ///< Of the life of the upstream that is meant.
  std::string mAddress; ///< "IP:PORT".

  friend bool operator==(const Destination&, const Destination&) = default;
};

struct StartRun
{
  Destination mTo;
  holding::SendStart mOrder;
  std::shared_ptr<const std::string> mPayload;
};

struct StopRun
{
  Destination mTo;
  holding::SendStop mOrder;
};

struct Look
{
  Destination mTo;
  holding::SendLook mOrder;
};

struct SendPeer
{
  std::string mAddress;
  message::Message mMessage;
};

/// Keeps a connection to this address for sending; opens a new one if mAnew.
struct ConnectPeer
{
  std::string mAddress;
  bool mAnew = false;
};

/// A line for the log: a decision on a request or a change of what this entry believes.
struct Report
{
  std::string mEvent;
  bool mWarning = false;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/// A duration for the histogram of this name.
struct Measured
{
  std::string_view mSeries; ///< A literal.
  Duration mTime{ 0 };
};

/// A planned stop is complete.
struct Stopped
{};

using Action = std::
  variant<AnswerCaller, StartRun, StopRun, Look, SendPeer, ConnectPeer, Report, Measured, Stopped>;
using Actions = std::vector<Action>;

struct State;

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& aNow);

/// Applies one event and appends what has to be done, in order.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

// Queries.

/// Whether the balancer may send callers here.
bool IsReady(const State& aState, const Now& aNow);

bool HasConfiguration(const State& aState);

/// Jobs of callers of this entry of which no task has started, by kind.
std::size_t WaitingJobs(const State& aState, std::string_view aKind);

/// Counters by name, for metrics (values only rise).
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);

/// Gauges by name: upstreams by state, room and queue by service, peers, calls.
std::vector<std::pair<std::string, double>> Gauges(const State& aState, const Now& aNow);

/// The whole state as JSON text.
std::string Dump(const State& aState, const Now& aNow);

} // namespace pollenwall::entry
