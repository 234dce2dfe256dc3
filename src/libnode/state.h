#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include <pollenwall/configuration_log.h>
#include <pollenwall/membership.h>
#include <pollenwall/node.h>
#include <pollenwall/ownership.h>

/// The node's state, and the functions that the files of this library share.
namespace pollenwall::node {

/// The requester that waits for an answer: a caller of this entry, or a peer that sent a message.
struct Origin
{
  RequestId mCaller = 0; ///< Set for a caller.
  Incarnation mPeer;     ///< Set for a peer, together with mNumber, the number of its message.
  std::uint64_t mNumber = 0;
};

/// A request that dispatch has not answered yet. State::mWaiters holds it by the request number
/// that this node assigned.
struct Waiter
{
  Origin mOrigin;
  bool mAnswerOnAccept = false; ///< Answered when the job is accepted instead of when it ends.
  bool mCallerChosen = false;   ///< The caller chose the id, so a refusal has to be remembered.
  std::string mId;
  std::uint64_t mBodyHash = 0;
  std::optional<Time> mUntil; ///< Answered with the job's current status at this time.
};

/// A message sent to a peer whose Reply is outstanding.
struct Forward
{
  Origin mOrigin;
  Incarnation mTo;
  std::string mId;
  std::string mTeam;
  bool mWait = false; ///< A waiting Status: on timeout, the current status is requested.
  Time mUntil{};
};

/// Sliding window of the message numbers received from one peer, to drop duplicates. A number older
/// than the window counts as received.
struct ReplayWindow
{
  static constexpr std::size_t kSize = 4096;

  std::uint64_t mHighest = 0;
  std::vector<bool> mSeen = std::vector<bool>(kSize);
};

/// The read position in one log stream, and the retries of failed reads.
struct StreamCursor
{
  bool mReading = false;
  bool mReachedEnd = false; ///< The end has been reached at least once.
  std::uint64_t mNext = 0;
  Time mRetryAt{};
  int mFailures = 0; ///< Consecutive failed reads.
};

/// Appends to one log stream; at most one is outstanding.
struct AppendState
{
  std::uint64_t mToken = 0; ///< 0 when none is outstanding.
  Time mNextAt{};
  int mFailures = 0;
};

/// A configured upstream and this entry's slots on it.
struct UpstreamSlots
{
  std::uint32_t mTotal = 0;
  bool mIsLocal = false;    ///< In this entry's data centre.
  std::uint32_t mShare = 0; ///< This entry's slots by the view; 0 in other data centres.
  std::uint32_t mHeldBack =
    0; ///< Part of mShare that is unused until the previous holders are done.
  std::uint32_t mDepartedSlots = 0; ///< Slots that departed members or unreachable borrowers held;
                                    ///< mHeldBack is this entry's part.
  std::uint32_t mLent = 0;
  std::uint32_t mBorrowed = 0;
  std::uint32_t mCredits = 0; ///< Value last passed to dispatch.
  bool mQuerying = false;
  Time mNextQuery{};
  int mQueries = 0;
  std::string mWorkerAddress;
};

/// Credits lent to or borrowed from a peer.
struct Loan
{
  Incarnation mPeer;
  std::map<std::string, std::uint32_t, std::less<>> mCredits;
  Time mExpires{}; ///< After a borrowed loan has ended: the earliest time to erase it.
  bool mExpired =
    false; ///< No task starts on it any more; mCredits are those whose tasks still run.
  bool mRecalled = false;
};

/// The borrower and its number for the loan.
using LoanKey = std::pair<Incarnation, std::uint64_t>;

struct PendingBorrow
{
  std::string mService;
  Incarnation mPeer;
  Time mUntil{};
};

/// Jobs sent to a peer during a planned stop, until the peer's reply names those that it took.
struct PendingHandover
{
  Incarnation mTo;
  std::vector<JobSpec> mJobs;
  std::size_t mBytes = 0;                                        ///< Total size of the payloads.
  std::unordered_map<std::string, std::vector<Waiter>> mWaiters; ///< By job id.
  Time mUntil{};
};

/// Data exchanged with one peer that is not part of membership.
struct PeerContext
{
  ReplayWindow mReceivedNumbers;
  std::map<std::string, message::Vote, std::less<>>
    mVotes; ///< Votes to send with the next heartbeat, by data centre.
  std::unordered_set<std::uint64_t> mForwards;
  std::map<std::string, double, std::less<>> mDemands; ///< Reported by the peer, by team.
  std::map<std::string, double, std::less<>>
    mSentDemands;              ///< Last values sent over the current link.
  std::string mLastDemandTeam; ///< The team whose demand was sent last.
  std::uint64_t mVotedVersion =
    0; ///< Latest view version of its data centre that this entry voted for.
  /// Time of the peer's last vote request. The peer is sent heartbeats for a while after it.
  std::optional<Time> mVoteRequestedAt;
};

/// Counters since process start.
struct NodeCounters
{
  std::uint64_t mForwarded = 0;
  std::uint64_t mLateReplies = 0;
  std::uint64_t mDuplicateMessages = 0;
  std::uint64_t mRepeatedRefusals = 0;
  std::uint64_t mPauses = 0;
  std::uint64_t mViewsProposed = 0;
  std::uint64_t mHeartbeatsSent = 0;
  std::uint64_t mBorrowRequests = 0;
  std::uint64_t mCreditsBorrowed = 0;
  std::uint64_t mCreditsLent = 0;
  std::uint64_t mSlotQueries = 0;
  std::uint64_t mJournalEntries = 0;
  std::uint64_t mJournalDropped = 0;
  std::uint64_t mHandedOver = 0;
  std::uint64_t mTakenOver = 0;
};

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mDispatch;
  dispatch::Actions mDispatchActions; ///< Buffer that is reused between events.
  Time mStarted{};
  std::optional<Now> mLastEvent;
  std::int64_t mMonotonicWallUs = 0; ///< The wall clock, kept from stepping back.

  // Configuration.
  configuration::ConfigurationLog mConfiguration;
  configuration::Version mAppliedVersion = 0; ///< Last version passed to dispatch.
  Time mNextConfigFetch{};
  configuration::Version mStaleVersion =
    0; ///< Own version when mStaleSince was set; a peer has had a later one since.
  Time mStaleSince{};
  double mSnapshotJitter = 0;
  UnixMs mSnapshotMs = -1; ///< Time of the snapshot for which mSnapshotJitter was drawn.
  std::map<std::string, StreamCursor, std::less<>> mStreams;
  AppendState mConfigurationAppend;
  std::uint64_t mNextToken = 0;

  // Requests.
  std::uint64_t mNextSequence = 0; ///< For generated job ids.
  std::uint64_t mNextNumber = 0;   ///< For messages to peers.
  RequestId mNextRequest = 0;      ///< For requests to dispatch.
  std::unordered_map<RequestId, Waiter> mWaiters;
  std::unordered_map<std::uint64_t, Forward> mForwards;
  struct PendingCall
  {
    bool mForwarded = false; ///< mKey is a message number if set, otherwise a request to dispatch.
    std::uint64_t mKey = 0;
  };
  std::unordered_map<RequestId, PendingCall> mCallers;
  std::set<std::tuple<Time, bool, std::uint64_t>>
    mTimers; ///< (time, forwarded, key), the last two as in PendingCall.

  /// Refusals of caller-chosen ids with the verdict "not run". They are remembered so that a later
  /// copy of the submission cannot run. The key is the id and the body hash.
  std::unordered_map<std::string, Error> mRefusals;
  std::deque<std::pair<Time, std::string>> mRefusalExpiry;

  // Peers, views and leases.
  membership::Members mMembers;
  std::map<Incarnation, PeerContext> mPeers;
  std::set<std::string> mConnected; ///< Addresses for which Connect was issued.
  ownership::ViewLog mViews;
  ownership::Acknowledgements mAcknowledged; ///< Acknowledgements of this data centre's views.
  std::map<std::string, std::uint64_t, std::less<>>
    mPromisedVersions; ///< Lowest view version that this entry still votes for, by data centre.
  ownership::Lease mLease;
  /// Since process start this entry was at least once able to accept caller-chosen ids as a member.
  bool mHasSettled = false;
  Time mMinLeaseReadStart{}; ///< Start of the oldest read that may renew the lease: the end of the
                             ///< last pause.
  Time mNextHeartbeat{};
  std::uint64_t mHeartbeatSequence = 0;
  AppendState mViewAppend;
  std::optional<Time>
    mNoConfirmerSince; ///< Time since which no member could confirm the tentative view.
  std::optional<Time>
    mProposalDue; ///< When this entry proposes a view if a change is still needed.
  Time mNextControlTick{};

  // Slots and lending.
  std::map<std::string, UpstreamSlots, std::less<>> mSlots;
  std::set<std::string> mHeldBackUpstreams; ///< Upstreams with held-back slots.
  /// Live previous holders. Held-back slots are released when these have acknowledged
  /// mAwaitedVersion and run no more tasks on the upstream than their credits allow.
  std::set<Incarnation> mAwaitedMembers;
  std::uint64_t mAwaitedVersion = 0;
  std::unordered_map<std::string, dispatch::UpstreamIndex> mIndexByKey;
  dispatch::UpstreamIndex mIndexCount = 0; ///< Upstreams with lower indices are in mIndexByKey.
  std::map<LoanKey, Loan> mLentLoans;      ///< Credits lent to peers.
  std::map<std::uint64_t, Loan>
    mBorrowedLoans; ///< Credits borrowed from peers, by the number of this entry's request.
  std::map<std::uint64_t, PendingBorrow> mPendingBorrows;
  std::set<std::string> mListedWorkers; ///< Worker addresses that a VM list has named.
  std::map<std::string, Time, std::less<>>
    mLeavingNotes; ///< Upstreams that refused a task because they are leaving, with the expiry of
                   ///< the note.
  std::set<std::string> mAnnouncedUpstreams; ///< Upstreams that were passed to dispatch.
  Time mNextSlotsTick{};
  Time mNextLongBorrow{};
  Time mNextQuotaTick{};
  /// This entry's demands as sent to peers, by team; small changes are left out.
  std::map<std::string, double, std::less<>> mPublishedDemands;
  /// This entry's quota shares as last passed to dispatch, by team.
  std::map<std::string, double, std::less<>> mAppliedShares;

  // Journal and handover.
  std::unordered_map<std::string, message::KnownSubmission>
    mRemoteSubmissions; ///< Submissions to other entries, from journals and handovers.
  std::deque<std::string> mRemoteSubmissionOrder;
  std::unordered_map<std::string, message::KnownSubmission>
    mOpenJobs; ///< Jobs accepted here that have not ended.
  std::deque<std::pair<Time, std::string>>
    mOpenJobsDue; ///< Jobs to be journalled as accepted if they are still open at the given time.
  std::deque<message::KnownSubmission> mJournalBuffer;
  std::vector<message::KnownSubmission>
    mJournalBatch; ///< The batch whose append is outstanding or has to be retried.
  AppendState mJournalAppend;
  std::deque<std::pair<Time, message::KnownSubmission>>
    mFinishedJobs; ///< Ended jobs that a planned stop reports to their owners.
  std::map<std::uint64_t, PendingHandover> mHandovers;
  std::unordered_map<std::string, Incarnation>
    mHandedOverTo; ///< The receivers of jobs that were handed over.
  std::optional<Time> mDrainStarted;
  Time mNextHandover{};          ///< Earliest time of the next handover of jobs.
  bool mKnownHandedOver = false; ///< Ended submissions were reported to their owners.
  bool mStopped = false;

  NodeCounters mCounters;
};

// node.cpp

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage);

/// Passes an event to dispatch and executes the resulting actions.
void Dispatch(State& aState, const dispatch::Event& aEvent, const Now& aNow, Actions& aActions);

/// Sends a message if the link to the peer is up. Returns whether it was sent.
bool Send(State& aState, Incarnation aTo, message::Message aMessage, Actions& aActions);

std::chrono::milliseconds Jitter(State& aState,
                                 std::chrono::milliseconds aMin,
                                 std::chrono::milliseconds aMax);

bool IsLinkUp(const State& aState, Incarnation aPeer);

// routing.cpp

void AnswerOrigin(State& aState, const Origin& aOrigin, JobAnswer aAnswer, Actions& aActions);
void AnswerOrigin(State& aState, const Origin& aOrigin, Error aError, Actions& aActions);
std::optional<Waiter> TakeWaiter(State& aState, RequestId aRequest);
RequestId AddWaiter(State& aState, Waiter aWaiter);
void OnJobAccepted(State& aState, dispatch::Accepted& aAction, Actions& aActions);
void OnJobAnswered(State& aState, dispatch::Answer& aAction, Actions& aActions);
void OnJobRefused(State& aState, dispatch::Refuse& aAction, const Now& aNow, Actions& aActions);

void OnCallerSubmit(State& aState, CallerSubmit& aEvent, const Now& aNow, Actions& aActions);
void OnCallerStatus(State& aState, const CallerStatus& aEvent, const Now& aNow, Actions& aActions);
void OnCallerCancel(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions);
void OnCallerDisconnected(State& aState,
                          const CallerDisconnected& aEvent,
                          const Now& aNow,
                          Actions& aActions);
void OnSubmit(State& aState,
              Incarnation aFrom,
              message::Submit& aMessage,
              const Now& aNow,
              Actions& aActions);
void OnStatus(State& aState,
              Incarnation aFrom,
              const message::Status& aMessage,
              const Now& aNow,
              Actions& aActions);
void OnCancel(State& aState,
              Incarnation aFrom,
              const message::Cancel& aMessage,
              const Now& aNow,
              Actions& aActions);
void OnReply(State& aState, Incarnation aFrom, const message::Reply& aMessage, Actions& aActions);

/// Answers with an error all requests that were forwarded to a peer whose link is down.
void FailForwardsTo(State& aState, Incarnation aPeer, Actions& aActions);
void RunTimers(State& aState, const Now& aNow, Actions& aActions);

/// Forwards the waiter of a job that was handed over to the job's new holder.
void ForwardWaiter(State& aState,
                   const Waiter& aWaiter,
                   const std::string& aTeam,
                   Incarnation aPeer,
                   const Now& aNow,
                   Actions& aActions);

// control.cpp

void OnPeerUp(State& aState, const PeerUp& aEvent, const Now& aNow, Actions& aActions);
void OnPeerDown(State& aState, const PeerDown& aEvent, const Now& aNow, Actions& aActions);
void OnHeartbeat(State& aState,
                 Incarnation aFrom,
                 const message::Heartbeat& aMessage,
                 const Now& aNow,
                 Actions& aActions);
void OnVmList(State& aState, const VmList& aEvent, const Now& aNow, Actions& aActions);
void OnLogRead(State& aState, const LogRead& aEvent, const Now& aNow, Actions& aActions);
void OnLogAppended(State& aState, const LogAppended& aEvent, const Now& aNow, Actions& aActions);
void OnConfigFetch(State& aState,
                   Incarnation aFrom,
                   const message::ConfigFetch& aMessage,
                   Actions& aActions);
void OnConfigItems(State& aState,
                   const message::ConfigItems& aMessage,
                   const Now& aNow,
                   Actions& aActions);

/// Drops the lease after a gap between events, which shows that the process was paused.
void DetectPause(State& aState, const Now& aNow, Actions& aActions);
void TickControl(State& aState, const Now& aNow, Actions& aActions);

/// Whether the next append to the stream may be started now.
bool MayAppend(const AppendState& aAppend, const Now& aNow);
void StartAppend(State& aState,
                 AppendState& aAppend,
                 std::string aStream,
                 std::string aData,
                 Actions& aActions);

// slots.cpp

/// Updates this entry's shares of the slots after a change of configuration.
void UpdateSlotsForConfiguration(State& aState, const Now& aNow, Actions& aActions);

/// Updates this entry's shares of the slots after the view aOld was replaced (null when no earlier
/// view is known). Slots that are new to this entry are held back until their previous holders'
/// tasks on the upstream have ended.
void UpdateSlotsForView(State& aState,
                        const ownership::View* aOld,
                        const Now& aNow,
                        Actions& aActions);

/// Records that a worker refused a task because it is leaving. Heartbeats report it to the peers.
void RecordLeavingRefusal(State& aState, const UpstreamAnswered& aEvent, const Now& aNow);
void OnSlotsAnswered(State& aState,
                     const SlotsAnswered& aEvent,
                     const Now& aNow,
                     Actions& aActions);
void TickSlots(State& aState, const Now& aNow, Actions& aActions);

/// Upstreams on which this entry runs more tasks than its credits allow.
std::vector<std::string> OccupiedUpstreams(const State& aState);

// lending.cpp

/// Requests credits when tasks of the service wait: recalls lent ones, and borrows from peers with
/// idle ones.
void RequestCredits(State& aState, const std::string& aService, const Now& aNow, Actions& aActions);

/// Returns a credit of an ended loan when its task has ended.
void ReturnCreditsAfterTask(State& aState, dispatch::UpstreamIndex aUpstream, Actions& aActions);

void OnBorrow(State& aState,
              Incarnation aFrom,
              const message::Borrow& aMessage,
              const Now& aNow,
              Actions& aActions);
void OnGrant(State& aState,
             Incarnation aFrom,
             const message::Grant& aMessage,
             const Now& aNow,
             Actions& aActions);
void OnReturnCredits(State& aState,
                     Incarnation aFrom,
                     const message::ReturnCredits& aMessage,
                     const Now& aNow,
                     Actions& aActions);

// quota.cpp

void TickQuota(State& aState, const Now& aNow, Actions& aActions);

// journal.cpp

void TrackAcceptedJob(State& aState, const std::string& aId, const Now& aNow);
void JournalFinishedJob(State& aState, const dispatch::Finished& aAction, const Now& aNow);
void ApplyJournalRecord(State& aState, std::string_view aText);
void RecordRemoteSubmission(State& aState, const message::KnownSubmission& aKnown);
void OnJournalAppended(State& aState, bool aOk, const Now& aNow);
void TickJournal(State& aState, const Now& aNow, Actions& aActions);

// handover.cpp

void OnDrain(State& aState, const Now& aNow, Actions& aActions);
void OnHandover(State& aState,
                Incarnation aFrom,
                const message::Handover& aMessage,
                const Now& aNow,
                Actions& aActions);
void OnHandoverReply(State& aState,
                     Incarnation aFrom,
                     const message::HandoverReply& aMessage,
                     const Now& aNow,
                     Actions& aActions);
void FailHandoversTo(State& aState, Incarnation aPeer, const Now& aNow, Actions& aActions);
void TickHandover(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::node
