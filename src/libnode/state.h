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

/// The node's state and the functions that the files of this library offer each other.
namespace pollenwall::node {

/// Who waits for an answer: a caller of this entry, or a peer that sent a message.
struct Origin
{
  RequestId mCaller = 0; ///< Set for a caller.
  Incarnation mPeer;     ///< Set for a peer, with the number of its message.
  std::uint64_t mNumber = 0;
};

/// A request that dispatch holds, by the number that this node gave it.
struct Waiter
{
  Origin mOrigin;
  bool mUntilAccepted = false; ///< Answered when the job is accepted, not when it ends.
  bool mCallerChosen = false;  ///< A refusal has to be remembered.
  std::string mId;
  std::uint64_t mBodyHash = 0;
  std::optional<Time> mUntil; ///< Then answered with the job's status.
};

/// A message sent to a peer whose Reply is awaited.
struct Forward
{
  Origin mOrigin;
  Incarnation mTo;
  std::string mId;
  std::string mTeam;
  bool mWait = false; ///< A Status that waits; when its time is over the status is asked for.
  Time mUntil{};
};

/// The latest numbers received from one peer, to drop duplicates. A number older than the window
/// counts as seen.
struct NumberWindow
{
  static constexpr std::size_t kSize = 4096;

  std::uint64_t mTop = 0;
  std::vector<bool> mSeen = std::vector<bool>(kSize);
};

/// The read position and pace of one stream.
struct Stream
{
  bool mReading = false;
  bool mReachedEnd = false; ///< Once at least.
  std::uint64_t mNext = 0;
  Time mRetryAt{};
  int mFailures = 0; ///< Reads failed in a row.
};

/// One append at a time.
struct Append
{
  std::uint64_t mToken = 0; ///< 0 when none is outstanding.
  Time mNextAt{};
  int mFailures = 0;
};

/// An upstream of the configuration, and this entry's slots of it.
struct Slots
{
  std::uint32_t mTotal = 0;
  bool mHere = false;       ///< Of this data centre.
  std::uint32_t mShare = 0; ///< By the view; 0 for other data centres.
  std::uint32_t mHeldBack =
    0; ///< Of mShare: not used until the earlier holders are known to be done.
  std::uint32_t mDeparted = 0; ///< Slots that departed members held, of which mHeldBack is a part.
  std::uint32_t mLent = 0;
  std::uint32_t mBorrowed = 0;
  std::uint32_t mCredits = 0; ///< Last told to dispatch.
  bool mQuerying = false;
  Time mQueryAt{};
  int mQueries = 0;
  std::string mWorkerAddress;
};

/// Credits lent to or borrowed from a peer.
struct Loan
{
  Incarnation mPeer;
  std::map<std::string, std::uint32_t, std::less<>> mCredits;
  Time mExpires{};
  bool mExpired = false; ///< Nothing starts on it; mCredits are those whose tasks still run.
  bool mRecalled = false;
};

/// A peer's number and the sender make a loan's key.
using LoanKey = std::pair<Incarnation, std::uint64_t>;

struct PendingBorrow
{
  std::string mService;
  Incarnation mPeer;
  Time mUntil{};
};

/// Jobs sent to a peer by a planned stop, until it says which it took.
struct PendingHandover
{
  Incarnation mTo;
  std::vector<JobSpec> mJobs;
  std::size_t mBytes = 0;                                        ///< Of their payloads.
  std::unordered_map<std::string, std::vector<Waiter>> mWaiters; ///< By job.
  Time mUntil{};
};

/// What this entry has told and heard of one peer, beyond membership.
struct PeerNotes
{
  NumberWindow mNumbers;
  std::map<std::string, message::Vote, std::less<>> mVotes; ///< To send, by data centre.
  std::unordered_set<std::uint64_t> mForwards;
  std::map<std::string, double, std::less<>> mDemands;
  std::map<std::string, double, std::less<>> mDemandsSent; ///< On this link.
  std::string mLastDemand;                                 ///< The team sent last.
  std::uint64_t mVotedVersion = 0;   ///< Of the view of its data centre, the latest voted for.
  std::optional<Time> mAskedForVote; ///< Its heartbeats are answered while it asks.
};

/// Counted since the start.
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
  dispatch::Actions mDispatchActions; ///< Reused between events.
  Time mStarted{};
  std::optional<Now> mLastEvent;
  std::int64_t mWallUs = 0; ///< The wall clock, except that it never steps back.

  // Configuration.
  configuration::ConfigurationLog mConfiguration;
  configuration::Version mAppliedVersion = 0; ///< Last one handed to dispatch.
  Time mConfigFetchAt{};
  configuration::Version mBehindWith = 0; ///< A peer has had a later one since mBehindSince.
  Time mBehindSince{};
  double mSnapshotShare = 0;
  UnixMs mSnapshotMs = -1; ///< The newest snapshot when mSnapshotShare was drawn.
  std::map<std::string, Stream, std::less<>> mStreams;
  Append mConfigurationAppend;
  std::uint64_t mNextToken = 0;

  // Requests.
  std::uint64_t mNextSequence = 0; ///< Of minted ids.
  std::uint64_t mNextNumber = 0;   ///< Of messages to peers.
  RequestId mNextRequest = 0;      ///< Of requests to dispatch.
  std::unordered_map<RequestId, Waiter> mWaiters;
  std::unordered_map<std::uint64_t, Forward> mForwards;
  struct Pending
  {
    bool mForwarded = false; ///< mKey is a message number, otherwise a request to dispatch.
    std::uint64_t mKey = 0;
  };
  std::unordered_map<RequestId, Pending> mCallers;
  std::set<std::tuple<Time, bool, std::uint64_t>>
    mTimers; ///< (when, forwarded, key) as in Pending.

  /// Refusals of caller-chosen ids, so that a later copy cannot run after "not run" was said. The
  /// key is the id and the body hash.
  std::unordered_map<std::string, Error> mRefusals;
  std::deque<std::pair<Time, std::string>> mRefusalExpiry;

  // Peers, views and leases.
  membership::Members mMembers;
  std::map<Incarnation, PeerNotes> mPeers;
  std::set<std::string> mConnected; ///< Addresses given to Connect.
  ownership::ViewLog mViews;
  ownership::Acknowledgements mAcknowledged;                   ///< Of this data centre's views.
  std::map<std::string, std::uint64_t, std::less<>> mPromised; ///< No vote below, by data centre.
  ownership::Lease mLease;
  bool mHasSettled =
    false;            ///< Once in its life this entry could accept caller-chosen ids as a member.
  Time mLeasesFrom{}; ///< A read begun before the last pause renews nothing.
  Time mHeartbeatAt{};
  std::uint64_t mHeartbeatSequence = 0;
  Append mViewAppend;
  std::optional<Time> mAloneSince;  ///< No member that could confirm a tentative view.
  std::optional<Time> mProposalDue; ///< When this entry proposes if the view still differs.
  Time mControlAt{};

  // Slots and lending.
  std::map<std::string, Slots, std::less<>> mSlots;
  std::set<std::string> mHeld;    ///< Upstreams with held back slots.
  std::set<Incarnation> mWaitFor; ///< Living members whose running tasks are waited for.
  std::uint64_t mWaitForVersion = 0;
  std::unordered_map<std::string, dispatch::UpstreamIndex> mIndexByKey;
  dispatch::UpstreamIndex mIndices = 0;    ///< Indices below this one are in mIndexByKey.
  std::map<LoanKey, Loan> mLent;           ///< By borrower and its number.
  std::map<std::uint64_t, Loan> mBorrowed; ///< By own number.
  std::map<std::uint64_t, PendingBorrow> mBorrowing;
  std::set<std::string> mListedWorkers;                   ///< Addresses that a list has named.
  std::map<std::string, Time, std::less<>> mLeavingNotes; ///< Refusals "leaving", by upstream.
  std::set<std::string> mKeysTold; ///< Upstreams that dispatch has been told of.
  Time mSlotsAt{};
  Time mLongBorrowAt{};
  Time mQuotaAt{};
  std::map<std::string, double, std::less<>> mDemandSent;
  std::map<std::string, double, std::less<>> mShareSet;

  // Journal and handover.
  std::unordered_map<std::string, message::KnownSubmission> mKnowledge; ///< Of other entries' jobs.
  std::deque<std::string> mKnowledgeOrder;
  std::unordered_map<std::string, message::KnownSubmission> mOpen; ///< Accepted here, not ended.
  std::deque<std::pair<Time, std::string>> mOpenOrder; ///< To be journalled when still open.
  std::deque<message::KnownSubmission> mJournalBuffer;
  std::vector<message::KnownSubmission> mJournalBatch; ///< Outstanding, or to be repeated.
  Append mJournalAppend;
  std::deque<std::pair<Time, message::KnownSubmission>> mFinished; ///< For the handover.
  std::map<std::uint64_t, PendingHandover> mHandovers;
  std::unordered_map<std::string, Incarnation> mMoved; ///< Jobs handed over, and to whom.
  std::optional<Time> mDrainStarted;
  Time mHandoverAt{}; ///< Jobs are not offered before.
  bool mKnownHandedOver = false;
  bool mStopped = false;

  NodeCounters mCounters;
};

// node.cpp

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage);

/// Hands an event to dispatch and carries out what it asks for.
void Dispatch(State& aState, const dispatch::Event& aEvent, const Now& aNow, Actions& aActions);

/// Sends to a peer when its link is up; returns whether it was sent.
bool Send(State& aState, Incarnation aTo, message::Message aMessage, Actions& aActions);

std::chrono::milliseconds Jitter(State& aState,
                                 std::chrono::milliseconds aLeast,
                                 std::chrono::milliseconds aMost);

bool IsLinkUp(const State& aState, Incarnation aPeer);

// routing.cpp

void AnswerOrigin(State& aState, const Origin& aOrigin, JobAnswer aAnswer, Actions& aActions);
void AnswerOrigin(State& aState, const Origin& aOrigin, Error aError, Actions& aActions);
std::optional<Waiter> TakeWaiter(State& aState, RequestId aRequest);
RequestId AddWaiter(State& aState, Waiter aWaiter);
void CarryAccepted(State& aState, dispatch::Accepted& aAction, Actions& aActions);
void CarryAnswer(State& aState, dispatch::Answer& aAction, Actions& aActions);
void CarryRefusal(State& aState, dispatch::Refuse& aAction, const Now& aNow, Actions& aActions);

void OnCallerSubmit(State& aState, CallerSubmit& aEvent, const Now& aNow, Actions& aActions);
void OnCallerStatus(State& aState, const CallerStatus& aEvent, const Now& aNow, Actions& aActions);
void OnCallerCancel(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions);
void OnCallerGone(State& aState, const CallerGone& aEvent, const Now& aNow, Actions& aActions);
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

/// Answers what waits for a peer that is lost.
void FailForwards(State& aState, Incarnation aPeer, Actions& aActions);
void RunTimers(State& aState, const Now& aNow, Actions& aActions);

/// Lets a waiter of a job that was handed over wait for the new holder's answer.
void WaitAtPeer(State& aState,
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

/// Drops leases when the process was paused.
void NotePause(State& aState, const Now& aNow, Actions& aActions);
void TickControl(State& aState, const Now& aNow, Actions& aActions);

/// Whether an append may be started; and its start.
bool MayAppend(const Append& aAppend, const Now& aNow);
void StartAppend(State& aState,
                 Append& aAppend,
                 std::string aStream,
                 std::string aData,
                 Actions& aActions);

// slots.cpp

/// Shares follow the upstreams of a new configuration.
void FollowConfiguration(State& aState, const Now& aNow, Actions& aActions);

/// Shares follow the view in force, which replaced aOld (null when none was known). Slots that are
/// new to this entry are held back until their earlier holders are done with them.
void FollowView(State& aState, const ownership::View* aOld, const Now& aNow, Actions& aActions);

/// Tells peers that a worker refuses because it is leaving.
void NoteRefusal(State& aState, const UpstreamAnswered& aEvent, const Now& aNow);
void OnSlotsAnswered(State& aState,
                     const SlotsAnswered& aEvent,
                     const Now& aNow,
                     Actions& aActions);
void TickSlots(State& aState, const Now& aNow, Actions& aActions);

/// Upstreams where more runs than this entry's credits allow.
std::vector<std::string> OccupiedUpstreams(const State& aState);

// lending.cpp

/// Asks for credits when tasks of the service wait: lent ones back, others from peers with idle
/// ones.
void SeekCredits(State& aState, const std::string& aService, const Now& aNow, Actions& aActions);

/// Returns a credit of an ended loan once its task has ended.
void ReturnAfterTask(State& aState, dispatch::UpstreamIndex aUpstream, Actions& aActions);

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

void NoteAccepted(State& aState, const std::string& aId, const Now& aNow);
void NoteFinished(State& aState, const dispatch::Finished& aAction, const Now& aNow);
void ApplyJournalRecord(State& aState, std::string_view aText);
void NoteKnown(State& aState, const message::KnownSubmission& aKnown);
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
void FailHandovers(State& aState, Incarnation aPeer, const Now& aNow, Actions& aActions);
void TickHandover(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::node
