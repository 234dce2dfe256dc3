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

/// State machine of one entry of a deployment whose upstreams run tasks under leases and fencing
/// tokens. It does no I/O and reads no clock: `Handle` applies an event and returns the actions to
/// carry out.
///
/// Every entry accepts jobs from callers. In each data centre a few entries, normally one, hold the
/// upstreams there and run the scheduling core (`dispatch`) for them; such an entry is a *holder*.
/// The entries of a data centre are ranked by their capacity as holders. The first live ones are
/// *candidates*: they read the list of upstreams, and exchange presences with all entries of their
/// data centre and with the candidates of the others. Any other entry exchanges presences with the
/// candidates of its data centre and with one holder in each other data centre, so the number of
/// its neighbours does not grow with the number of entries. The entry that a caller is connected to
/// is the job's *owner*: it forwards the job to a holder with free capacity, with a
/// preference for its own data centre, keeps the caller's connection open and sends the answer. A
/// holder that no longer receives messages from an owner stops that owner's jobs. An owner that no
/// longer receives messages from a holder submits the job to another holder once the leases of the
/// first holder's runs have lapsed.
namespace pollenwall::entry {

using dispatch::RequestId;

struct Options
{
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress; ///< "IP:PORT" on which this entry accepts connections of peers.
  Incarnation mIncarnation;
  std::uint64_t mSeed = 0;
  /// CPU time available to the process, in cores. Entries with more are preferred as holders.
  double mProcessorShare = 1;
  /// Bandwidth of the machine's network link in Mbit/s; 0: not known. It bounds the number of
  /// upstreams that the entry can hold.
  double mLinkMbps = 0;
  dispatch::Options mDispatch;
  holding::Options mHolding;
  /// Interval of presences (message::Presence) between neighbours in one data centre and between
  /// neighbours that may forward jobs to each other.
  std::chrono::milliseconds mPresenceInterval{ 100 };
  /// Presence interval between candidates of different data centres that forward no jobs to each
  /// other.
  std::chrono::milliseconds mIdlePresenceInterval{ 1000 };
  /// A data centre has this many more candidates than partitions. They take over without reading
  /// the list of upstreams first, also while the platform's store is unavailable.
  std::size_t mStandbyCandidates = 2;
  /// An entry that is no longer among the first live ones of its data centre remains a candidate
  /// for this long, so that a short silence of another one does not make it read the list again.
  std::chrono::milliseconds mCandidateRetention{ 10000 };
  /// A peer is treated as gone when the latest timestamp of this entry that it has echoed is older
  /// than this. An echo is up to two intervals old, so three presences may be lost or late.
  std::chrono::milliseconds mSilentAfter{ 500 };
  /// Time from an owner's decision that a holder has failed, or from the end of a caller's
  /// connection, until the runs concerned are certainly over: by then the holder has stopped the
  /// jobs (mSilentAfter), and the leases of runs that it could not stop have lapsed. Callers whose
  /// connection broke retry no earlier.
  std::chrono::milliseconds mRunsOverAfter{ 1300 };
  /// An upstream that is missing from the platform's list is kept for this long. Records that
  /// expired while the platform's store was unavailable reappear in the list within 2 s.
  std::chrono::milliseconds mMissingUpstreamRetention{ 2500 };
  /// Delay before an upstream that another entry has claimed is claimed again. Entries on two sides
  /// of a cut that both reach the upstream would take it from each other, and each time lose its
  /// runs. The second delay applies to the side that does not hear the candidate that is preferred
  /// for the upstream; see DelayClaim. Both double with each further loss up to the third value,
  /// which is bounded because the other holder may die unheard.
  std::chrono::milliseconds mClaimRetryDelay{ 1000 };
  std::chrono::milliseconds mYieldedClaimRetryDelay{ 10000 };
  std::chrono::milliseconds mMaxClaimRetryDelay{ 20000 };
  /// Delay after a claim that was fenced, while further claims can still use higher tokens.
  std::chrono::milliseconds mFencedClaimRetryDelay{ 20 };
  /// Delay after a claim that the upstream did not answer, in this entry's data centre and in other
  /// ones. Claims in other data centres mostly fail because of the network between them. When the
  /// network works again, presences of the entries there should arrive before the next claim
  /// reaches their upstreams.
  std::chrono::milliseconds mUnansweredClaimRetryDelay{ 1000 };
  std::chrono::milliseconds mRemoteUnansweredClaimRetryDelay{ 3000 };
  /// Delay before an upstream is claimed again at whose address another process has answered. It
  /// doubles with each further such answer up to the second value, so that a worker is used again
  /// even if nothing in its record shows that it has returned. Records of crashed workers stay in
  /// the platform's list for three heartbeats, and longer while its store is unavailable.
  std::chrono::milliseconds mMisdirectedClaimRetryDelay{ 1000 };
  std::chrono::milliseconds mMaxMisdirectedClaimRetryDelay{ 8000 };
  /// Entries of other data centres claim the upstreams of a data centre that has had no live entry
  /// for this long. A killed entry is restarted sooner.
  std::chrono::milliseconds mAbandonedAfter{ 2000 };
  /// After its start a candidate exchanges presences with all its neighbours at mPresenceInterval
  /// for this long.
  std::chrono::milliseconds mStartupPeriod{ 3000 };
  /// Target number of upstreams for one holder; less where the entries have little processor time
  /// or bandwidth. A data centre with more has several holders.
  std::size_t mUpstreamsPerHolder = 64;
  /// A draining entry accepts new jobs for this long. The balancer needs 2 s to detect that this
  /// entry is not ready, and later jobs would not end before the process is killed.
  std::chrono::milliseconds mDrainAcceptTime{ 2800 };
  /// Longest time of a drain. The platform kills the process after 6 s.
  std::chrono::milliseconds mDrainLimit{ 5000 };
};

/// The jobs of silent owners are stopped before an event is handled if this time has passed since
/// they were last looked for, so that no lease is renewed for them much later than mSilentAfter.
inline constexpr std::chrono::milliseconds kOwnerCheckInterval{ 50 };

/// Callers that are gone are looked for before an event is handled if this time has passed since
/// the last time. The event loop of a slow entry reads the ends of connections some hundreds of ms
/// late.
inline constexpr std::chrono::milliseconds kCallerCheckInterval{ 10 };

/// Longest time from the loss of an entry or of a caller's connection until all runs of the jobs
/// concerned are over, also if their stops are lost: the end of the connection is found, the
/// holders detect the silence, and the last lease ends on a clock that runs slow.
/// Options::mRunsOverAfter must be at least this.
inline std::chrono::milliseconds LongestRunOverTime(const Options& aOptions)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const auto lease =
    Milliseconds(aOptions.mHolding.mLease) / (1 - aOptions.mHolding.mMaxClockDrift);
  return kCallerCheckInterval + aOptions.mSilentAfter + kOwnerCheckInterval +
         std::chrono::ceil<std::chrono::milliseconds>(lease);
}

using message::EntryRecord;

/// An upstream in the platform's list.
struct UpstreamRecord
{
  std::string mId; ///< Identifies one instance of the process; a restart gets a new one.
  std::string mService;
  std::string mDataCentre;
  std::string mRack;
  std::string mAddress; ///< IP number.
  std::uint16_t mPort = 0;
  std::uint32_t mSlots = 0; ///< Tasks that it runs concurrently.
  Needs mCapacity;
  bool mLeaving = false;
  UnixMs mBornMs = 0; ///< Start time of the process; differs after a restart under the same id.
  /// How long tasks will run slower because the process has been idle, as of the record.
  std::chrono::milliseconds mColdLeft{ 0 };

  friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

// Events.

struct CallerSubmit
{
  RequestId mRequest = 0;
  JobSpec mJob;
  std::string mCallerRequestId{}; ///< The caller's id of this attempt, for logs; may be empty.
};

/// The caller no longer waits for the answer; the job is stopped.
struct CallerDisconnected
{
  RequestId mRequest = 0;
};

/// Every caller whose connection had ended by now has been reported with CallerDisconnected,
/// whether or not its end has been read. Until the next such event this entry tells its holders no
/// more than that its calls were open now: its presences and submissions echo only timestamps that
/// it had received by then. Must be sent before each other event, unless the last one was sent less
/// than kCallerCheckInterval before and NeedsCallerCheck is false for the event.
struct CallersChecked
{};

/// A caller asks for a job by its id, or cancels it. The job may be at any entry. Answered with one
/// AnswerLookup.
struct CallerLookup
{
  RequestId mRequest = 0;
  std::string mJob;
  bool mCancel = false;
  /// A cancel is answered within this time.
  std::chrono::milliseconds mDeadline{ 900 };
};

/// A cancelled job in the store's topic of cancels.
struct StoredCancel
{
  std::string mJob;
  UnixMs mUntilMs = 0; ///< Until when it is kept; 0: the key is removed.
  std::string mEntry;  ///< Name of the entry that wrote it; set in records that were read.

  friend bool operator==(const StoredCancel&, const StoredCancel&) = default;
};

/// How a call to the store's topic of cancels has ended.
enum class CancelCallOutcome
{
  Ok,
  Trimmed,     ///< Reads only: the offset has been trimmed.
  Refused,     ///< The store answered with an error.
  Unreachable, ///< No answer; an append may have taken effect, also later.
};

/// Answers ReadCancels.
struct CancelsRead
{
  std::uint64_t mNumber = 0;
  CancelCallOutcome mOutcome = CancelCallOutcome::Unreachable;
  std::uint64_t mNext = 0; ///< The offset to read from next.
  std::vector<StoredCancel> mRecords;
};

/// Answers AppendCancels.
struct CancelsAppended
{
  std::uint64_t mNumber = 0;
  CancelCallOutcome mOutcome = CancelCallOutcome::Unreachable;
};

/// A message of another entry. It is handled only if its sender is the current process at its
/// address and it is meant for this one; others are counted and logged.
struct PeerMessage
{
  std::string mFrom; ///< Peer address of the sender; empty: it has not sent a presence yet.
  message::Message mMessage;
  /// The sender's process. In frames of version 1: that of the first presence on the connection.
  Incarnation mIncarnation;
  Incarnation mTo; ///< The process that it is meant for; 0: any.
};

/// A frame on a connection of another entry that is not used.
struct PeerFrameDropped
{
  std::string mFrom; ///< As in PeerMessage.
  message::FrameProblem mProblem = message::FrameProblem::Malformed;
};

/// The outgoing connection to a peer has been opened.
struct PeerConnected
{
  std::string mAddress;
};

/// Entries from the platform's list or the settings.
struct EntriesListed
{
  std::vector<EntryRecord> mEntries;
  bool mFromPlatform = false; ///< The entries are the platform's whole list.
};

/// All upstreams in the platform's list.
struct UpstreamsListed
{
  std::vector<UpstreamRecord> mUpstreams;
};

/// Services and teams. Workers and upstreams come from UpstreamsListed.
struct ConfigurationListed
{
  configuration::Configuration mConfiguration;
};

/// The data centres that the operators evacuate, from the topic that also has the configuration.
/// Sent after each read of the topic, and before the configuration of the same read: an entry
/// starts nothing without a configuration, so it starts nothing before it knows the evacuations.
struct EvacuationListed
{
  std::uint64_t mVersion = 0; ///< The offset up to which the topic has been read.
  std::vector<std::string> mDataCentres;
  Time mReadBegan{}; ///< When the read was requested.
};

/// Begins a planned shutdown.
struct Drain
{};

/// Must be sent every 10 to 50 ms.
struct Tick
{};

using Event = std::variant<CallerSubmit,
                           CallerDisconnected,
                           CallersChecked,
                           CallerLookup,
                           CancelsRead,
                           CancelsAppended,
                           PeerMessage,
                           PeerFrameDropped,
                           PeerConnected,
                           EntriesListed,
                           UpstreamsListed,
                           ConfigurationListed,
                           EvacuationListed,
                           holding::StartAnswered,
                           holding::StopAnswered,
                           holding::PollAnswered,
                           Drain,
                           Tick>;

/// Whether the entry sends a presence for this event. Without a check just before, that would not
/// echo what the peer has just sent, and both would take each other for silent at first.
inline bool NeedsCallerCheck(const Event& aEvent)
{
  return std::holds_alternative<PeerConnected>(aEvent);
}

// Actions.

/// Answers a caller; sent once for each request. Exactly one of mAnswer and mError is set.
struct AnswerCaller
{
  RequestId mRequest = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;
};

/// Answers a CallerLookup.
struct AnswerLookup
{
  RequestId mRequest = 0;
  message::LookupResult mResult = message::LookupResult::Unknown;
  std::chrono::milliseconds mRetryAfter{ 0 }; ///< Set if the result is Unknown.
};

/// Reads the store's topic of cancels. Answered with one CancelsRead. One read is open at a time.
struct ReadCancels
{
  std::uint64_t mNumber = 0;
  std::optional<std::uint64_t> mFrom;   ///< Empty: the newest record of each key.
  std::chrono::milliseconds mWait{ 0 }; ///< For records at mFrom, if there are none yet.
};

/// Appends records to the topic of cancels in one call. Answered with one CancelsAppended. One
/// append is open at a time.
struct AppendCancels
{
  std::uint64_t mNumber = 0;
  std::vector<StoredCancel> mRecords;
};

/// The upstream to which an order is sent.
struct Destination
{
  std::string mId;      ///< UpstreamRecord::mId; another process at the address rejects the order.
  std::string mAddress; ///< "IP:PORT".

  friend bool operator==(const Destination&, const Destination&) = default;
};

struct StartRun
{
  Destination mTo;
  holding::SendStart mOrder;
};

struct StopRun
{
  Destination mTo;
  holding::SendStop mOrder;
};

struct PollUpstream
{
  Destination mTo;
  holding::SendPoll mOrder;
};

struct SendPeer
{
  std::string mAddress;
  message::Message mMessage;
  /// The process that it is meant for; 0: any. Set by Handle if it is not set before: to the one
  /// whose presence arrived last, 0 if there is none.
  std::optional<Incarnation> mTo{};
};

/// Keeps an outgoing connection to this address open. With mReconnect the present connection is
/// closed and a new one is opened at once.
struct ConnectPeer
{
  std::string mAddress;
  bool mReconnect = false;
};

/// Closes the outgoing connection to this address.
struct DisconnectPeer
{
  std::string mAddress;
};

/// Starts or stops reading the platform's list of upstreams (UpstreamsListed).
struct FollowUpstreams
{
  bool mFollow = false;
};

/// A log event: a decision on a request, or a change in the state of a peer or an upstream.
struct Report
{
  std::string mEvent;
  bool mWarning = false;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/// A duration to be recorded in the histogram mSeries.
struct Measured
{
  std::string_view mSeries; ///< A string literal; it is not copied.
  Duration mTime{ 0 };
};

/// The drain is complete and the process may exit.
struct Stopped
{};

using Action = std::variant<AnswerCaller,
                            AnswerLookup,
                            ReadCancels,
                            AppendCancels,
                            StartRun,
                            StopRun,
                            PollUpstream,
                            SendPeer,
                            ConnectPeer,
                            DisconnectPeer,
                            FollowUpstreams,
                            Report,
                            Measured,
                            Stopped>;
using Actions = std::vector<Action>;

struct State;

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& aNow);

/// Applies one event and appends the resulting actions in the order in which they must be done.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

// Queries.

/// Whether the load balancer may send callers to this entry.
bool IsReady(const State& aState, const Now& aNow);

bool HasConfiguration(const State& aState);

/// Number of this entry's calls of a kind that have not been forwarded to a holder.
std::size_t WaitingJobs(const State& aState, std::string_view aKind);

/// Counters by metric name.
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);

/// Gauges by metric name: upstreams by state, capacity and queue by service, peers, calls.
std::vector<std::pair<std::string, double>> Gauges(const State& aState, const Now& aNow);

/// The whole state as JSON text.
std::string Dump(const State& aState, const Now& aNow);

} // namespace pollenwall::entry
