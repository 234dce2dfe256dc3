#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/crash_report.h>
#include <pollenwall/ids.h>
#include <pollenwall/job.h>

/// Messages between entries: one msgpack map per frame. Decoding validates every field of the
/// messages it returns.
namespace pollenwall::message {

enum class MemberState
{
  Joining,
  Ready,
  Leaving,
  Suspect,
  Gone,
};

/// The first message that each side sends on a connection.
struct Hello
{
  Incarnation mIncarnation;
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress; ///< "IP:PORT" where this entry accepts peers.

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// How far an entry has read and sealed the views of one data centre.
struct ViewAck
{
  std::string mDataCentre;
  std::uint64_t mAcknowledged = 0; ///< Highest version read; the entry votes for no lower one.
  std::uint64_t mSealed = 0;       ///< No lease on a view up to this version can be valid any more.

  friend bool operator==(const ViewAck&, const ViewAck&) = default;
};

/// A request for a vote for a lease on a view, or the vote itself.
struct Vote
{
  std::string mDataCentre;
  std::uint64_t mVersion = 0;
  std::uint64_t mRound = 0; ///< Chosen by the requester; the vote repeats it.

  friend bool operator==(const Vote&, const Vote&) = default;
};

/// Demand of one team at this entry, in task starts per second.
struct TeamDemand
{
  std::string mTeam;
  double mStartsPerSecond = 0;

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
};

/// Reports that an upstream is leaving or that its tasks fail, so that peers use it less.
struct UpstreamHealth
{
  std::string mUpstream;
  bool mLeaving = false;
  double mFailureRate = 0;

  friend bool operator==(const UpstreamHealth&, const UpstreamHealth&) = default;
};

/// The state that an entry sends to each peer at regular intervals.
struct Heartbeat
{
  std::uint64_t mSequence = 0;
  MemberState mState = MemberState::Joining;
  configuration::Version mConfigurationVersion = 0;
  std::uint64_t mQueuedTasks = 0;
  std::uint64_t mIdleCredits = 0;
  std::vector<ViewAck> mViews;
  std::vector<Vote> mVoteRequests;
  std::vector<Vote> mVotes;
  /// Upstreams where slots that this entry has lost still run tasks.
  std::vector<std::string> mOccupiedUpstreams;
  std::vector<TeamDemand> mDemands; ///< Only those that changed.
  std::vector<UpstreamHealth> mUpstreamHealth;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Maximum number of times that a message is sent between entries: to one in its home data centre,
/// to the owner, and to an earlier owner. It is not forwarded beyond that, because more hops mean
/// that the entries' views differ.
inline constexpr std::uint32_t kMaxHops = 3;

/// Forwards a caller's submission to the owner of its id. The owner answers with a Reply that has
/// the same number.
struct Submit
{
  std::uint64_t mNumber = 0;
  bool mWait = true;
  JobSpec mJob;
  std::uint32_t mHops = 1; ///< Times that it has been sent between entries, including this one.
  /// On the receiver's monotonic clock; the receiver refuses the message after this time. 0: no
  /// limit.
  std::int64_t mValidUntilMs = 0;
  Incarnation mTo; ///< The process that it is meant for; 0: any process at the address.

  friend bool operator==(const Submit&, const Submit&) = default;
};

/// Requests the status or answer of a job from its owner.
struct Status
{
  std::uint64_t mNumber = 0;
  std::string mId;
  std::string mTeam;
  bool mWait = false;
  std::uint32_t mHops = 1;

  friend bool operator==(const Status&, const Status&) = default;
};

struct Cancel
{
  std::uint64_t mNumber = 0;
  std::string mId;
  std::string mTeam;
  std::uint32_t mHops = 1;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// Answers Submit, Status or Cancel. Exactly one of mAnswer and mError is set.
struct Reply
{
  std::uint64_t mNumber = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;

  friend bool operator==(const Reply&, const Reply&) = default;
};

/// A number of slots of one upstream that an entry lends to a peer or returns to it.
struct Credit
{
  std::string mUpstream;
  std::uint32_t mCount = 0;

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// Requests up to mCount idle credits of a service from a peer.
struct Borrow
{
  std::uint64_t mNumber = 0;
  std::string mService;
  std::uint32_t mCount = 0;

  friend bool operator==(const Borrow&, const Borrow&) = default;
};

/// Answers Borrow: lends credits that expire mExpires after receipt.
struct Grant
{
  std::uint64_t mNumber = 0;
  std::vector<Credit> mCredits;
  std::chrono::milliseconds mExpires{ 0 };

  friend bool operator==(const Grant&, const Grant&) = default;
};

struct ReturnCredits
{
  std::uint64_t mNumber = 0; ///< The grant's number.
  std::vector<Credit> mCredits;

  friend bool operator==(const ReturnCredits&, const ReturnCredits&) = default;
};

/// A submission that the sender has already accepted, and its state.
struct KnownSubmission
{
  std::string mId;
  std::string mTeam;
  std::uint64_t mBodyHash = 0;
  JobState mState = JobState::Running;
  Verdict mVerdict = Verdict::MayHaveRun;

  friend bool operator==(const KnownSubmission&, const KnownSubmission&) = default;
};

/// Sent by an entry that stops as planned: transfers queued jobs of which no task has started, and
/// reports the state of its other submissions.
struct Handover
{
  std::uint64_t mNumber = 0;
  std::vector<JobSpec> mJobs;
  std::vector<KnownSubmission> mKnown;

  friend bool operator==(const Handover&, const Handover&) = default;
};

struct HandoverReply
{
  std::uint64_t mNumber = 0;
  std::vector<std::string>
    mAcceptedJobs; ///< Ids of the jobs that the sender of this reply now owns.

  friend bool operator==(const HandoverReply&, const HandoverReply&) = default;
};

/// Requests the peer's configuration if it is newer than mCurrentVersion.
struct ConfigFetch
{
  configuration::Version mCurrentVersion = 0;

  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

/// A whole configuration, as a snapshot record of the configuration stream.
struct ConfigItems
{
  configuration::Version mVersion = 0;
  std::string mSnapshot;

  friend bool operator==(const ConfigItems&, const ConfigItems&) = default;
};

/// Capacity and load of the upstreams that an entry holds for one service, in thousandths of a
/// core.
struct ServiceLoad
{
  std::string mService;
  std::uint64_t mMilliCores = 0;       ///< Total of the usable upstreams that it holds.
  std::uint64_t mFreeMilliCores = 0;   ///< Part of mMilliCores that is not in use.
  std::uint64_t mQueuedMilliCores = 0; ///< Needed by queued tasks.
  /// For each size of placement::kSizeScale, the number of tasks that fit now and the time that one
  /// which does not is expected to wait, without zeros at the end; one zero if none fits. Empty:
  /// not known.
  std::vector<std::uint32_t> mFits;
  std::vector<std::uint32_t> mWaitsMs; ///< Those that are missing are 0.

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/// The time of the last Presence that an entry received from another.
struct LastPresence
{
  Incarnation mIncarnation;
  std::int64_t mTimeMs = 0; ///< mTimeMs of that Presence: the other entry's clock.

  friend bool operator==(const LastPresence&, const LastPresence&) = default;
};

/// An entry of the deployment, from the platform's list, the settings or another entry.
struct EntryRecord
{
  std::string mName;
  std::string mPeerAddress;
  std::string mDataCentre;    ///< Empty: not known.
  double mProcessorShare = 0; ///< In cores.
  double mLinkMbps = 0;       ///< Bandwidth of its network link in Mbit/s; 0: not known.

  friend bool operator==(const EntryRecord&, const EntryRecord&) = default;
};

/// The upstreams that an entry holds, as Hash64 of their keys in ascending order.
struct HeldUpstreams
{
  std::uint64_t mVersion = 0; ///< Increases with each change in one incarnation.
  std::vector<std::uint64_t> mHashes;

  friend bool operator==(const HeldUpstreams&, const HeldUpstreams&) = default;
};

/// The data centres that the operators evacuate, as of an offset in their topic.
struct Evacuation
{
  std::uint64_t mVersion = 0; ///< The offset up to which the topic was read.
  std::vector<std::string> mDataCentres;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

/// The state that an entry with upstreams under fencing tokens sends to each of its neighbours
/// several times a second.
struct Presence
{
  Incarnation mIncarnation;
  /// The sender. Set in the first presence on a connection, and until the receiver has echoed one.
  std::optional<EntryRecord> mEntry;
  std::int64_t mTimeMs = 0; ///< The sender's monotonic clock.
  bool mLeaving = false;
  configuration::Version mConfigurationVersion = 0;
  /// Interval at which the sender wants to receive the receiver's presences; 0: it needs none.
  std::chrono::milliseconds mWantedInterval{ 0 };
  bool mCandidate = false;    ///< The sender may hold upstreams.
  bool mNeedsEntries = false; ///< The sender has not read the platform's list of entries yet.
  /// Number of partitions of the sender's data centre; 0: not known to the sender.
  std::uint64_t mPartitions = 0;
  /// The highest fencing token that the sender has used or received. The receiver's next tokens
  /// exceed it, also if its clock is behind.
  std::uint64_t mHighestToken = 0;
  std::uint64_t mHeldVersion = 0; ///< HeldUpstreams::mVersion of the sender.
  /// The version of the receiver's HeldUpstreams that the sender has received; 0: none.
  std::uint64_t mReceivedHeldVersion = 0;
  std::optional<HeldUpstreams> mHeldUpstreams; ///< Set if the receiver may hold upstreams and has
                                               ///< not received this version.
  /// Peer addresses of some holders of the sender's data centre, for receivers in other ones.
  std::vector<std::string> mHolders;
  std::vector<ServiceLoad> mLoads;
  std::vector<LastPresence> mLastPresences;
  /// Numbers of unfinished jobs that the sender forwarded to the receiver.
  std::vector<std::uint64_t> mOpenJobs;
  /// Numbers of the receiver's jobs that the sender has accepted.
  std::vector<std::uint64_t> mAcceptedJobs;
  /// Set while a data centre is evacuated, and towards a receiver that has named an older version.
  std::optional<Evacuation> mEvacuation;
  /// The sender answers CancelledJobs that have a number. Entries of the previous release do not.
  bool mAnswersCancels = false;

  friend bool operator==(const Presence&, const Presence&) = default;
};

/// The entries that the sender has read from the platform's list, for an entry that cannot read it.
struct Entries
{
  std::vector<EntryRecord> mEntries;

  friend bool operator==(const Entries&, const Entries&) = default;
};

inline constexpr std::size_t kMaxTasksPerCrash = 1000; ///< Reports with more are not valid.

/// Crashes of upstreams, sent to the entries that may hold upstreams: to all when a crash is
/// detected, and those that are remembered to one that has just become a candidate.
struct Crashes
{
  std::vector<CrashReport> mReports;

  friend bool operator==(const Crashes&, const Crashes&) = default;
};

/// Which entries the receiver of a Lookup asks.
enum class LookupScope
{
  Entry,      ///< Only itself.
  DataCentre, ///< All entries of its data centre.
  Everywhere, ///< Also a candidate of each other data centre, with DataCentre.
};

/// What entries know of a job. Of several results the highest counts.
enum class LookupResult
{
  NotFound, ///< None of the entries has it, and all were asked.
  Held,     ///< A holder runs or queues it. Its owner was not asked, or has gone.
  Unknown,  ///< An entry that may have the job could not be asked.
  Owned,    ///< Its owner has it.
};

/// Ids of jobs in Lookup and CancelledJobs that are longer are not valid; receivers remember them.
inline constexpr std::size_t kMaxLookupIdBytes = 64;

/// Asks for a job by its id, or cancels it. Answered with a LookupReply of the same number.
struct Lookup
{
  std::uint64_t mNumber = 0;
  std::string mJob;
  bool mCancel = false;
  LookupScope mScope = LookupScope::Entry;

  friend bool operator==(const Lookup&, const Lookup&) = default;
};

struct LookupReply
{
  std::uint64_t mNumber = 0;
  LookupResult mResult = LookupResult::NotFound;

  friend bool operator==(const LookupReply&, const LookupReply&) = default;
};

/// A job that has been cancelled by its id. It is not started while it is remembered.
struct CancelledJob
{
  std::string mJob;
  std::chrono::milliseconds mRetention{ 0 }; ///< Time until it is forgotten.

  friend bool operator==(const CancelledJob&, const CancelledJob&) = default;
};

inline constexpr std::size_t kMaxCancelledJobs = 10000; ///< Messages with more are not valid.

/// Cancelled jobs. Without a number: those that the sender remembers, sent over each new
/// connection, since the receiver may have started after they were cancelled, or could not be
/// reached then. With a number: new cancels, which the receiver answers with a CancelledJobsReply.
struct CancelledJobs
{
  std::vector<CancelledJob> mJobs;
  std::uint64_t mNumber = 0; ///< 0: not to be answered.
  LookupScope mScope = LookupScope::Entry;
  /// Peer addresses of entries that the sender could not reach. A receiver that hears them passes
  /// the jobs on.
  std::vector<std::string> mMissed;

  friend bool operator==(const CancelledJobs&, const CancelledJobs&) = default;
};

/// Answers CancelledJobs with a number.
struct CancelledJobsReply
{
  std::uint64_t mNumber = 0;
  /// One for each job, in the order of the message. Unknown: an entry that was to be told may not
  /// know the cancel.
  std::vector<LookupResult> mResults;
  /// An entry that may have one of the jobs was silent. It reads the cancels from the store before
  /// it accepts submissions.
  bool mSilent = false;

  friend bool operator==(const CancelledJobsReply&, const CancelledJobsReply&) = default;
};

using Message = std::variant<Hello,
                             Heartbeat,
                             Submit,
                             Status,
                             Cancel,
                             Reply,
                             Borrow,
                             Grant,
                             ReturnCredits,
                             Handover,
                             HandoverReply,
                             ConfigFetch,
                             ConfigItems,
                             Presence,
                             Entries,
                             Crashes,
                             Lookup,
                             LookupReply,
                             CancelledJobs,
                             CancelledJobsReply>;

/// The value of the key "type", for logs.
std::string_view TypeName(const Message& aMessage);

/// Encodes a message as a msgpack map with the key "type", without the frame's length prefix.
std::string Encode(const Message& aMessage);

/// Decodes an untrusted buffer. Returns nullopt unless it is exactly one valid message.
std::optional<Message> Decode(std::string_view aBytes);

/// Version of the frames between entries that name the processes at both ends. It is raised only by
/// changes that a reader of the earlier version would misunderstand, not by further fields.
inline constexpr std::uint64_t kFrameVersion = 2;

/// Which process has sent a message between entries, and for which one. The values are keys of the
/// message's map, "from", "to" and "version", and are not written if the message has a key of that
/// name: that of Submit means the same, and ConfigItems is not sent in such frames.
struct Envelope
{
  Incarnation mFrom; ///< 0 only in version 1.
  Incarnation mTo;   ///< 0: any process at the address, or not known to the sender.
  /// 1: the frame names no processes. Releases before kFrameVersion send such frames, and skip the
  /// keys of the others.
  std::uint64_t mVersion = 1;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

struct Frame
{
  Envelope mEnvelope;
  Message mMessage;

  friend bool operator==(const Frame&, const Frame&) = default;
};

/// Why a frame cannot be used.
enum class FrameProblem
{
  Malformed,
  OtherVersion, ///< Neither 1 nor kFrameVersion.
};

/// Encodes a message of kFrameVersion from one process to another, without the length prefix.
std::string EncodeFrame(const Message& aMessage, Incarnation aFrom, Incarnation aTo);

/// Decodes an untrusted buffer: a frame of kFrameVersion, or of version 1, which has no envelope.
/// Returns nullopt unless it is exactly one valid frame; aProblem then holds the reason.
std::optional<Frame> DecodeFrame(std::string_view aBytes, FrameProblem& aProblem);

} // namespace pollenwall::message
