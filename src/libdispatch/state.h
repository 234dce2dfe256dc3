#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <unordered_map>

#include <pollenwall/admission.h>
#include <pollenwall/dispatch.h>
#include <pollenwall/hash.h>
#include <pollenwall/placement.h>
#include <pollenwall/run_times.h>
#include <pollenwall/task_queue.h>

/// The state behind dispatch.h, shared by the files of this library.
namespace pollenwall::dispatch {

using placement::kNone;
using placement::ServiceIndex;
using queue::JobIndex;
using queue::TeamIndex;

enum class Phase : std::uint8_t
{
  Queued,
  Delayed, ///< Waits to be queued again.
  Running,
  Ended,
};

struct Task
{
  Phase mPhase = Phase::Queued;
  bool mLong = false;
  bool mLearned = false;    ///< The estimate comes from outcomes.
  bool mMoved = false;      ///< A run of it stood still or was slow.
  bool mRetryPaid = false;  ///< The retry budget has been charged for the next start.
  std::uint32_t mSlice = 0; ///< Position in the job's list of slices.
  std::uint32_t mAttempt = 0;
  std::uint32_t mFailures = 0;         ///< Runs that ended as failed.
  Verdict mPastRuns = Verdict::NotRun; ///< Of all runs that are over.
  std::uint32_t mSlot = kNone;         ///< Of the attempt without an outcome yet.
  UpstreamIndex mAvoid = kNone;
  Time mAvoidUntil{};
  Duration mMean{ 0 };
  Duration mMedian{ 0 };
  TaskAnswer mAnswer;
};

/// One start request without an outcome yet. It outlives the job's end, because the slot is taken
/// until the outcome arrives.
struct Attempt
{
  JobIndex mJob = kNone; ///< kNone: the slot of the table is free.
  std::uint32_t mTask = 0;
  UpstreamIndex mUpstream = kNone;
  Needs mNeeds;
  Time mStarted{};
  bool mLong = false;
  bool mStopped = false;
  bool mOverdue = false;            ///< Counted as overdue already.
  bool mMoving = false;             ///< Stopped in order to start elsewhere.
  bool mFoundSlow = false;          ///< Counted against its upstream already.
  std::optional<double> mFirstPart; ///< The first progress report.
  Time mFirstPartAt{};
  double mPart = 0;    ///< The last one.
  Time mPartChanged{}; ///< When the part last rose, or the start.
};

struct Job
{
  std::uint64_t mGeneration = 0;    ///< Rises when the slot of the table is used again.
  const std::string* mId = nullptr; ///< The key in State::mJobByName; null when free.
  std::uint64_t mSequence = 0;
  std::shared_ptr<const JobSpec> mSpec; ///< Null once the job has ended.
  ServiceIndex mService = kNone;
  TeamIndex mTeam = kNone;
  std::uint64_t mBodyHash = 0;
  run_times::Kind* mKind = nullptr;
  Time mAccepted{};
  Time mDeadline{};
  JobState mState = JobState::Running;
  std::vector<Task> mTasks; ///< Kept after the end while attempts are outstanding.
  std::vector<queue::SliceIndex> mSlices;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> mRacks; ///< Rack, tasks started there.
  std::vector<RequestId> mWaiters;
  queue::WorkByClass mQueuedWork{};
  bool mUrgent = false;
  std::uint32_t mLateness = 0; ///< See queue::JobKey.
  bool mKeepsPlace = false;    ///< Had started when it could no longer keep its target.
  Duration mExpectedRun{ 0 };  ///< Of its longest task.
  Duration mTarget{ 0 };       ///< From the submission; 0: none.
  std::uint32_t mPriority = 0;
  std::uint32_t mMostFailures = 1;
  bool mRestartable = false;
  std::uint64_t mMilliCores = 0; ///< Asked for by all tasks together.
  Duration mFastest{ 0 };        ///< Shortest run of its tasks, done or projected; 0: none known.
  UpstreamIndex mFastestAt = kNone;
  bool mHasFailed = false; ///< A run of its tasks has failed.
  Duration mLongest{ 0 };  ///< Of its tasks, as far as learned; 95% are shorter.
  std::uint32_t mQueued = 0;
  std::uint32_t mDelayed = 0;
  std::uint32_t mRan = 0;
  std::uint32_t mOutstanding = 0;
  bool mEverStarted = false;
  JobAnswer mAnswer; ///< Once the job has ended.
  std::size_t mKeptBytes = 0;
};

/// Tasks with equal rounded needs.
struct Group
{
  Needs mNeeds;
  std::vector<placement::ShapeIndex> mShapes;
};

/// What a job of a queue is ordered by first; see queue::JobKey.
struct Rank
{
  std::uint32_t mPriority = 0;
  std::uint32_t mLateness = 0;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// A decaying mean of what comes a second.
struct DecayingRate
{
  double mPerSecond = 0; ///< As of mAt.
  Time mAt{};
};

/// The mean now, when the weight of the past falls to 1/e in aSeconds.
double RateNow(const DecayingRate& aRate, double aSeconds, const Now& aNow);

/// Adds what has come now.
void AddToRate(DecayingRate& aRate, double aAmount, double aSeconds, const Now& aNow);

struct Service
{
  std::uint32_t mBorrowed = 0; ///< Credits that may be recalled.
  bool mConfigured = false;
  configuration::Service mSettings;
  queue::Queue mQueue; ///< Lane 2 * group is the group's short class, 2 * group + 1 its long one.
  std::vector<Group> mGroups;
  run_times::Kinds mKinds;
  std::array<std::size_t, 2> mRunning{}; ///< Of the short and the long class.
  /// Queued work in microseconds by rank, in the order in which it is served.
  std::map<Rank, std::int64_t> mRankedWork;
  /// Accepted work by priority, in seconds of tasks' run time a second.
  std::map<std::uint32_t, DecayingRate> mInflow;
  double mShortPeak = 0; ///< Decaying maximum of slots wanted by the short class.
};

struct Team
{
  std::string mName;
  bool mConfigured = false;
  configuration::Team mSettings;
  double mShare = 1;
  admission::TokenBucket mQuota;
  DecayingRate mDemand;    ///< Starts a second.
  std::size_t mQueued = 0; ///< Over all services, delayed ones included.
};

/// A moment that concerns a job. A generation that has passed makes it void.
struct JobTimer
{
  Time mAt{};
  JobIndex mJob = 0;
  std::uint64_t mGeneration = 0;
  std::uint32_t mTask = 0;

  friend bool operator>(const JobTimer& aOne, const JobTimer& aOther)
  {
    return std::tie(aOne.mAt, aOne.mJob, aOne.mTask) >
           std::tie(aOther.mAt, aOther.mJob, aOther.mTask);
  }
};

using JobTimers = std::priority_queue<JobTimer, std::vector<JobTimer>, std::greater<>>;

struct IdHash
{
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view aId) const { return Hash64(aId); }
};

struct Counts
{
  std::uint64_t mJobsAccepted = 0;
  std::uint64_t mJobsComplete = 0;
  std::uint64_t mJobsFailed = 0;
  std::uint64_t mJobsExpired = 0;
  std::uint64_t mJobsCancelled = 0;
  std::uint64_t mJobsRefused = 0;
  std::uint64_t mTaskStarts = 0;
  std::uint64_t mTaskStops = 0;
  std::uint64_t mTaskRefusals = 0;
  std::uint64_t mTaskRetries = 0;
  std::uint64_t mTaskRestarts = 0; ///< Retries of tasks that had run.
  std::uint64_t mTasksStalled = 0; ///< Moved because they stood still.
  std::uint64_t mTasksSlow = 0;    ///< Moved because they were far slower than others.
  std::uint64_t mRetriesDeferred = 0;
  std::uint64_t mLateOutcomes = 0;
  std::uint64_t mUnknownOutcomes = 0;
  std::uint64_t mReclassified = 0;
  std::uint64_t mDroppedResults = 0;
};

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  configuration::Version mVersion = 0;
  bool mHasConfiguration = false;
  bool mAccepting = true;
  placement::State mPlacement;
  std::deque<Service> mServices; ///< By placement::ServiceIndex.
  std::vector<Team> mTeams;
  std::map<std::string, TeamIndex, std::less<>> mTeamByName;
  std::deque<Job> mJobs;
  std::vector<JobIndex> mFreeJobs;
  std::unordered_map<std::string, JobIndex, IdHash, std::equal_to<>> mJobByName;
  std::unordered_map<RequestId, JobIndex> mJobByRequest;
  std::uint64_t mNextSequence = 0;
  std::vector<Attempt> mAttempts;
  std::vector<std::uint32_t> mFreeAttempts;
  std::size_t mAttemptCursor = 0; ///< Where the sweep over attempts goes on.
  JobTimers mDeadlines;
  std::vector<std::uint32_t> mBorrowed; ///< Credits that may be recalled, by upstream.
  JobTimers mUrgencies;  ///< When a job that still waits has to go first to meet its deadline.
  JobTimers mLastStarts; ///< When a job of which nothing has started can no longer end in time.
  JobTimers mTargets;    ///< When a waiting job can no longer keep its target, or is far past it.
  JobTimers mDelays;
  std::deque<JobTimer> mKept;        ///< Ended jobs, in the order of their end.
  std::deque<JobTimer> mKeptResults; ///< Those among them that hold results.
  std::size_t mKeptResultBytes = 0;
  std::size_t mQueuedTasks = 0; ///< Delayed ones included.
  std::size_t mRunningTasks = 0;
  admission::RetryBudget mRetryBudget;
  Time mTicked{};
  Counts mCounts;
};

/// Time constant with which a team's demand decays.
inline constexpr double kDemandSeconds = 5;

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage);
double Seconds(Duration aDuration);

// accept.cpp

/// Counts a submission in the team's demand, whether it is accepted or not.
void CountDemand(Team& aTeam, std::size_t aTasks, const Now& aNow);

/// What is wrong with a job regardless of load.
std::optional<Error> CheckSpec(const State& aState, const JobSpec& aSpec);

/// The job with its tasks' estimates; nothing when a task needs more than any worker of the service
/// has.
std::optional<Job> BuildJob(State& aState, const Submit& aEvent, const Now& aNow);

/// What speaks against accepting the job now. Takes the job's starts from the team's quota when
/// nothing does.
std::optional<Error> CheckLoad(State& aState,
                               const Job& aJob,
                               const JobSpec& aSpec,
                               const Now& aNow);

/// Time until a job with a target would start: the queued work that goes first, on the places that
/// more urgent work, as it has come lately, leaves to it. This is the wait in a queue with
/// priorities (Cobham 1954), with measured instead of assumed arrivals.
Duration QueueTime(const State& aState, const Job& aJob, const Now& aNow);

/// Adds an accepted job's work to what has come lately.
void CountInflow(State& aState, const Job& aJob, const Now& aNow);

/// The moment from which a job that still waits would end at so many times its target.
Time LateAt(const Job& aJob, Duration aWaited, int aTargets);

/// An answer after this many times its target is worth little more than none.
inline constexpr int kFarPastTarget = 3;

// progress.cpp

/// Notes how long a task of the job takes at an upstream.
void NoteRun(Job& aJob, Duration aRun, UpstreamIndex aUpstream);

/// Takes a report and decides whether the run is worth its time where it is.
void ApplyProgress(State& aState, const TaskProgress& aEvent, const Now& aNow, Actions& aActions);

// dispatch.cpp

/// The largest number of running long tasks of a service at this moment.
std::size_t LongLimit(const State& aState, ServiceIndex aService);

/// The status of a running job or the answer of an ended one.
JobAnswer AnswerOf(const Job& aJob);

} // namespace pollenwall::dispatch
