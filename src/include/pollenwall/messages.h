#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/ids.h>
#include <pollenwall/job.h>

/// Messages between entries: one msgpack map per frame. Decoding validates everything that it
/// returns.
namespace pollenwall::message {

enum class MemberState
{
  Joining,
  Ready,
  Leaving,
  Suspect,
  Gone,
};

/// First message of each side on a connection.
struct Hello
{
  Incarnation mIncarnation;
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress; ///< "IP:PORT" where this entry accepts peers.

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// What an entry knows of one data centre's view.
struct ViewAck
{
  std::string mDataCentre;
  std::uint64_t mAcknowledged = 0; ///< Highest version read; no vote for lower ones.
  std::uint64_t mSealed = 0;       ///< All views up to this one can hold no lease any more.

  friend bool operator==(const ViewAck&, const ViewAck&) = default;
};

/// Asks for, or gives, a vote for a lease on a view.
struct Vote
{
  std::string mDataCentre;
  std::uint64_t mVersion = 0;
  std::uint64_t mRound = 0; ///< Numbered by the asker; the reply echoes it.

  friend bool operator==(const Vote&, const Vote&) = default;
};

/// Demand of one team at this entry, in task starts a second.
struct TeamDemand
{
  std::string mTeam;
  double mStartsPerSecond = 0;

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
};

/// A note on an upstream that peers should treat with care.
struct HealthNote
{
  std::string mUpstream;
  bool mLeaving = false;
  double mFailureRate = 0;

  friend bool operator==(const HealthNote&, const HealthNote&) = default;
};

/// Everything that an entry says regularly.
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
  std::vector<std::string> mOccupied; ///< Upstreams where slots that moved away are still busy.
  std::vector<TeamDemand> mDemands;   ///< Changed ones only.
  std::vector<HealthNote> mNotes;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Entries that a message may pass on its way to the owner: one of its home data centre, the owner,
/// and an earlier owner. A higher count means that views differ and is not sent on.
inline constexpr std::uint32_t kMaxHops = 3;

/// Hands a caller's submission to the id's owner. The reply is a SubmitReply with the same number.
struct Submit
{
  std::uint64_t mNumber = 0;
  bool mWait = true;
  JobSpec mJob;
  std::uint32_t mHops = 1; ///< Times that it has been sent, this one included.
  /// On the receiver's monotonic clock; the receiver refuses what it handles later. 0: always
  /// valid.
  std::int64_t mValidUntilMs = 0;
  Incarnation mTo; ///< The process that is meant; 0: any at the address.

  friend bool operator==(const Submit&, const Submit&) = default;
};

/// Asks for the status or answer of a job at its owner.
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

/// Answers Submit, Status or Cancel. Exactly one of the two is set.
struct Reply
{
  std::uint64_t mNumber = 0;
  std::optional<JobAnswer> mAnswer;
  std::optional<Error> mError;

  friend bool operator==(const Reply&, const Reply&) = default;
};

struct Credit
{
  std::string mUpstream;
  std::uint32_t mCount = 0;

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// Asks a peer for up to mCount idle credits of a service.
struct Borrow
{
  std::uint64_t mNumber = 0;
  std::string mService;
  std::uint32_t mCount = 0;

  friend bool operator==(const Borrow&, const Borrow&) = default;
};

/// Lends credits until mExpires after receipt.
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

/// What one entry tells another about a submission it knows.
struct KnownSubmission
{
  std::string mId;
  std::string mTeam;
  std::uint64_t mBodyHash = 0;
  JobState mState = JobState::Running;
  Verdict mVerdict = Verdict::MayHaveRun;

  friend bool operator==(const KnownSubmission&, const KnownSubmission&) = default;
};

/// A planned stop hands over queued jobs of which no task has started, and what is known of others.
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
  std::vector<std::string> mTaken; ///< Jobs that are now the receiver's.

  friend bool operator==(const HandoverReply&, const HandoverReply&) = default;
};

/// Asks for the configuration that the peer holds when it is newer than mHave.
struct ConfigFetch
{
  configuration::Version mHave = 0;

  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

/// A whole configuration, as a snapshot record of the configuration stream.
struct ConfigItems
{
  configuration::Version mVersion = 0;
  std::string mSnapshot;

  friend bool operator==(const ConfigItems&, const ConfigItems&) = default;
};

/// What an entry that holds upstreams can take of one service, in thousandths of a core.
struct ServiceLoad
{
  std::string mService;
  std::uint64_t mMilliCores = 0;       ///< Of the usable upstreams that it holds.
  std::uint64_t mFreeMilliCores = 0;   ///< Of these, not in use.
  std::uint64_t mQueuedMilliCores = 0; ///< Asked for by tasks that wait.

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/// The time of the latest presence that an entry has from another.
struct Heard
{
  Incarnation mIncarnation;
  std::int64_t mTimeMs = 0; ///< On the other's clock, as it said.

  friend bool operator==(const Heard&, const Heard&) = default;
};

/// What an entry that works with fencing tokens says of itself several times a second.
struct Presence
{
  Incarnation mIncarnation;
  std::string mName;
  std::string mDataCentre;
  std::string mPeerAddress;
  std::int64_t mTimeMs = 0; ///< The sender's monotonic clock.
  bool mLeaving = false;
  double mProcessorShare = 0; ///< Of a core.
  configuration::Version mConfigurationVersion = 0;
  std::vector<std::uint64_t> mHeld; ///< Hash64 of the keys of the upstreams that it holds.
  std::vector<ServiceLoad> mLoads;
  std::vector<Heard> mHeard;
  std::vector<std::uint64_t> mOpen; ///< Numbers of the sender's jobs that the receiver should have.
  std::vector<std::uint64_t> mTaken; ///< Numbers of the receiver's jobs that the sender has.

  friend bool operator==(const Presence&, const Presence&) = default;
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
                             Presence>;

/// Encodes a message as a msgpack map with the key "type". The frame's length prefix is not part of
/// it.
std::string Encode(const Message& aMessage);

/// Decodes an untrusted buffer. Returns nothing when it is not exactly one valid message.
std::optional<Message> Decode(std::string_view aBytes);

} // namespace pollenwall::message
