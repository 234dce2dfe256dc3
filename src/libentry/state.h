#pragma once

#include <array>
#include <deque>
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
  bool mSentAgain = false;             ///< More than one copy was sent to mHolder.
  Verdict mVerdict = Verdict::NotRun;  ///< Combined verdict of earlier submissions.
};

/// The call for which this entry runs a job as a holder.
struct Origin
{
  std::optional<Incarnation> mPeer; ///< Owner of the call; empty for this entry.
  CallNumber mNumber = 0;
  std::string mJob;
  /// For a peer's call: this entry's latest timestamp that the peer had received when it submitted
  /// the call or listed it as open. The job is stopped mSilentAfter later. Peer::mEchoedAt would
  /// not do: a submission over a former connection may arrive after a presence that no longer lists
  /// it.
  Time mEchoedAt{};
};

struct Peer
{
  std::string mAddress;
  Incarnation mIncarnation;
  Incarnation mFormer;          ///< That of the process before; 0: none is known.
  std::optional<Time> mHeardAt; ///< When its latest presence arrived.
  /// The latest timestamp of this entry that the peer has echoed. The peer sent the echo and all
  /// messages after it later than this, however long they were delayed on the way.
  std::optional<Time> mEchoedAt;
  Time mConnectedAt{};
  /// Age of mConnectedAt at which a connection without recent echoes is replaced.
  std::chrono::milliseconds mReconnectTimeout{ 0 };
  Time mSelectedAt{}; ///< When it became a neighbour.
  /// Interval at which this entry wants presences from the peer; 0: it is not a neighbour by this
  /// entry's choice.
  std::chrono::milliseconds mWantedInterval{ 0 };
  Time mNextPresence{};
  /// Since when presences are exchanged at Options::mPresenceInterval; empty if they are not.
  std::optional<Time> mRegularSince;
  EntryRecord mRecord; ///< As in its presence; the data centre is empty until that arrives.
  message::Presence mPresence;
  /// Time of its latest presence at the latest CallersChecked; empty if there was none. An echo of
  /// it shows the peer that this entry's open calls had their callers at that time.
  std::optional<std::int64_t> mCheckedTimeMs;
  /// The upstreams that it holds, as last received. The version is 0 until a set has been received.
  message::HeldUpstreams mHeldUpstreams;
  /// Requirements of jobs sent to the peer since its last presence, by service.
  std::map<std::string, std::uint64_t, std::less<>> mSentMilliCores;
  Time mEntriesSentAt{};  ///< When message::Entries was last sent to it.
  bool mWasAlive = false; ///< As last reported.
};

struct Upstream
{
  UpstreamRecord mRecord;
  std::uint64_t mHash = 0; ///< Hash64 of its key.
  std::optional<Time> mMissingSince;
  Time mClaimNotBefore{};
  std::uint64_t mLeastToken = 0; ///< The next claim's token exceeds this.
  std::uint32_t mLosses = 0;     ///< Since a live peer last held it.
  Time mContestedUntil{};        ///< Earliest time of the next claim after the latest loss.
  UpstreamRecord mClaimedRecord; ///< The record at the latest claim.
  /// Answers of another process at its address since it was last usable or its record last named
  /// another process, and the time of the next claim after them.
  std::uint32_t mMisdirected = 0;
  Time mMisdirectedUntil{};
  bool mUsable = false; ///< As last reported by `holding`.
  /// The slots that the scheduling core may use, as last sent to it; see evacuation.cpp.
  std::uint32_t mCredits = 0;
  Time mColdUntil{}; ///< See UpstreamRecord::mColdLeft.
};

/// State of evacuation.cpp.
struct Evacuation
{
  std::uint64_t mVersion = 0; ///< Offset in the operators' topic; 0: nothing is known.
  std::set<std::string, std::less<>> mDataCentres;
  std::set<std::string, std::less<>> mIgnoredNames; ///< Of the set, reported as unknown or invalid.
  /// Data centres whose upstreams get their slots back, and when the evacuation was revoked.
  std::map<std::string, Time, std::less<>> mRevokedAt;
  /// Requests for jobs that are being stopped in order to be offered to another holder, by job.
  std::map<std::string, std::vector<RequestId>, std::less<>> mStoppedJobs;
  /// The end of a pause. Nothing is started until an evacuation that was stored meanwhile would be
  /// known.
  std::optional<Time> mPauseEnd;
  bool mReturnsDue = false; ///< Jobs may have been queued that cannot start here.
  std::uint64_t mStartsWithheld = 0;
  std::uint64_t mIgnored = 0;         ///< Names without a known data centre.
  std::uint64_t mIgnoredFromPeer = 0; ///< Invalid sets in presences.
};

/// A subset of a data centre's upstreams that one entry should hold.
struct Partition
{
  std::string mDataCentre;
  std::size_t mNumber = 0; ///< From 0 in each data centre.

  friend auto operator<=>(const Partition&, const Partition&) = default;
};

/// Bounds the rate of some action.
struct TokenBucket
{
  double mTokens = 0;
  std::optional<Time> mFilledAt; ///< Empty: it is full.
};

/// A lookup that waits for the replies of other entries.
struct PendingLookup
{
  std::string mJob;
  bool mCancel = false;
  std::optional<RequestId> mRequest; ///< The caller's; empty if a peer has asked.
  std::string mPeer; ///< The address of the peer that has asked, its process, and its number.
  Incarnation mPeerIncarnation;
  std::uint64_t mPeerNumber = 0;
  std::set<std::string, std::less<>> mAsked; ///< Addresses of entries that have not replied.
  message::LookupResult mResult = message::LookupResult::NotFound; ///< Of the replies so far.
  Time mExpiresAt{};
};

/// What the latest presence of an entry showed, also after it is no longer a neighbour.
struct HeardEntry
{
  Time mHeardAt{};
  bool mLeaving = false;
};

/// A job that has been cancelled by its id.
struct CancelledJob
{
  Time mUntil{}; ///< When it is forgotten.
  /// It was a call of this entry. Repeated cancels are then answered in the same way, and so is the
  /// first one if the holder was asked before the owner and has told it.
  bool mWasOwned = false;
  bool mWasHeld = false; ///< The same for a job that this entry ran for a peer.
};

/// State of lookups.cpp.
struct Lookups
{
  std::map<std::uint64_t, PendingLookup> mPending; ///< By the number in messages of this entry.
  std::uint64_t mLastNumber = 0;
  TokenBucket mCallerBucket; ///< For lookups of callers that other entries are asked for.
  TokenBucket mRelayBucket;  ///< For lookups that peers ask this entry to relay.
  std::map<std::string, CancelledJob, std::less<>> mCancelled; ///< By job.
  std::set<std::pair<Time, std::string>> mCancelledByExpiry;   ///< The same, earliest first.
  std::map<std::string, HeardEntry, std::less<>> mHeard;       ///< By peer address.
};

/// Why a message or frame of another entry is not handled.
enum class DropReason
{
  FormerSender,  ///< Sent by a process that another one at its address has replaced.
  UnknownSender, ///< Its sender has sent no presence yet.
  OtherReceiver, ///< Meant for another process at the address of this one.
  Contradictory, ///< A presence that names another process than the frame does.
  Malformed,     ///< Not a frame, or one with a message of an unknown type or an invalid field.
  OtherVersion,  ///< A frame of a version that this release does not know.
};
inline constexpr std::size_t kDropReasons = 6;

/// Outcomes of callers' cancels, for the counter.
enum class CancelOutcome
{
  Acknowledged,
  NotFound,  ///< No entry has the job.
  NotTold,   ///< An entry that may be given a copy of the submission may not know the cancel.
  NotStored, ///< The store has not acknowledged the cancel in time.
  Limited,   ///< Beyond the bounds of rate or memory.
};
inline constexpr std::size_t kCancelOutcomes = 5;
inline constexpr std::size_t kCancelCallOutcomes = 4; ///< Of CancelCallOutcome.

/// A caller's cancel that has not been answered.
struct CallerCancel
{
  std::string mJob;
  Time mBegan{};
  Time mExpiresAt{};
  /// When it is told to other entries, again after an attempt that failed; empty while it is being
  /// told or stored.
  std::optional<Time> mTellAt;
  /// What the entries have answered; set when it only has to be stored.
  std::optional<message::LookupResult> mResult;
};

/// A peer's CancelledJobs that has not been answered.
struct PeerCancels
{
  std::string mPeer;
  /// The process that has sent it. Its successor may use the same number for other cancels.
  Incarnation mPeerIncarnation;
  std::uint64_t mNumber = 0;
  std::vector<std::string> mJobs; ///< In the order of the message.
};

/// Cancels that are told to other entries in one batch.
struct CancelBatch
{
  message::LookupScope mScope = message::LookupScope::Everywhere;
  std::map<std::string, message::LookupResult, std::less<>> mJobs; ///< With what is known so far.
  std::vector<RequestId> mCallers;
  std::vector<PeerCancels> mPeers;
  bool mSilent = false; ///< See message::CancelledJobsReply::mSilent.
  /// Replies that each entry still has to send, by address. An entry of the previous release sends
  /// one for each job.
  std::map<std::string, std::size_t, std::less<>> mAsked;
  Time mExpiresAt{};
};

/// Cancels that wait for the next batch of one scope.
struct CancelQueue
{
  CancelBatch mNext;
  TokenBucket mBucket; ///< For batches.
};

/// A cancel that is sent as a Lookup to an entry of the previous release.
struct FormerCancel
{
  std::uint64_t mBatch = 0;
  std::string mPeer;
  std::string mJob;
};

/// State of cancels.cpp.
struct Cancels
{
  std::map<RequestId, CallerCancel> mCallers;
  TokenBucket mBucket; ///< For cancels of callers.
  CancelQueue mEverywhere;
  CancelQueue mDataCentre;
  std::map<std::uint64_t, CancelBatch> mBatches;    ///< By the number in messages.
  std::map<std::uint64_t, FormerCancel> mFormer;    ///< By the number of the Lookup.
  std::set<std::string, std::less<>> mToStore;      ///< Jobs of the next append.
  std::set<std::string, std::less<>> mStoring;      ///< Jobs of the open append.
  std::vector<std::string> mRemoving;               ///< Keys that the open append removes.
  std::map<std::string, Time, std::less<>> mStored; ///< Keys that this entry removes, and when.
  std::uint64_t mLastAppend = 0;
  bool mAppending = false;
  TokenBucket mAppendBucket;
  Time mNextAppend{}; ///< After one that failed.
  Time mNextRemoval{};
  // The topic of cancels is read at the start, and while other entries cannot be heard.
  std::uint64_t mLastRead = 0;
  bool mReading = false;
  std::optional<std::uint64_t> mNextOffset;
  Time mNextRead{};
  std::optional<Time> mReadAt;  ///< When a read last succeeded.
  bool mKnown = false;          ///< The topic has been read, or the wait for it is over.
  Time mUnknownSince{};         ///< Since when it has not been known: the start or a pause.
  bool mMayMissCancels = false; ///< Other entries may not tell this one of cancels.
  bool mFollowing = false;      ///< The topic has been read since then, so that reads may wait.
  Time mNextReachabilityCheck{};
  Time mAnyEntryHeardAt{};        ///< When this entry was last in touch with any other entry.
  Time mOtherDataCentreHeardAt{}; ///< The same for entries of other data centres.
  Time mNextWarning{};
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
  std::uint64_t mPollsLost = 0;         ///< Times that an upstream became silent.
  std::uint64_t mUpstreamsRefusing = 0; ///< Crashes reported as CrashState::Refused.
  std::uint64_t mUpstreamsReplaced = 0; ///< Crashes reported as CrashState::Confirmed.
  std::uint64_t mStartsUnanswered = 0;
  std::uint64_t mStartsRepeated = 0;
  std::uint64_t mPresencesSent = 0;
  std::uint64_t mPresencesReceived = 0;
  std::uint64_t mLookups = 0;        ///< By callers.
  std::uint64_t mLookupsRelayed = 0; ///< Sent to several entries.
  std::uint64_t mLookupsLimited = 0; ///< Not sent on because there were too many.
  std::array<std::uint64_t, kCancelOutcomes> mCancels{};           ///< By CancelOutcome.
  std::array<std::uint64_t, kCancelCallOutcomes> mCancelAppends{}; ///< By CancelCallOutcome.
  std::uint64_t mFalseRefusals = 0; ///< Runs that ended as not run although they had begun.
  std::array<std::uint64_t, holding::kEndEvidences> mRunEnds{}; ///< By holding::EndEvidence.
  std::array<std::uint64_t, holding::kOrderStatuses> mStarts{}; ///< By holding::OrderStatus.
  std::array<std::uint64_t, holding::kOrderStatuses> mStops{};
  std::array<std::uint64_t, holding::kOrderStatuses> mPolls{};
  std::array<std::uint64_t, kDropReasons> mDropped{}; ///< Messages of peers, by DropReason.
};

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mDispatch;
  holding::State mHolding;
  std::optional<configuration::Configuration> mConfiguration; ///< Services and teams.
  std::map<std::string, Upstream, std::less<>> mUpstreams;    ///< By key "SERVICE/ID".
  /// All known entries, including this one, by peer address.
  std::map<std::string, EntryRecord, std::less<>> mEntries;
  /// By data centre: peer addresses of its entries, those preferred as holders first.
  std::map<std::string, std::vector<std::string>, std::less<>> mRankings;
  std::map<std::string, Peer, std::less<>> mPeers; ///< The neighbours, by address.
  std::map<Incarnation, std::string> mPeerAddresses;
  std::map<CallNumber, Call> mCalls;
  std::map<RequestId, CallNumber> mCallByRequest;
  RequestId mLastRequest = 0; ///< The highest in CallerSubmit.
  /// Callers that were found gone before their CallerSubmit, which was waiting, was handled.
  std::set<RequestId> mGoneBeforeSubmit;
  CallNumber mLastCall = 0;
  std::map<RequestId, Origin> mOrigins; ///< By the request number in the scheduling core.
  /// The scheduling core's request numbers of peers' calls.
  std::map<std::pair<Incarnation, CallNumber>, RequestId> mPeerRequests;
  /// Replies to peers' calls. A copy of the submission that arrives later gets the same reply: the
  /// first reply may have been lost, or the copy was delayed in an earlier connection.
  std::map<std::pair<Incarnation, CallNumber>, message::Reply> mReplies;
  /// The keys of mReplies and when they are removed, oldest first.
  std::deque<std::pair<Time, std::pair<Incarnation, CallNumber>>> mReplyExpiry;
  /// Cancelled calls of peers, with the time until which a late submission is expected.
  std::map<std::pair<Incarnation, CallNumber>, Time> mCancelled;
  RequestId mLastCoreRequest = 0;
  dispatch::Actions mDispatchActions;
  holding::Actions mHoldingActions;
  Time mStarted{};
  Time mLastEvent{};
  Time mOwnersCheckedAt{}; ///< When jobs of silent owners were last looked for.
  std::optional<Time> mLastTick;
  /// Until then the echoes of peers may be old because this entry handles its events late.
  Time mLateUntil{};
  Time mNextNeighbours{};
  Time mNextClaims{};
  /// After its start or a pause the entry claims nothing until the presences of live holders have
  /// had time to arrive.
  Time mClaimsNotBefore{};
  bool mNeighboursDue = true;            ///< The choice of neighbours may have changed.
  bool mPresenceDue = false;             ///< The set of held upstreams or mDraining has changed.
  message::HeldUpstreams mHeldUpstreams; ///< As of the latest presence.
  bool mEntriesRead = false;             ///< The platform's list of entries has been read.
  bool mCandidate = false;               ///< See the description in entry.h.
  /// The highest token that an upstream has accepted from this entry or that presences name, so
  /// that tokens increase across entries whose clocks differ. Tokens of fenced claims don't count:
  /// one upstream that refuses all would raise the tokens of all entries.
  std::uint64_t mHighestToken = 0;
  /// Peer addresses of the first live entries of this entry's data centre, as far as it knows.
  std::set<std::string, std::less<>> mFirstLive;
  Time mCandidateSince{};
  Time mCandidateUntil{};
  bool mInStartupPeriod = true; ///< See Options::mStartupPeriod.
  /// For each data centre whose entries are all gone or draining: since when.
  std::map<std::string, Time, std::less<>> mAbandonedSince;
  bool mClaimsDue = false;      ///< The assignment of upstreams to holders may have changed.
  bool mReconfigureDue = false; ///< The scheduling core does not know all held upstreams.
  /// The earliest Upstream::mMissingSince; empty if no upstream is missing.
  std::optional<Time> mEarliestMissing;
  std::map<Partition, std::vector<std::string>> mPartitions; ///< Keys of the listed upstreams.
  Lookups mLookups;
  Evacuation mEvacuation;
  Cancels mCancels;
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
/// Ends the call of a caller that is gone and stops its job.
void CancelCall(State& aState,
                const CallerDisconnected& aEvent,
                const Now& aNow,
                Actions& aActions);

/// Cancels the calls of a job: answers their callers and tells the holders. Returns whether there
/// were any.
bool CancelCallsOf(State& aState, std::string_view aJob, const Now& aNow, Actions& aActions);

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

/// Removes replies that no copy of the submission is expected for any more.
void DropOldReplies(State& aState, const Now& aNow);

/// Cancels a peer's job. A submission that arrives later is refused.
void CancelPeerJob(State& aState, Incarnation aPeer, CallNumber aNumber, const Now& aNow);

/// Records the echo of a peer's latest presence for its jobs that the presence lists, and cancels
/// the others.
void UpdateListedJobs(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions);

/// Call numbers of the jobs that this entry runs for a peer.
std::vector<std::uint64_t> AcceptedCallsFrom(const State& aState, Incarnation aPeer);

/// Cancels a job that this entry runs for peers, and tells these. Returns whether there was one.
bool CancelPeerJobsOf(State& aState, std::string_view aJob, const Now& aNow, Actions& aActions);

/// Cancels the jobs of owners that are no longer alive.
void CancelJobsOfLostOwners(State& aState, const Now& aNow, Actions& aActions);

/// Answers a request for a job: this entry's call, or a peer's.
void Reply(State& aState,
           RequestId aRequest,
           std::optional<JobAnswer> aAnswer,
           std::optional<Error> aError,
           const Now& aNow,
           Actions& aActions);

/// Returns the jobs of which no task has started to their owners.
void ReturnUnstartedJobs(State& aState, const Now& aNow, Actions& aActions);

void ApplyUpstreams(State& aState, const UpstreamsListed& aEvent, const Now& aNow);
void DropMissingUpstreams(State& aState, const Now& aNow);
void Reconfigure(State& aState, const Now& aNow);

std::vector<message::ServiceLoad> LoadsOf(const State& aState);

// claims.cpp

/// Divides the listed upstreams of each data centre into one partition for each holder.
std::map<Partition, std::vector<std::string>> PartitionUpstreams(const State& aState);

/// Number of partitions of a data centre, from the list of upstreams or, for an entry that does not
/// read it, from the presences of that data centre's entries. At least 1.
std::size_t PartitionCount(const State& aState, std::string_view aDataCentre, const Now& aNow);

/// Number of upstreams that an entry can hold.
double HolderCapacity(const EntryRecord& aEntry);

/// Classes of HolderCapacity, each for twice the capacity of the one below.
int CapacityClass(const EntryRecord& aEntry);

/// Claims and releases upstreams according to the set of live candidates.
void UpdateClaims(State& aState, const Now& aNow, Actions& aActions);

/// The highest token that this entry uses or believes. Only a token that an upstream has accepted
/// makes it go beyond, by one unit for each claim.
std::uint64_t HighestAllowedToken(const Now& aNow);

/// Sets time and token of the next claim after the upstream has refused a token. On two sides of a
/// cut, the side waits longer that does not hear the candidate preferred for the upstream: both
/// know the candidates, and both sides keep some upstreams.
void DelayClaim(State& aState, const holding::HoldLost& aEvent, const Now& aNow);

/// Ends the long delays after lost holds: a peer is heard again, and names what it holds.
void ShortenContests(State& aState, const Now& aNow);

/// Records the token that an upstream has accepted from this entry.
void RecordAcceptedToken(State& aState, const std::string& aUpstream);

// evacuation.cpp

/// Applies the evacuated data centres if their version is higher than the known one.
void ApplyEvacuation(State& aState,
                     const EvacuationListed& aEvent,
                     const Now& aNow,
                     Actions& aActions);

/// The same for those that a presence names.
void HandleEvacuation(State& aState,
                      const Peer& aPeer,
                      const message::Presence& aPresence,
                      const Now& aNow,
                      Actions& aActions);

/// What a presence to the peer says; nothing if the peer need not be told.
std::optional<message::Evacuation> EvacuationFor(const State& aState, const Peer& aPeer);

/// Starts nothing after a pause until the evacuations are known again. Called before each event.
void HoldAfterPause(State& aState, const Now& aNow);

/// Returns the jobs that cannot start here to their owners. Called after each event.
void ReturnEvacuatedJobs(State& aState, const Now& aNow, Actions& aActions);

/// Raises the usable slots of upstreams after an evacuation, and reports names that are not known.
void AdvanceEvacuation(State& aState, const Now& aNow, Actions& aActions);

/// Tells the scheduling core how many slots of an upstream it may use.
void SendCredits(State& aState, const std::string& aUpstream, const Now& aNow);

bool IsEvacuated(const State& aState, std::string_view aDataCentre);

/// Whether the peer's data centre is evacuated and its presence is from before it knew.
bool OffersEvacuated(const State& aState, const Peer& aPeer);

/// Whether all upstreams of the service are in evacuated data centres, as far as this entry knows.
bool IsEvacuatedEverywhere(const State& aState, std::string_view aService);

/// The refusal of a job for which only evacuated data centres have workers that are large enough;
/// nothing for any other job.
std::optional<Error> RefusalOfEvacuated(State& aState, const JobSpec& aJob);

/// The answer to callers whose job can only run in an evacuated data centre.
Error EvacuatedError(State& aState);

// lookups.cpp

/// Takes one from the bucket. Returns false if there is none.
bool TakeToken(TokenBucket& aBucket, double aPerSecond, double aBurst, const Now& aNow);

/// The result of a cancel at several entries. Unknown counts most: an entry that may be given a
/// copy of the submission may not know the cancel.
message::LookupResult CombineCancels(message::LookupResult aOne, message::LookupResult aOther);

/// Cancels all calls of a job at this entry, and what it runs of it for others. Remembers that for
/// aRetention. The result is Unknown if there is no memory for it.
message::LookupResult CancelHere(
  State& aState,
  std::string_view aJob,
  const Now& aNow,
  Actions& aActions,
  std::chrono::milliseconds aRetention = std::chrono::milliseconds::max());

/// Whether an entry that can't be asked may have jobs.
bool MayHaveJobs(const State& aState, const std::string& aAddress, const Now& aNow);

/// The peer at an address if it can be asked.
const Peer* FindPresent(const State& aState, const std::string& aAddress, const Now& aNow);

/// Address of a candidate of another data centre that can be asked, if aCancels one that answers
/// CancelledJobs; empty if there is none.
std::string FindCandidate(State& aState,
                          std::string_view aDataCentre,
                          bool aCancels,
                          const Now& aNow);

/// Answers a caller that asks for a job, after asking other entries if need be.
void LookUp(State& aState, const CallerLookup& aEvent, const Now& aNow, Actions& aActions);
void HandleLookup(State& aState,
                  const std::string& aFrom,
                  const message::Lookup& aLookup,
                  const Now& aNow,
                  Actions& aActions);
void HandleLookupReply(State& aState,
                       const std::string& aFrom,
                       const message::LookupReply& aReply,
                       Actions& aActions);
void HandleCancelledJobs(State& aState,
                         const message::CancelledJobs& aMessage,
                         const Now& aNow,
                         Actions& aActions);

/// Sends the cancelled jobs that this entry remembers to a peer.
void SendCancelledJobs(const State& aState,
                       const std::string& aTo,
                       const Now& aNow,
                       Actions& aActions);

/// Records that a presence of an entry has arrived.
void RecordHeard(State& aState,
                 const std::string& aFrom,
                 const message::Presence& aPresence,
                 const Now& aNow);

/// Remembers that a job has been cancelled by its id, at most for the retention time of this entry.
/// Returns false if there is no memory for it.
bool RememberCancelled(State& aState,
                       std::string_view aJob,
                       bool aWasOwned,
                       const Now& aNow,
                       std::chrono::milliseconds aRetention = std::chrono::milliseconds::max());

/// Whether a job has been cancelled by its id. Such a job is not started.
bool IsCancelled(const State& aState, std::string_view aJob, const Now& aNow);

/// The answer to submissions of cancelled jobs.
Error CancelledError();

/// Ends lookups that have waited too long, and forgets jobs that were cancelled long ago.
void AdvanceLookups(State& aState, const Now& aNow, Actions& aActions);

/// Ends all lookups, at the end of a drain.
void EndAllLookups(State& aState, Actions& aActions);

// identity.cpp

std::string_view ToString(DropReason aReason);

/// Why a message is not to be handled; nothing if it comes from the current process at its sender's
/// address and may be meant for this one.
std::optional<DropReason> FindDropReason(const State& aState,
                                         const PeerMessage& aEvent,
                                         const Now& aNow);

/// Counts and logs a frame that is not used.
void DropFrame(State& aState, const PeerFrameDropped& aEvent, Actions& aActions);

/// Counts and logs a message that is not handled. If it is a presence for an earlier process at
/// this entry's address, its sender is sent a presence, so that it learns of this one.
void DropMessage(State& aState,
                 const PeerMessage& aEvent,
                 DropReason aReason,
                 const Now& aNow,
                 Actions& aActions);

/// Sets the process that each message is meant for, where it is not set, from the presences
/// received so far.
void AddressMessages(const State& aState, Actions& aActions);

// cancels.cpp

/// Cancels a job for a caller. Answered when all entries and the store know it, or with Unknown.
void CancelForCaller(State& aState, const CallerLookup& aEvent, const Now& aNow, Actions& aActions);
/// Handles new cancels of a peer: those with a number.
void HandleNewCancels(State& aState,
                      const std::string& aFrom,
                      const message::CancelledJobs& aMessage,
                      const Now& aNow,
                      Actions& aActions);
void HandleCancelledJobsReply(State& aState,
                              const std::string& aFrom,
                              const message::CancelledJobsReply& aReply,
                              const Now& aNow,
                              Actions& aActions);
/// Handles the reply of an entry of the previous release to a cancel. Returns false if the reply is
/// to another lookup.
bool HandleFormerReply(State& aState,
                       const std::string& aFrom,
                       const message::LookupReply& aReply,
                       const Now& aNow,
                       Actions& aActions);
void HandleCancelsRead(State& aState,
                       const CancelsRead& aEvent,
                       const Now& aNow,
                       Actions& aActions);
void HandleCancelsAppended(State& aState,
                           const CancelsAppended& aEvent,
                           const Now& aNow,
                           Actions& aActions);
/// Reads the topic of cancels at the start, and while others cannot be heard.
void FollowCancels(State& aState, const Now& aNow, Actions& aActions);
/// Sends batches and appends that are due, ends cancels that have waited too long, and reads the
/// topic of cancels if need be.
void AdvanceCancels(State& aState, const Now& aNow, Actions& aActions);
/// After a pause the entry has to read the topic of cancels before it accepts submissions.
void ForgetCancelsRead(State& aState, const Now& aNow);
/// Whether the entry may lack cancels that were acknowledged, so that it accepts no submission.
bool MayLackCancels(const State& aState, const Now& aNow);
/// Answers all cancels, at the end of a drain.
void EndAllCancels(State& aState, const Now& aNow, Actions& aActions);
std::string_view ToString(CancelOutcome aOutcome);
std::string_view ToString(CancelCallOutcome aOutcome);

// neighbours.cpp

/// Adds entries to mEntries, or updates them, and ranks them.
void AddEntries(State& aState, const std::vector<EntryRecord>& aEntries);

/// Chooses the entries to exchange presences with, and decides whether this entry is a candidate.
void UpdateNeighbours(State& aState, const Now& aNow, Actions& aActions);

/// Addresses of the holders of this entry's data centre that it knows.
std::vector<std::string> LocalHolders(const State& aState, const Now& aNow);

/// Selects from the local holders those that are named to a peer in another data centre.
std::vector<std::string> HoldersFor(const Peer& aPeer, std::vector<std::string> aHolders);

// peers.cpp

/// Whether the peer has echoed a timestamp of this entry that is at most mSilentAfter old, which
/// shows that messages arrive in both directions. Jobs are only forwarded to such peers.
bool IsAlive(const State& aState, const Peer& aPeer, const Now& aNow);

/// The same, but allows for peers that send presences at mIdlePresenceInterval. While this entry
/// handles its events late, an old echo shows nothing about the peer, and presences that arrive
/// suffice.
bool IsPresent(const State& aState, const Peer& aPeer, const Now& aNow);

/// Interval at which presences are sent to the peer; 0: none are sent.
std::chrono::milliseconds PresenceIntervalTo(const State& aState,
                                             const Peer& aPeer,
                                             const Now& aNow);

Peer* FindPeer(State& aState, Incarnation aIncarnation);

/// Finds a peer by address, or adds it and connects to it.
Peer& AddPeer(State& aState, const std::string& aAddress, Actions& aActions);

/// The time of an echoed timestamp of this entry. Nothing for a time in the future: it is not of
/// this incarnation, and would be taken for a sign of life until then.
std::optional<Time> EchoedTime(std::int64_t aTimeMs, const Now& aNow);

/// The timestamp of this entry that a presence echoes.
std::optional<Time> EchoIn(const State& aState,
                           const message::Presence& aPresence,
                           const Now& aNow);

/// Records that the peer has echoed a timestamp of this entry.
void RecordEcho(Peer& aPeer, std::optional<Time> aEchoed);

void ApplyEntries(State& aState, const EntriesListed& aEvent);
void HandlePresence(State& aState,
                    const std::string& aFrom,
                    const message::Presence& aPresence,
                    const Now& aNow,
                    Actions& aActions);

/// Records what may be echoed to each peer from now on.
void RecordCallerCheck(State& aState);

/// Sends the presences that are due.
void SendPresences(State& aState, const Now& aNow, Actions& aActions);

/// Sends a presence to one peer at once, as after a connection to it has been opened.
void SendPresenceTo(State& aState, Peer& aPeer, const Now& aNow, Actions& aActions);

/// Logs peers that have become silent or alive again, and replaces connections over which messages
/// no longer reach the peer.
void WatchPeers(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::entry
