#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/job.h>
#include <pollenwall/placement.h>
#include <pollenwall/time.h>

/// The scheduling core of one entry: admission, queueing, placement, outcomes, retries and
/// cancellation of the jobs that this entry owns. No I/O, no clock; `Handle` is the whole of it.
namespace pollenwall::dispatch {

/// A waiting call of a caller, as numbered by the node. 0 is none.
using RequestId = std::uint64_t;

/// A dense number for an upstream, stable for the life of the State and never reused.
using UpstreamIndex = std::uint32_t;

/// Limits and policy constants. All have defaults that suit the design capacity.
struct Options
{
  std::string mDataCentre;
  std::chrono::milliseconds mAnswerRetention{ 60000 };
  std::chrono::milliseconds mStartWindow{
    1000
  }; ///< Start requests later than this are refused by workers.
  std::size_t mMaxQueuedTasks = 200000;
  std::size_t mMaxTasksPerJob = 190;
  double mRetryRatio = 0.1; ///< Retries allowed per start.
  double mRetryBurst = 50;
  std::chrono::milliseconds mSignExpiry{
    10000
  }; ///< An unconfirmed sign of leaving lapses after this.
  /// Remaining work, in slot seconds, that a job is forgiven for each second of waiting; bounds the
  /// wait of large jobs behind small ones.
  double mAgeing = 4;
  /// Results of ended jobs held for resubmissions. Beyond it the oldest results are dropped and
  /// their jobs answer that they ran, without results.
  std::size_t mMaxKeptResultBytes = std::size_t{ 256 } << 20;
  /// Jobs known at once at 3,000 jobs a second and the default retention of answers, rounded up.
  /// The table of jobs has room for these from the start.
  std::size_t mExpectedJobs = std::size_t{ 1 } << 18;
  bool mHoldsWholeUpstreams = false; ///< See placement::Options.

  friend bool operator==(const Options&, const Options&) = default;
};

// Events.

/// A job that this entry owns. The id is set. mRequest waits for the answer when it is not 0. With
/// the id of a known job it is a resubmission: it waits for that job's answer, without another
/// Accepted, or is refused with id_conflict when team or body hash differ.
struct Submit
{
  RequestId mRequest = 0;
  JobSpec mJob;
};

/// Waits for the answer of a known job; answered at once when the job has ended.
struct Wait
{
  RequestId mRequest = 0;
  std::string mId;
};

/// The waiting call is gone; its job goes on.
struct Unwait
{
  RequestId mRequest = 0;
};

struct Cancel
{
  std::string mId;
};

/// The end of one start request. An outcome for an attempt that is not outstanding is counted and
/// dropped.
struct TaskEnded
{
  TaskId mTask;
  std::uint32_t mAttempt = 0;
  UpstreamIndex mUpstream = 0;
  TaskOutcome mOutcome;
};

/// How far a started task is, as its upstream says. Runs that stand still or are far slower than
/// the job's others move to another upstream, if the job is restartable.
struct TaskProgress
{
  TaskId mTask;
  std::uint32_t mAttempt = 0;
  UpstreamIndex mUpstream = 0;
  double mPart = 0; ///< Of its work, 0 to 1.
};

/// How many slots of an upstream this entry may fill now: its own by the view, less lent, plus
/// borrowed. Sent whenever that changes. Running tasks beyond a lowered number end normally.
struct SetCredits
{
  std::string mUpstream; ///< Key "SERVICE/WORKER".
  std::uint32_t mCredits = 0;
  std::uint32_t mBorrowed =
    0; ///< Of mCredits. They may be recalled, so admission does not count on them.
};

enum class Sign
{
  Leaving,          ///< Confirmed by the platform's list.
  SuspectedLeaving, ///< A refusal, a closed connection or a peer's note.
  Live,             ///< The platform's list shows it live, or it answered.
};

/// Live ends a confirmed Leaving. It ends a suspicion only when mAsOfMs, the time of the report, is
/// later than the suspicion; 0 stands for a report of unknown age.
struct UpstreamSign
{
  std::string mUpstream;
  Sign mSign = Sign::Live;
  UnixMs mAsOfMs = 0;
};

/// A peer has found the upstream unhealthy (UnhealthyUpstreams there): it fails its tasks, or, with
/// a low failure rate, it is slow. For 10 s few own outcomes of the same kind suffice to exclude
/// it.
struct UpstreamNote
{
  std::string mUpstream;
  double mFailureRate = 0;
};

/// The part of a team's quota that this entry may admit, 0 to 1; 1 until set.
struct SetQuotaShare
{
  std::string mTeam;
  double mShare = 1;
};

struct ConfigurationApplied
{
  std::shared_ptr<const configuration::Configuration> mConfiguration;
};

/// Refuses new jobs from now on; known jobs go on.
struct StopAccepting
{};

/// Due regularly (every 10 to 50 ms); expires, ages and retries.
struct Tick
{};

using Event = std::variant<Submit,
                           Wait,
                           Unwait,
                           Cancel,
                           TaskEnded,
                           TaskProgress,
                           SetCredits,
                           UpstreamSign,
                           ConfigurationApplied,
                           StopAccepting,
                           Tick,
                           UpstreamNote,
                           SetQuotaShare>;

// Actions.

struct StartTask
{
  TaskId mTask;
  std::uint32_t mAttempt = 0; ///< From 1; echoed in TaskEnded.
  UpstreamIndex mUpstream = 0;
  std::shared_ptr<const std::string> mPayload;
  UnixMs mNotAfterMs = 0; ///< The upstream refuses the start after this.
  Duration mWaited{ 0 };  ///< Of the job since its caller submitted it.
  bool mFirstOfJob = false;
};

struct StopTask
{
  TaskId mTask;
  UpstreamIndex mUpstream = 0;
};

/// Answers a waiting call. Sent once for each request.
struct Answer
{
  RequestId mRequest = 0;
  JobAnswer mAnswer;
};

/// Refuses a Submit; the job is not kept.
struct Refuse
{
  RequestId mRequest = 0;
  std::string mId;
  Error mError;
};

/// The job was accepted and is now this entry's.
struct Accepted
{
  RequestId mRequest = 0;
  std::string mId;
};

/// The job has ended; for the journal.
struct Finished
{
  std::string mId;
  JobState mState = JobState::Failed;
  Verdict mVerdict = Verdict::MayHaveRun;
};

using Action = std::variant<StartTask, StopTask, Answer, Refuse, Accepted, Finished>;
using Actions = std::vector<Action>;

struct State;

/// Makes a state. The seed starts the generator that jitter draws from.
std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, std::uint64_t aSeed);

/// Applies one event and appends what has to be done, in order.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

// Queries; none changes the state.

/// The answer or status of a known job; nothing when the id is unknown or forgotten.
std::optional<JobAnswer> Find(const State& aState, std::string_view aId);

/// The owning team and body hash of a known job, to check a resubmission.
struct KnownJob
{
  std::string mTeam;
  std::uint64_t mBodyHash = 0;
};
std::optional<KnownJob> FindKnown(const State& aState, std::string_view aId);

/// Where to reach an upstream: "IP:PORT", and its key.
struct UpstreamAddress
{
  std::string mKey;
  std::string mAddress;
};
UpstreamAddress AddressOf(const State& aState, UpstreamIndex aUpstream);

/// The number of an upstream; nothing when it was never configured and never had credits.
std::optional<UpstreamIndex> FindUpstream(const State& aState, std::string_view aKey);

/// Thousandths of a core on the usable upstreams of a service; zero for an unknown one.
placement::Room RoomOf(const State& aState, std::string_view aService);

/// Thousandths of a core that the waiting tasks of a service ask for.
std::uint64_t QueuedMilliCores(const State& aState, std::string_view aService);

/// Load of this entry, for heartbeats and lending.
struct Load
{
  std::size_t mQueuedTasks = 0;
  std::size_t mRunningTasks = 0;
  std::size_t mIdleCredits = 0;
  std::chrono::milliseconds mEstimatedWait{ 0 };
};
Load LoadOf(const State& aState);

/// Idle credits and running tasks of each upstream with credits, by key order.
struct UpstreamLoad
{
  std::string mKey;
  std::uint32_t mCredits = 0;
  std::uint32_t mRunning = 0;
  bool mUsable = true; ///< Not leaving and not unhealthy.
};
std::vector<UpstreamLoad> UpstreamLoads(const State& aState);

/// The same of one upstream; nothing when it is not known.
std::optional<UpstreamLoad> FindUpstreamLoad(const State& aState, std::string_view aKey);

/// Tasks that wait, of all services.
std::size_t QueuedTasks(const State& aState);

/// Tasks of the service that wait for any reason.
std::size_t WaitingTasks(const State& aState, std::string_view aService);

/// Tasks of the service that wait because no idle credit of this entry can serve them.
std::size_t UnservedTasks(const State& aState, std::string_view aService);

/// Task starts a second that each team asks of this entry (a decaying mean over about 5 s), refused
/// ones included, by team name. Teams without demand are left out.
std::vector<std::pair<std::string, double>> TeamDemands(const State& aState, const Now& aNow);

/// Upstreams that this entry found unhealthy, by key, with their failure rate (0 to 1; an upstream
/// that is only slow has a low one).
std::vector<std::pair<std::string, double>> UnhealthyUpstreams(const State& aState);

inline constexpr std::size_t kAllJobs = std::numeric_limits<std::size_t>::max();

/// Ids of running jobs of which no task has ever been sent, oldest first.
std::vector<std::string> UnstartedJobs(const State& aState, std::size_t aMost);

/// A job that was taken out of the queue to be handed to another entry. mJob's deadline is what is
/// left of it. The calls that waited are the node's to answer.
struct Withdrawn
{
  JobSpec mJob;
  std::vector<RequestId> mRequests;
};

/// Takes a job out, which is unknown from then on. Nothing when it is unknown, has ended, or a task
/// of it has been sent. This is the one call besides Handle that changes the state.
std::optional<Withdrawn> Withdraw(State& aState, std::string_view aId, const Now& aNow);

/// Counters by name, for metrics (values only rise).
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);

/// The whole state as JSON text, enough to say why a given job waits.
std::string Dump(const State& aState, const Now& aNow);

} // namespace pollenwall::dispatch
