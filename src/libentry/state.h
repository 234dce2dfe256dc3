#pragma once

#include <array>
#include <map>
#include <random>
#include <set>

#include <pollenwall/entry.h>

/// Internal state of entry.h, shared by the files of this library.
namespace pollenwall::entry {

/// Identifies a call of this entry in messages to holders.
using CallNumber = std::uint64_t;

/// A job of a caller that is connected to this entry.
struct Call
{
  RequestId mRequest = 0;
  JobSpec mJob;
  std::string mCallerRequestId; ///< See CallerSubmit.
  Time mDeadline{};
  std::uint64_t mMilliCores = 0; ///< Sum over all tasks.
  /// The holder to which the job has been forwarded; empty while it waits for one.
  std::optional<Incarnation> mHolder;
  std::vector<Incarnation> mRefusedBy; ///< Holders that refused it since the last resubmission.
  std::optional<Error> mRefusal;       ///< The latest refusal.
  Time mForwardAt{};                   ///< Without a holder: earliest time of the next attempt.
  Time mForwardedAt{};                 ///< When it was last sent to mHolder.
  Verdict mVerdict = Verdict::NotRun;  ///< Combined verdict of earlier submissions.
};

/// The call for which this entry runs a job as a holder.
struct Origin
{
  std::optional<Incarnation> mPeer; ///< Owner of the call; empty for this entry.
  CallNumber mNumber = 0;
  std::string mJob;
};

struct Peer
{
  std::string mAddress;
  Incarnation mIncarnation;
  std::optional<Time> mHeardAt; ///< When its latest presence arrived.
  /// The latest timestamp of this entry that the peer has echoed. The peer sent the echo and all
  /// messages after it later than this, however long they were delayed on the way.
  std::optional<Time> mEchoedAt;
  Time mConnectedAt{};
  Time mNextIdlePresence{};
  message::Presence mPresence;
  std::set<std::uint64_t> mHeldUpstreams; ///< Upstream::mHash of those that it holds.
  /// Requirements of jobs sent to the peer since its last presence, by service.
  std::map<std::string, std::uint64_t, std::less<>> mSentMilliCores;
  bool mWasAlive = false; ///< As last reported.
};

struct Upstream
{
  UpstreamRecord mRecord;
  std::uint64_t mHash = 0; ///< Hash64 of its key.
  std::optional<Time> mMissingSince;
  Time mClaimNotBefore{};
  std::uint64_t mLeastToken = 0; ///< The next claim's token exceeds this.
};

/// A subset of a data centre's upstreams that one entry should hold.
struct Partition
{
  std::string mDataCentre;
  std::size_t mNumber = 0; ///< From 0 in each data centre.

  friend auto operator<=>(const Partition&, const Partition&) = default;
};

struct Counts
{
  std::uint64_t mCalls = 0;
  std::uint64_t mForwarded = 0;
  std::uint64_t mResubmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mOwnersLost = 0;
  std::uint64_t mClaims = 0;
  std::uint64_t mHoldsLost = 0;
  std::uint64_t mPollsLost = 0; ///< Times that an upstream became silent.
  std::uint64_t mStartsUnanswered = 0;
  std::array<std::uint64_t, holding::kOrderStatuses> mStarts{}; ///< By holding::OrderStatus.
  std::array<std::uint64_t, holding::kOrderStatuses> mStops{};
  std::array<std::uint64_t, holding::kOrderStatuses> mPolls{};
};

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mDispatch;
  holding::State mHolding;
  std::optional<configuration::Configuration> mConfiguration; ///< Services and teams.
  std::map<std::string, Upstream, std::less<>> mUpstreams;    ///< By key "SERVICE/ID".
  std::map<std::string, Peer, std::less<>> mPeers;            ///< By address.
  std::map<Incarnation, std::string> mPeerAddresses;
  std::map<CallNumber, Call> mCalls;
  std::map<RequestId, CallNumber> mCallByRequest;
  CallNumber mLastCall = 0;
  std::map<RequestId, Origin> mOrigins; ///< By the request number in the scheduling core.
  /// The scheduling core's request numbers of peers' calls.
  std::map<std::pair<Incarnation, CallNumber>, RequestId> mPeerRequests;
  /// Cancelled calls of peers, with the time until which a late submission is expected.
  std::map<std::pair<Incarnation, CallNumber>, Time> mCancelled;
  RequestId mLastCoreRequest = 0;
  dispatch::Actions mDispatchActions;
  holding::Actions mHoldingActions;
  Time mStarted{};
  Time mLastEvent{};
  Time mNextPresence{};
  Time mNextClaims{};
  bool mPresenceDue = false;    ///< The set of held upstreams has changed.
  bool mInStartupPeriod = true; ///< See Options::mStartupPeriod.
  /// For each data centre whose entries are all gone or draining: since when.
  std::map<std::string, Time, std::less<>> mAbandonedSince;
  bool mClaimsDue = false; ///< The assignment of upstreams to holders may have changed.
  std::map<Partition, std::vector<std::string>> mPartitions; ///< Keys of the listed upstreams.
  bool mDraining = false;
  bool mStopped = false;
  Time mDrainBegan{};
  Counts mCounts;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

void AddReport(Actions& aActions, std::string aEvent, Fields aFields, bool aWarning = false);

// calls.cpp

void SubmitCall(State& aState, const CallerSubmit& aEvent, const Now& aNow, Actions& aActions);
/// Answers every waiting caller with an error, at the end of a drain.
void FailAllCalls(State& aState, Actions& aActions);
void CancelCall(State& aState,
                const CallerDisconnected& aEvent,
                const Now& aNow,
                Actions& aActions);

/// Forwards calls that are due, resubmits those of silent holders, and fails expired ones.
void AdvanceCalls(State& aState, const Now& aNow, Actions& aActions);

/// Handles a holder's answer to a call, or its refusal.
void HandleOutcome(State& aState,
                   CallNumber aNumber,
                   Incarnation aHolder,
                   std::optional<JobAnswer> aAnswer,
                   std::optional<Error> aError,
                   const Now& aNow,
                   Actions& aActions);

/// Sends all calls forwarded to a peer again, after the connection to it was lost.
void ResendCalls(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Sends those calls again that a peer's presence no longer lists, because the peer's answer was
/// lost.
void ResendMissingCalls(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Numbers of the calls that are forwarded to a peer.
std::vector<std::uint64_t> OpenCallsAt(const State& aState, Incarnation aPeer);

// holder.cpp

/// Runs a job for one of this entry's calls or for a peer.
void RunJob(State& aState, Origin aOrigin, JobSpec aJob, const Now& aNow, Actions& aActions);

/// Withdraws a request for a job, and cancels the job if it was the last one.
void CancelOrigin(State& aState, RequestId aRequest, const Now& aNow);

/// Executes actions of the scheduling core and of `holding` until none are left.
void ProcessPendingActions(State& aState, const Now& aNow, Actions& aActions);

/// Runs a peer's job. Refuses it if this entry is draining, if the peer has cancelled it in the
/// meantime, or if the submission arrived too late or was meant for another incarnation.
/// Does nothing for a job that has been accepted already.
void RunPeerJob(State& aState,
                Incarnation aPeer,
                const message::Submit& aSubmit,
                const Now& aNow,
                Actions& aActions);

/// Cancels a peer's job. A submission that arrives later is refused.
void CancelPeerJob(State& aState, Incarnation aPeer, CallNumber aNumber, const Now& aNow);

/// Cancels the jobs of a peer that its latest presence does not list.
void CancelUnlistedJobs(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Call numbers of the jobs that this entry runs for a peer.
std::vector<std::uint64_t> AcceptedCallsFrom(const State& aState, Incarnation aPeer);

/// Cancels the jobs of owners that are no longer alive.
void CancelJobsOfLostOwners(State& aState, const Now& aNow, Actions& aActions);

/// Returns the jobs of which no task has started to their owners.
void ReturnUnstartedJobs(State& aState, const Now& aNow, Actions& aActions);

void ApplyUpstreams(State& aState, const UpstreamsListed& aEvent, const Now& aNow);
void DropMissingUpstreams(State& aState, const Now& aNow);
void Reconfigure(State& aState, const Now& aNow);

std::vector<message::ServiceLoad> LoadsOf(const State& aState);

// claims.cpp

/// Divides the listed upstreams of each data centre into one partition for each holder.
std::map<Partition, std::vector<std::string>> PartitionUpstreams(const State& aState);

/// Claims and releases upstreams according to the set of live entries.
void UpdateClaims(State& aState, const Now& aNow, Actions& aActions);

// peers.cpp

/// Whether the peer has echoed a recent timestamp of this entry, which shows that messages arrive
/// in both directions.
bool IsAlive(const State& aState, const Peer& aPeer, const Now& aNow);
Peer* FindPeer(State& aState, Incarnation aIncarnation);
void ApplyEntries(State& aState, const EntriesListed& aEvent, Actions& aActions);
void HandlePresence(State& aState,
                    const std::string& aFrom,
                    const message::Presence& aPresence,
                    const Now& aNow,
                    Actions& aActions);
void SendPresence(State& aState, const Now& aNow, Actions& aActions);

/// Logs peers that have become silent or alive again, and replaces connections over which messages
/// no longer reach the peer.
void WatchPeers(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::entry
