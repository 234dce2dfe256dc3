#pragma once

#include <array>
#include <map>
#include <random>
#include <set>

#include <pollenwall/entry.h>

/// The state behind entry.h, shared by the files of this library.
namespace pollenwall::entry {

/// Numbers the jobs of this entry's callers towards holders.
using CallNumber = std::uint64_t;

/// A job of a caller that is connected to this entry.
struct Call
{
  RequestId mRequest = 0;
  JobSpec mJob;
  std::string mCallersId; ///< See CallerSubmit.
  Time mDeadline{};
  std::uint64_t mMilliCores = 0; ///< Asked for by all tasks together.
  /// The holder that has the job; empty while it waits to be forwarded.
  std::optional<Incarnation> mHolder;
  std::vector<Incarnation> mRefusedBy; ///< Since it was last submitted elsewhere.
  std::optional<Error> mRefusal;       ///< The last one.
  Time mForwardAt{};                   ///< When it waits: not before this.
  Time mForwardedAt{};                 ///< When it was last sent to mHolder.
  Verdict mVerdict = Verdict::NotRun;  ///< Of earlier submissions.
};

/// Where a job that this entry runs as a holder came from: a call of this entry, or a peer's.
struct Origin
{
  std::optional<Incarnation> mPeer;
  CallNumber mNumber = 0;
  std::string mJob;
};

struct Peer
{
  std::string mAddress;
  Incarnation mIncarnation;
  std::optional<Time> mHeardAt;
  /// The latest time of this entry that the peer has echoed. All that the peer has sent with or
  /// after the echo is younger, however long it was held up on the way.
  std::optional<Time> mEchoedAt;
  Time mConnectedAt{};
  Time mNextIdlePresence{};
  message::Presence mPresence;
  std::set<std::uint64_t> mHeld;
  std::map<std::string, std::uint64_t, std::less<>> mSentMilliCores; ///< Since its last presence.
  bool mWasLiving = false;                                           ///< As last reported.
};

struct Upstream
{
  UpstreamRecord mRecord;
  std::uint64_t mHash = 0; ///< Of its key.
  std::optional<Time> mMissingSince;
  Time mClaimNotBefore{};
  std::uint64_t mLeastToken = 0; ///< The next claim's token exceeds this.
};

/// Upstreams of one data centre that one entry should hold.
struct Share
{
  std::string mDataCentre;
  std::size_t mNumber = 0; ///< Of the shares of this data centre.

  friend auto operator<=>(const Share&, const Share&) = default;
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
  std::uint64_t mLooksLost = 0;
  std::uint64_t mStartsUnanswered = 0;
  std::array<std::uint64_t, holding::kOrderStatuses> mStarts{}; ///< By holding::OrderStatus.
  std::array<std::uint64_t, holding::kOrderStatuses> mStops{};
  std::array<std::uint64_t, holding::kOrderStatuses> mLooks{};
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
  std::map<RequestId, Origin> mOrigins;                            ///< By the core's request.
  std::map<std::pair<Incarnation, CallNumber>, RequestId> mRemote; ///< Origins of peers.
  /// Submissions of peers that must not run any more, and when that can be forgotten.
  std::map<std::pair<Incarnation, CallNumber>, Time> mCancelled;
  RequestId mLastOrigin = 0;
  dispatch::Actions mDispatchActions;
  holding::Actions mHoldingActions;
  Time mStarted{};
  Time mLastEvent{};
  Time mNextPresence{};
  Time mNextClaims{};
  bool mPresenceDue = false; ///< What this entry holds has changed.
  bool mIntroducing = true;  ///< Started a short time ago.
  std::map<std::string, Time, std::less<>>
    mAbandonedSince;       ///< Data centres without living entries.
  bool mClaimsDue = false; ///< What decides who should hold what has changed.
  std::map<Share, std::vector<std::string>> mShares; ///< Keys of the upstreams listed.
  bool mDraining = false;
  bool mStopped = false;
  Time mDrainBegan{};
  Counts mCounts;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

void AddReport(Actions& aActions, std::string aEvent, Fields aFields, bool aWarning = false);

// calls.cpp

void SubmitCall(State& aState, const CallerSubmit& aEvent, const Now& aNow, Actions& aActions);
/// Answers every caller that still waits, at the end of a planned stop.
void EndAllCalls(State& aState, Actions& aActions);
void EndCall(State& aState, const CallerGone& aEvent, const Now& aNow, Actions& aActions);

/// Forwards calls that are due, moves those of silent holders, ends those past their deadline.
void AdvanceCalls(State& aState, const Now& aNow, Actions& aActions);

/// A holder's answer to a call, or its refusal.
void HandleOutcome(State& aState,
                   CallNumber aNumber,
                   Incarnation aHolder,
                   std::optional<JobAnswer> aAnswer,
                   std::optional<Error> aError,
                   const Now& aNow,
                   Actions& aActions);

/// Sends the calls that a peer should have again, after the connection to it was lost.
void ResendCalls(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Sends a call again that a peer does not have any more, because its answer was lost.
void ResendUntaken(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Numbers of the calls that a peer should have.
std::vector<std::uint64_t> OpenAt(const State& aState, Incarnation aPeer);

// holder.cpp

/// Runs a job for one of this entry's calls or for a peer.
void RunJob(State& aState, Origin aOrigin, JobSpec aJob, const Now& aNow, Actions& aActions);

/// Nobody waits for the job any more.
void CancelOrigin(State& aState, RequestId aRequest, const Now& aNow);

/// Carries out what the scheduling core and the holds want until neither wants anything.
void Settle(State& aState, const Now& aNow, Actions& aActions);

/// Runs a peer's job unless the peer has given it up meanwhile.
void RunPeerJob(State& aState,
                Incarnation aPeer,
                const message::Submit& aSubmit,
                const Now& aNow,
                Actions& aActions);

/// Stops a peer's job, now or when its submission arrives late.
void CancelPeerJob(State& aState, Incarnation aPeer, CallNumber aNumber, const Now& aNow);

/// Stops the jobs of a peer that its latest presence does not name.
void DropUnopened(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Numbers of a peer's jobs that this entry has.
std::vector<std::uint64_t> TakenFrom(const State& aState, Incarnation aPeer);

/// Stops the jobs of owners that are no longer heard.
void DropLostOwners(State& aState, const Now& aNow, Actions& aActions);

/// Hands the jobs of which no task has started back to their owners.
void ReturnUnstartedJobs(State& aState, const Now& aNow, Actions& aActions);

void ApplyUpstreams(State& aState, const UpstreamsListed& aEvent, const Now& aNow);
void DropMissingUpstreams(State& aState, const Now& aNow);
void Reconfigure(State& aState, const Now& aNow);

std::vector<message::ServiceLoad> LoadsOf(const State& aState);

// claims.cpp

/// The listed upstreams by data centre, in shares for one holder each.
std::map<Share, std::vector<std::string>> SharesOf(const State& aState);

/// Claims and releases upstreams as the living entries demand.
void UpdateClaims(State& aState, const Now& aNow, Actions& aActions);

// peers.cpp

/// Has echoed a time of this entry within the time allowed: each hears the other.
bool IsLiving(const State& aState, const Peer& aPeer, const Now& aNow);
Peer* FindPeer(State& aState, Incarnation aIncarnation);
void ApplyEntries(State& aState, const EntriesListed& aEvent, Actions& aActions);
void HandlePresence(State& aState,
                    const std::string& aFrom,
                    const message::Presence& aPresence,
                    const Now& aNow,
                    Actions& aActions);
void SendPresence(State& aState, const Now& aNow, Actions& aActions);

/// Reports peers that have become silent or are heard again, and renews connections on which a peer
/// does not hear this entry.
void WatchPeers(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::entry
