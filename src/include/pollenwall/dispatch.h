#pragma once

#include <array>
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
#include <pollenwall/crash_report.h>
#include <pollenwall/fits_by_size.h>
#include <pollenwall/job.h>
#include <pollenwall/placement.h>
#include <pollenwall/time.h>

/// The scheduling core of one entry: admission, queueing, placement, outcomes, retries and
/// cancellation of the jobs that this entry owns. It does no I/O and reads no clock. `Handle` and
/// `Withdraw` are the only functions that change the state.
namespace pollenwall::dispatch {

/// Identifies a caller's call that waits for an answer; assigned by the node. 0: no call waits.
using RequestId = std::uint64_t;

/// Dense index of an upstream, stable for the lifetime of the State and never reused.
using UpstreamIndex = std::uint32_t;

/// Limits and policy parameters. The defaults suit the design capacity.
struct Options
{
  std::string mDataCentre;
  std::chrono::milliseconds mAnswerRetention{ 60000 };
  std::chrono::milliseconds mStartWindow{
    1000
  }; ///< Workers refuse start requests that arrive later than this.
  std::size_t mMaxQueuedTasks = 200000;
  std::size_t mMaxTasksPerJob = kMaxTasksPerJob;
  double mRetryRatio = 0.1; ///< Retries allowed per first start.
  double mRetryBurst = 50;
  std::chrono::milliseconds mSignExpiry{ 10000 }; ///< Lifetime of an unconfirmed sign of leaving.
  /// Slot seconds of remaining work that are discounted for each second of waiting when jobs are
  /// ordered; bounds the wait of large jobs behind small ones.
  double mAgeingRate = 4;
  /// Whether answers have an outcome for each task. Without, they say only how the job ended.
  bool mTaskAnswers = true;
  /// Limit on the results of ended jobs that are retained for resubmissions. Beyond it the oldest
  /// results are dropped, and a resubmission is answered that the job ran, without results.
  std::size_t mMaxRetainedResultBytes = std::size_t{ 256 } << 20;
  /// Limit on the records of ended jobs. Beyond it, records of jobs of which no copy can arrive are
  /// dropped early, the oldest first, and submissions of which copies can arrive are refused.
  std::size_t mMaxEndedJobBytes = std::size_t{ 256 } << 20;
  /// Limit on the estimated memory of accepted jobs that have not ended. Submissions beyond it are
  /// refused.
  std::size_t mMaxJobBytes = std::size_t{ 256 } << 20;
  /// Initial capacity of the job table: the jobs in it at 3,000 jobs a second and the default
  /// retention of answers, rounded up.
  std::size_t mExpectedJobs = std::size_t{ 1 } << 18;
  bool mExclusiveUpstreams = false; ///< See placement::Options.
  /// Divides the capacity of a service by shares while demand exceeds it; see shares.h.
  bool mShortageShares = false;
  /// Tasks that the service must be able to run at once for a shortage to begin. With 3 kinds, 3
  /// data centres and 2 sizes there are 18 classes of jobs of several tasks; on fewer places the
  /// share of a class is less than a job, and rounding refuses more than the shares serve.
  std::size_t mMinSharedPlaces = 64;
  bool mLookAhead = false; ///< See placement::Options; needs mExclusiveUpstreams.

  friend bool operator==(const Options&, const Options&) = default;
};

// Events.

/// Submits a job that this entry is to own. Its id must be set. mRequest, if not 0, waits for the
/// answer. The id of a known job makes it a resubmission: it waits for that job's answer, without
/// another Accepted, or is refused with id_conflict when team or body hash differ.
struct Submit
{
  RequestId mRequest = 0;
  JobSpec mJob;
  /// Whether copies of the submission can arrive after the job's end, so that the job must be known
  /// until Options::mAnswerRetention has passed.
  bool mCanRepeat = true;
};

/// Waits for the answer of a known job; answered immediately when the job has ended.
struct Wait
{
  RequestId mRequest = 0;
  std::string mId;
};

/// The waiting call was closed. Its job continues.
struct CancelWait
{
  RequestId mRequest = 0;
};

struct Cancel
{
  std::string mId;
};

/// The outcome of one start request. An outcome for an attempt that is not outstanding is counted
/// and dropped.
struct TaskEnded
{
  TaskId mTask;
  std::uint32_t mAttempt = 0;
  UpstreamIndex mUpstream = 0;
  TaskOutcome mOutcome;
};

/// Progress of a running task as reported by its upstream. If the job is restartable, a run that
/// makes no progress or is far slower than the job's other runs is moved to another upstream.
struct TaskProgress
{
  TaskId mTask;
  std::uint32_t mAttempt = 0;
  UpstreamIndex mUpstream = 0;
  double mDoneFraction = 0; ///< Fraction of its work that is done, 0 to 1.
};

/// An upstream of this or another entry has crashed, may have, or has not after all. A task under
/// which upstreams crash repeatedly fails its job, here or when it is submitted later, so that it
/// does not crash further ones.
struct UpstreamCrashed
{
  CrashReport mReport;
};

/// Sets the number of slots of an upstream that this entry may use: its own share under the current
/// view (see ownership.h), minus lent and plus borrowed credits. Sent whenever that changes. When
/// the number falls below the running tasks, these still end normally.
struct SetCredits
{
  std::string mUpstream; ///< Key "SERVICE/WORKER".
  std::uint32_t mCredits = 0;
  std::uint32_t mBorrowed = 0; ///< Part of mCredits. May be recalled; admission excludes it.
};

enum class Sign
{
  Leaving,          ///< Confirmed by the platform's list.
  SuspectedLeaving, ///< A refusal, a closed connection or a peer's report.
  Live,             ///< Listed as live by the platform, or it answered.
};

/// A sign that an upstream is leaving or live. Live ends a confirmed Leaving. It ends a
/// SuspectedLeaving only when mAsOfMs, the time of the report, is later than that sign; 0 stands
/// for a report of unknown age.
struct UpstreamSign
{
  std::string mUpstream;
  Sign mSign = Sign::Live;
  UnixMs mAsOfMs = 0;
};

/// A peer reports the upstream as unhealthy (see UnhealthyUpstreams): it fails its tasks, or, with
/// a low failure rate, it is slow. For the next 10 s, few outcomes of the same kind seen by this
/// entry are enough to exclude it.
struct UnhealthyReport
{
  std::string mUpstream;
  double mFailureRate = 0;
};

/// Fraction of a team's quota that this entry may admit, 0 to 1; 1 until set.
struct SetQuotaShare
{
  std::string mTeam;
  double mShare = 1;
};

struct ConfigurationApplied
{
  std::shared_ptr<const configuration::Configuration> mConfiguration;
};

/// Starts no task until a time.
struct HoldStarts
{
  Time mUntil{};
};

/// Refuses new jobs from now on; known jobs continue.
struct StopAccepting
{};

/// Runs the timers: expiry, ageing and retries. Must be sent every 10 to 50 ms.
struct Tick
{};

using Event = std::variant<Submit,
                           Wait,
                           CancelWait,
                           Cancel,
                           TaskEnded,
                           TaskProgress,
                           UpstreamCrashed,
                           SetCredits,
                           UpstreamSign,
                           ConfigurationApplied,
                           StopAccepting,
                           HoldStarts,
                           Tick,
                           UnhealthyReport,
                           SetQuotaShare>;

// Actions.

struct StartTask
{
  TaskId mTask;
  std::uint32_t mAttempt = 0; ///< Counted from 1; returned in TaskEnded.
  UpstreamIndex mUpstream = 0;
  std::shared_ptr<const std::string> mPayload;
  UnixMs mNotAfterMs = 0; ///< The upstream refuses the start after this time.
  Duration mWaited{ 0 };  ///< Time since the caller submitted the job.
  bool mFirstOfJob = false;
  std::uint32_t mMilliCores = 0; ///< Needs of the task.
};

struct StopTask
{
  TaskId mTask;
  UpstreamIndex mUpstream = 0;
};

/// Answers a waiting call. Emitted once for each request.
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

/// The job was accepted and is now owned by this entry.
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

/// Demand exceeds the capacity of a service from now on, or no longer. See
/// Options::mShortageShares.
struct ShortageChanged
{
  std::string mService;
  bool mShort = false;
  double mDemand = 0;   ///< In core seconds per second.
  double mCapacity = 0; ///< In the same unit.
};

using Action =
  std::variant<StartTask, StopTask, Answer, Refuse, Accepted, Finished, ShortageChanged>;
using Actions = std::vector<Action>;

struct State;

/// Makes a state. The seed initialises the random generator for jitter and placement.
std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, std::uint64_t aSeed);

/// Applies one event and appends the resulting actions, to be carried out in order.
void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions);

// Queries. None of them changes the state, except Withdraw.

/// The answer or status of a known job; nothing when the id is unknown or forgotten.
std::optional<JobAnswer> FindJobAnswer(const State& aState, std::string_view aId);

/// Team and body hash of a known job, to check a resubmission.
struct KnownJob
{
  std::string mTeam;
  std::uint64_t mBodyHash = 0;
};
std::optional<KnownJob> FindKnownJob(const State& aState, std::string_view aId);

/// Key of an upstream and its address, "IP:PORT".
struct UpstreamAddress
{
  std::string mKey;
  std::string mAddress;
};
UpstreamAddress AddressOf(const State& aState, UpstreamIndex aUpstream);

/// The index of an upstream; nothing when it was never configured and never had credits.
std::optional<UpstreamIndex> FindUpstream(const State& aState, std::string_view aKey);

/// Millicores on the usable upstreams of a service; zero for an unknown service.
placement::Room RoomOf(const State& aState, std::string_view aService);

/// How many tasks of each size of placement::kSizeScale fit now on the usable upstreams of a
/// service; zero for an unknown service.
placement::FitsBySizeClass FitsBySize(const State& aState, std::string_view aService);

/// Millicores that the queued tasks of a service need.
std::uint64_t QueuedMilliCores(const State& aState, std::string_view aService);

/// Whether demand exceeds the capacity of the service; see Options::mShortageShares.
bool IsShort(const State& aState, std::string_view aService);

/// The time that a task of each size of placement::kSizeScale is expected to wait at the service
/// while none of its size fits; zero for an unknown service. Needs Options::mShortageShares.
std::array<std::chrono::milliseconds, placement::kSizeScale.size()> WaitsBySize(
  const State& aState,
  std::string_view aService);

/// Load of this entry, for heartbeats and for lending credits.
struct Load
{
  std::size_t mQueuedTasks = 0; ///< Including delayed ones.
  std::size_t mRunningTasks = 0;
  std::size_t mIdleCredits = 0;
  std::chrono::milliseconds mEstimatedWait{ 0 };
};
Load LoadOf(const State& aState);

/// Credits and running tasks of one upstream.
struct UpstreamLoad
{
  std::string mKey;
  std::uint32_t mCredits = 0;
  std::uint32_t mRunning = 0;
  bool mUsable = true; ///< Not leaving and not unhealthy.
};
/// The load of each upstream that has credits or running tasks, ordered by key.
std::vector<UpstreamLoad> UpstreamLoads(const State& aState);

/// The load of one upstream; nothing when it is unknown.
std::optional<UpstreamLoad> FindUpstreamLoad(const State& aState, std::string_view aKey);

/// Queued and delayed tasks of all services.
std::size_t QueuedTasks(const State& aState);

/// Queued tasks of the service, whatever they wait for. Delayed tasks are not counted.
std::size_t WaitingTasks(const State& aState, std::string_view aService);

/// Queued tasks of the service that no idle credit of this entry can serve.
std::size_t UnservedTasks(const State& aState, std::string_view aService);

/// Task starts a second that each team requests from this entry, including refused ones, by team
/// name (a decaying mean over about 5 s). Teams without demand are omitted.
std::vector<std::pair<std::string, double>> TeamDemands(const State& aState, const Now& aNow);

/// Upstreams that this entry considers unhealthy, by key, with their failure rate (0 to 1; low for
/// an upstream that is only slow).
std::vector<std::pair<std::string, double>> UnhealthyUpstreams(const State& aState);

inline constexpr std::size_t kAllJobs = std::numeric_limits<std::size_t>::max();

/// Ids of running jobs of which no task has been sent to an upstream yet, oldest first.
std::vector<std::string> UnstartedJobs(const State& aState, std::size_t aMaxCount);

/// A job that was removed in order to hand it over to another entry. mJob's deadline is the time
/// that remains. The node must answer the calls in mRequests.
struct Withdrawn
{
  JobSpec mJob;
  std::vector<RequestId> mRequests;
};

/// Removes a job, which is unknown from then on. Nothing when the job is unknown, has ended or
/// passed its deadline, or when a task of it has been sent to an upstream.
std::optional<Withdrawn> Withdraw(State& aState, std::string_view aId, const Now& aNow);

/// A running job with tasks that have not been started, or have to be started again.
struct WaitingJob
{
  std::string mId;
  std::shared_ptr<const JobSpec> mSpec;
  std::size_t mTasks = 0; ///< Number of waiting tasks.
  bool mStarted = false;  ///< A task of it has been sent to an upstream.
};

/// The running jobs with waiting tasks, oldest first.
std::vector<WaitingJob> WaitingJobs(const State& aState);

/// A run of a restartable job that is expected to last.
struct LongRun
{
  std::string mJob;
  std::shared_ptr<const JobSpec> mSpec;
  UpstreamIndex mUpstream = 0;
  Duration mWhole{ 0 };      ///< Expected time from its start to its end.
  Duration mToDeadline{ 0 }; ///< Of its job.
};

/// The runs that are expected to last more than aLeft longer, by their reported progress or,
/// without any, by what is known of their kind.
std::vector<LongRun> FindLongRuns(const State& aState, Duration aLeft, const Now& aNow);

/// Number of start requests of a job without an outcome; 0 if the job is unknown.
std::size_t OutstandingRuns(const State& aState, std::string_view aId);

/// The crashes that are remembered, oldest first, for an entry that does not know them.
std::vector<CrashReport> RecentCrashes(const State& aState);

/// The reports of crashes that a process at an upstream decides by its answer, with their new
/// state. aBornMs is its start; nothing if it is known by another id.
std::vector<CrashReport> DecidedCrashes(const State& aState,
                                        std::string_view aUpstream,
                                        std::optional<UnixMs> aBornMs);

/// Monotonic counters by name, for metrics.
std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState);

/// The state as JSON text, including the reason why each job waits.
std::string Dump(const State& aState, const Now& aNow);

} // namespace pollenwall::dispatch
