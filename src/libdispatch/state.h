#pragma once

#include <algorithm>
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
#include <pollenwall/return_times.h>
#include <pollenwall/run_times.h>
#include <pollenwall/shares.h>
#include <pollenwall/task_queue.h>

#include "crashes.h"

/// The internal state behind dispatch.h, shared by the source files of this library.
namespace pollenwall::dispatch {

using placement::kNone;
using placement::ServiceIndex;
using queue::JobIndex;
using queue::TeamIndex;

enum class Phase : std::uint8_t
{
  Queued,
  Delayed, ///< Waits for a timer before it is queued again.
  Running,
  Ended,
};

struct Task
{
  Phase mPhase = Phase::Queued;
  bool mLong = false;
  bool mLearned = false; ///< The estimate is based on outcomes, not on a declaration or default.
  bool mMoved = false;   ///< A run was stopped because it stalled or was slow.
  bool mSuspect = false; ///< See placement::Request::mSuspect.
  bool mRetryCharged = false; ///< The retry budget has been charged for the next start.
  std::uint32_t mSlice = 0;   ///< Index in Job::mSlices.
  std::uint32_t mAttempt = 0;
  std::uint32_t mFailures = 0;            ///< Runs that ended in a failure.
  Verdict mPastVerdict = Verdict::NotRun; ///< Combined over all runs that are over.
  std::uint32_t mActiveAttempt = kNone;   ///< Index of the outstanding attempt in State::mAttempts.
  UpstreamIndex mAvoidedUpstream = kNone;
  Time mAvoidUntil{};
  Duration mMean{ 0 };
  Duration mMedian{ 0 };
  TaskAnswer mAnswer;
};

/// One start request without an outcome yet. It may outlive its job, because the slot at the
/// upstream is occupied until the outcome arrives.
struct Attempt
{
  JobIndex mJob = kNone; ///< kNone: this element of the table is free.
  std::uint32_t mTask = 0;
  UpstreamIndex mUpstream = kNone;
  Needs mNeeds;
  Time mStarted{};
  bool mLong = false;
  bool mSuspect = false; ///< Counted by placement::CountSuspect.
  bool mStopped = false;
  bool mOverdueCounted = false;         ///< Reported to placement as overdue.
  bool mMoving = false;                 ///< Stopped in order to restart on another upstream.
  bool mSlowCounted = false;            ///< Counted against its upstream by CountSlowJob.
  std::optional<double> mFirstFraction; ///< From the first progress report.
  Time mFirstFractionAt{};
  double mDoneFraction = 0;  ///< The largest fraction reported.
  Time mFractionChangedAt{}; ///< Last increase of mDoneFraction; initially the start.
  Time mExpectedEnd{};       ///< Computed when needed and again when it has passed.
};

struct Job
{
  std::uint64_t mGeneration = 0;    ///< Incremented when this element of the table is freed.
  const std::string* mId = nullptr; ///< Points to the key in State::mJobByName; null when free.
  std::uint64_t mSequence = 0;
  std::shared_ptr<const JobSpec> mSpec; ///< Null once the job has ended.
  ServiceIndex mService = kNone;
  TeamIndex mTeam = kNone;
  std::uint64_t mBodyHash = 0;
  run_times::Kind* mKind = nullptr;
  Time mAccepted{};
  Time mDeadline{};
  JobState mState = JobState::Running;
  std::vector<Task> mTasks; ///< Kept after the job's end while attempts are outstanding.
  std::vector<queue::SliceIndex> mSlices;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> mRacks; ///< Rack, tasks started in it.
  std::vector<RequestId> mWaiters;
  queue::WorkByClass mQueuedWork{};
  bool mUrgent = false;
  std::uint32_t mLateness = 0; ///< See queue::JobKey.
  bool mKeepsRank = false;     ///< Had started before it missed its target; see DemoteLateJobs.
  Duration mExpectedRun{ 0 };  ///< Median run time of its longest task.
  Duration mTarget{ 0 };       ///< Time allowed from the submission to the answer; 0: none.
  std::uint32_t mPriority = 0;
  std::uint32_t mMaxFailures = 1;
  bool mRestartable = false;
  std::uint64_t mMilliCores = 0; ///< Needs of all tasks together.
  double mCoreSeconds = 0;       ///< Expected work of all tasks together.
  admission::ShareOf mShare;     ///< Set if Options::mShortageShares.
  /// Set during a shortage: the time at which the job has to start in order to meet its target, in
  /// microseconds. It replaces priority and remaining work in the order of jobs.
  std::optional<std::int64_t> mTag;
  Duration mShortestRun{ 0 }; ///< Shortest completed or projected run of its tasks; 0: none.
  UpstreamIndex mShortestRunUpstream = kNone;
  bool mHasFailed = false;   ///< A run of one of its tasks has failed.
  Duration mLongestRun{ 0 }; ///< Largest bounded 95th percentile of a learned task; 0: none.
  std::uint32_t mQueued = 0;
  std::uint32_t mDelayed = 0;
  std::uint32_t mCompletedTasks = 0;
  std::uint32_t mOutstanding = 0;
  bool mEverStarted = false;
  bool mCanRepeat = true; ///< See Submit::mCanRepeat.
  JobAnswer mAnswer;      ///< Once the job has ended.
  std::size_t mResultBytes = 0;
  std::size_t mBytes = 0; ///< In State::mJobBytes, after the end in mEndedJobBytes.
};

/// Tasks whose needs are equal after rounding.
struct NeedsGroup
{
  Needs mNeeds;
  std::vector<placement::ShapeIndex> mShapes;
  std::uint32_t mSlices = 0;  ///< Slices of jobs in its two lanes, also those without queued tasks.
  std::uint64_t mUsedFor = 0; ///< State::mBuiltJobs when a job was last built with it.
};

/// The most significant parts of queue::JobKey.
struct Rank
{
  std::uint32_t mPriority = 0;
  std::uint32_t mLateness = 0;
  std::int64_t mTagInterval = 0; ///< During a shortage: the rounded tag.

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

using admission::DecayingRate;

/// The rate at aNow; past arrivals decay to 1/e within aSeconds.
double RateNow(const DecayingRate& aRate, double aSeconds, const Now& aNow);

/// Adds an arrival of the given amount.
void AddToRate(DecayingRate& aRate, double aAmount, double aSeconds, const Now& aNow);

/// Why and since when a task's room is reserved; the room itself is in placement::Upstream.
struct ReservationRecord
{
  queue::LaneIndex mLane = 0;
  UpstreamIndex mUpstream = kNone;
  Time mCheckedAt{};
  Duration mIdle{
    0
  }; ///< Time for which room as large as the task was kept free, until mCheckedAt.
};

struct Service
{
  std::uint32_t mBorrowed = 0; ///< Credits that may be recalled.
  bool mConfigured = false;
  configuration::Service mSettings;
  queue::Queue mQueue; ///< Lane 2 * group is the group's short class, 2 * group + 1 its long one.
  std::vector<NeedsGroup> mGroups;
  run_times::Kinds mKinds;
  std::array<std::size_t, 2> mRunning{}; ///< Running tasks of the short and the long class.
  /// Queued work in microseconds by rank; lower ranks are served first.
  std::map<Rank, std::int64_t> mQueuedWorkByRank;
  /// Rate of accepted work by priority, in seconds of run time per second.
  std::map<std::uint32_t, DecayingRate> mInflow;
  double mShortPeak = 0; ///< Decaying maximum of running tasks of the short class.
  admission::Shares mShares;
  admission::ReturnSchedule mReturns;
  Time mCapacityAt{};          ///< When mShares.mCapacity was last measured.
  double mUsedFraction = 0.85; ///< Of the cores, while there is a queue; see UpdateCapacity.
  std::vector<ReservationRecord> mReservations;
  std::map<queue::LaneIndex, Time> mNoReservationBefore; ///< After one has been given up.
};

struct Team
{
  std::string mName;
  bool mConfigured = false;
  configuration::Team mSettings;
  double mShare = 1;
  admission::TokenBucket mQuota;
  DecayingRate mDemand;    ///< Task starts requested per second.
  std::size_t mQueued = 0; ///< Over all services, including delayed tasks.
};

/// A timer of a job. It is void when the job's generation has changed.
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

/// Timers of jobs, the earliest on top.
struct JobTimers : std::priority_queue<JobTimer, std::vector<JobTimer>, std::greater<>>
{
  template<typename Predicate>
  void EraseIf(const Predicate& aPredicate)
  {
    std::erase_if(c, aPredicate);
    c.shrink_to_fit();
    std::make_heap(c.begin(), c.end(), comp);
  }
};

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
  std::uint64_t mTaskRestarts = 0; ///< Retries of tasks that may have run.
  std::uint64_t mTasksStalled = 0; ///< Moved because they made no progress.
  std::uint64_t mTasksSlow = 0;    ///< Moved because they were far slower than expected.
  std::uint64_t mDeadlyTasks = 0;  ///< Given up because upstreams crashed under them.
  std::uint64_t mRetriesDeferred = 0;
  std::uint64_t mLateOutcomes = 0;
  std::uint64_t mUnknownOutcomes = 0;
  std::uint64_t mReclassified = 0;
  std::uint64_t mDroppedResults = 0;
  std::uint64_t mDroppedRecords = 0; ///< Ended jobs that were forgotten early.
  /// By kind, with Options::mShortageShares; see admission::KindName.
  std::map<std::string, std::uint64_t> mAdmittedByKind;
  std::map<std::pair<std::string, ErrorCode>, std::uint64_t> mRefusedByKind;
  std::uint64_t mReservationsUsed = 0;
  std::uint64_t mReservationsMoved = 0; ///< To another upstream.
  std::uint64_t mReservationsGivenUp = 0;
  std::uint64_t mBackfilledTasks = 0; ///< Started on an upstream reserved for another task.
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
  std::uint64_t mBuiltJobs = 0; ///< By BuildJob, also those that are refused afterwards.
  std::vector<Attempt> mAttempts;
  std::vector<std::uint32_t> mFreeAttempts;
  std::vector<std::vector<std::uint32_t>> mAttemptsByUpstream; ///< Only with mLookAhead.
  std::size_t mAttemptCursor = 0; ///< Where the next SweepAttempts begins.
  JobTimers mDeadlineTimers;
  std::vector<std::uint32_t> mBorrowed; ///< By upstream; see SetCredits::mBorrowed.
  JobTimers mUrgencyTimers;     ///< When a waiting job has to be served first to meet its deadline.
  JobTimers mLatestStartTimers; ///< When an unstarted job can no longer meet its deadline.
  JobTimers mTargetTimers; ///< When a waiting job can no longer meet its target, or is far past it.
  JobTimers mDelayTimers;
  std::deque<JobTimer> mEndedJobs;       ///< In the order in which they ended.
  std::deque<JobTimer> mRetainedResults; ///< The ended jobs that hold results.
  std::size_t mRetainedResultBytes = 0;
  std::deque<JobTimer> mDroppableJobs; ///< The ended jobs that may be forgotten early.
  std::size_t mEndedJobBytes = 0;      ///< Of the records of ended jobs.
  std::size_t mJobBytes = 0;           ///< Of accepted jobs that have not ended.
  std::size_t mQueuedTasks = 0;        ///< Including delayed ones.
  std::size_t mRunningTasks = 0;
  admission::RetryBudget mRetryBudget;
  crashes::State mCrashes;
  Time mLastTick{};
  Time mNoStartsBefore{}; ///< See HoldStarts.
  Counts mCounts;
};

/// Time constant of the decay of a team's demand.
inline constexpr double kDemandDecaySeconds = 5;

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage);
double Seconds(Duration aDuration);

// accept.cpp

/// Counts a submission in the team's demand, whether it is accepted or not.
void CountDemand(Team& aTeam, std::size_t aTasks, const Now& aNow);

/// Checks a job regardless of load. Returns the reason for a refusal.
std::optional<Error> CheckSpec(const State& aState, const JobSpec& aSpec);

/// Estimated memory of an accepted job until its end, with its payloads. Equal payloads of a job
/// that follow each other share their memory.
std::size_t JobBytes(const JobSpec& aSpec);

/// Estimated memory of the record of an ended job, without the results of its tasks.
std::size_t EndedJobBytes(const Job& aJob);

/// Checks a submission against the limits of memory. Returns the reason for a refusal.
std::optional<Error> CheckMemory(State& aState, const Submit& aEvent, const Now& aNow);

/// Builds the job with the run time estimates of its tasks; nothing when a task needs more than any
/// worker of the service has.
std::optional<Job> BuildJob(State& aState, const Submit& aEvent, const Now& aNow);

/// Checks the job against queue limit, deadline, target and quota. Returns the reason for a
/// refusal; otherwise deducts the job's starts from the team's quota.
std::optional<Error> CheckLoad(State& aState,
                               const Job& aJob,
                               const JobSpec& aSpec,
                               const Now& aNow);

/// Estimates the time until a job with a target would start: the queued work that is served before
/// it, divided by the capacity left over by the recent inflow of more urgent work. This is the
/// waiting time in a priority queue (Cobham 1954) with measured instead of assumed arrivals.
/// During a shortage the order is by tag, and the rest of the capacity is that which is left over
/// by the inflow of kinds with a higher priority.
Duration EstimateQueueWait(const State& aState, const Job& aJob, const Now& aNow);

/// The number of tasks like the job's that can run in parallel. When placement is bound by needs,
/// this is derived from the millicores of the workers, of which a part stays unused because tasks
/// do not fill a worker exactly.
double ParallelCapacity(const State& aState, const Job& aJob);

/// Adds an accepted job's work to the inflow of its priority.
void CountInflow(State& aState, const Job& aJob, const Now& aNow);

/// The time at which the job has to start in order to end within this multiple of its target.
Time LatestStart(const Job& aJob, Duration aWaited, int aTargetMultiple);

/// Beyond this multiple of its target, an answer is worth little more than none.
inline constexpr int kFarPastTargetFactor = 3;

// look_ahead.cpp

/// The first task of a lane.
struct QueueHead
{
  queue::SliceIndex mSlice = 0;
  JobIndex mJob = 0;
  std::uint32_t mTask = 0;
};
QueueHead HeadOf(const State& aState, ServiceIndex aService, queue::LaneIndex aLane);

const Needs& NeedsOf(const State& aState, const QueueHead& aHead);

/// Sets the parts of a request that are compared with reservations.
void AddClaim(const State& aState,
              queue::LaneIndex aLane,
              const QueueHead& aHead,
              const Now& aNow,
              placement::Request& aRequest);

/// The time that a job has waited over the time within which it can start and still meet its
/// target or, without one, its deadline.
double WaitedFraction(const Job& aJob, const Now& aNow);

/// The lanes with tasks, the most urgent first.
std::vector<queue::LaneIndex> LanesByUrgency(const queue::Queue& aQueue);

/// The largest amounts of each resource that are free on one upstream, without and with a
/// reservation. Needs beyond both fit nowhere.
struct LargestRooms
{
  Needs mUnreserved;
  Needs mReserved;
};
LargestRooms FindLargestRooms(const State& aState, ServiceIndex aService);

/// Whether the first task of the lane can start on any upstream.
bool HeadFits(const State& aState,
              ServiceIndex aService,
              queue::LaneIndex aLane,
              const LargestRooms& aLargest,
              const Now& aNow);

/// The lane of a class (0: short, 1: long) whose first task is the most urgent one that can start.
std::optional<queue::LaneIndex> PickAhead(const State& aState,
                                          ServiceIndex aService,
                                          std::uint32_t aClass,
                                          const Now& aNow);

/// The lane whose first task starts on an upstream that has been chosen for the first task of
/// aLane: that lane, or one of the same rank and team if its tasks leave less unusable room.
queue::LaneIndex FillRoom(const State& aState,
                          ServiceIndex aService,
                          queue::LaneIndex aLane,
                          UpstreamIndex aUpstream,
                          const Now& aNow);

// reservations.cpp

/// Reserves room for the most urgent queued tasks that fit nowhere, moves reservations to better
/// upstreams and ends those that are not needed or keep room free for too long.
void UpdateReservations(State& aState, ServiceIndex aService, const Now& aNow);

/// Ends all reservations of the service.
void DropReservations(State& aState, ServiceIndex aService);

/// Records the start of a lane's first task on the upstream, before the task leaves the queue.
void CountStartAhead(State& aState, const placement::Request& aRequest, UpstreamIndex aUpstream);

/// Keeps the list of the attempts on each upstream.
void AddAttempt(State& aState, std::uint32_t aAttempt);
void RemoveAttempt(State& aState, std::uint32_t aAttempt);

// progress.cpp

/// Updates the job's shortest run with a completed or projected run on an upstream.
void RecordRun(Job& aJob, Duration aRun, UpstreamIndex aUpstream);

/// Applies a progress report and restarts the task elsewhere if its run stalled or is too slow.
void ApplyProgress(State& aState, const TaskProgress& aEvent, const Now& aNow, Actions& aActions);

// shortage.cpp

/// The job's rank in its service's queue.
Rank RankOf(const Job& aJob);
placement::TaskRank TaskRankOf(const Job& aJob);

/// The number of tasks with the mean needs of the queued ones that can run in parallel.
double QueuedTaskCapacity(const State& aState, ServiceIndex aService);

/// Counts a submitted job's demand in the shares of its service and begins or ends a shortage. In a
/// shortage the job gets its tag.
void JoinShares(State& aState, Job& aJob, const JobSpec& aSpec, const Now& aNow, Actions& aActions);

/// In a shortage: whether the job can end in time, and within the share of its class. Returns the
/// reason for a refusal.
std::optional<Error> CheckShare(State& aState,
                                const Job& aJob,
                                const JobSpec& aSpec,
                                const Now& aNow);

/// The retry-after time of a refused job, at least aNotBefore. In a shortage, the time at which
/// room for it is expected.
std::chrono::milliseconds ReturnTime(State& aState,
                                     const Job& aJob,
                                     Duration aNotBefore,
                                     const Now& aNow);

/// The name under which the job's kind is counted; empty for kinds beyond a limit.
std::string CountedKind(const State& aState, const JobSpec& aSpec);

/// Updates the shares of a service during a shortage and ends it when demand has fallen.
void AdvanceShares(State& aState, ServiceIndex aService, const Now& aNow, Actions& aActions);

// dispatch.cpp

/// Gives a queued job its tag or takes it, and reorders it.
void ChangeTag(State& aState, Job& aJob, std::optional<std::int64_t> aTag);

/// Current limit on the running tasks of the long class of a service.
std::size_t LongLimit(const State& aState, ServiceIndex aService);

/// The status of a running job, or the answer of an ended one.
JobAnswer AnswerOf(const Job& aJob);

} // namespace pollenwall::dispatch
