#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/job.h>
#include <pollenwall/time.h>

/// Selects the upstream for the next task. Tracks slot credits, health and signs of leaving, and
/// chooses among the upstreams that have a free slot. No I/O and no clock. Nothing here is thread
/// safe.
namespace pollenwall::placement {

using UpstreamIndex = std::uint32_t; ///< Dense, never reused.
using ServiceIndex = std::uint32_t;  ///< Dense, never reused.
using ShapeIndex = std::uint32_t;    ///< Dense in its service, never reused.
inline constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

struct Options
{
  std::string mDataCentre; ///< Of this entry; others have a longer round trip.
  std::chrono::milliseconds mSignExpiry{ 10000 };
  std::chrono::milliseconds mInitialProbeInterval{ 1000 };
  /// The probe interval doubles up to this limit, because a probe is a caller's task and its
  /// failure fails the job.
  std::chrono::milliseconds mMaxProbeInterval{ 30000 };
  /// Consecutive failures that exclude an upstream while the other upstreams of its pool rarely
  /// fail. With 0 only the failure rate excludes it.
  std::uint32_t mMaxConsecutiveFailures = 0;
  /// Only this entry starts tasks on the upstreams for which it has credits, so it keeps the summed
  /// needs of the running tasks within the worker's capacity. Otherwise other entries start tasks
  /// there too, which this one cannot see, and only the credits limit its own starts.
  bool mExclusiveUpstreams = false;
  /// Considers the tasks that wait; see look_ahead.h. Needs mExclusiveUpstreams.
  bool mLookAhead = false;
};

/// Recent outcomes of one upstream. The success and failure counts decay by a tenth with each
/// outcome, so that about the last ten outcomes determine the rate.
struct Health
{
  double mRanWell = 0;
  double mFailed = 0;
  std::uint32_t mOutcomeCount = 0;
  std::uint32_t mConsecutiveFailures = 0;
  Time mLastSuccessAt{};
  std::optional<Time> mLastLossAt; ///< When a run was last lost with the upstream.
  std::optional<std::uint64_t>
    mSlowJob; ///< Last job passed to CountSlowJob; reset by a normal run.
  /// Moving average, starting at 0, of the natural logarithm of run time over expected run time.
  double mLogRatio = 0;
  double mLogRatioWeight = 0; ///< Divisor of mLogRatio that corrects its start at 0.
  std::uint32_t mRatioCount = 0;
  bool mFailing = false;
  bool mSlow = false;
  std::uint32_t mConsecutiveGoodProbes = 0;
  Time mPeerReportUntil{}; ///< Until then fewer outcomes exclude it: a peer found it unhealthy.
  std::chrono::milliseconds mProbeInterval{ 0 }; ///< 0 when there was no probe recently.
  Time mNextProbeAt{};
};

/// The most significant parts of a queued task's key; see queue::JobKey. Lower ranks are served
/// first.
struct TaskRank
{
  std::uint32_t mPriority = 0;
  std::uint32_t mLateness = 0;
  std::int64_t mTag = 0; ///< In a shortage: the interval in which the job has to start.

  friend auto operator<=>(const TaskRank&, const TaskRank&) = default;
};

/// Room of an upstream that is kept for a queued task which fits nowhere yet; see look_ahead.h.
struct Reservation
{
  std::uint32_t mLane = kNone; ///< Of the task in its queue; kNone: there is no reservation.
  TaskRank mRank;
  Time mFrom{}; ///< When the task is expected to fit.
  Needs mSpare; ///< What the task is then expected to leave free.
};

struct Upstream
{
  std::string mKey;
  std::string mAddress; ///< "IP:PORT".
  ServiceIndex mService = kNone;
  std::uint32_t mDataCentre = kNone;
  std::uint32_t mRack = kNone;
  ShapeIndex mShape = kNone;
  bool mConfigured = false;
  std::uint32_t mCredits = 0;
  std::uint32_t mSlots = 0; ///< As configured; 0: not known.
  std::uint32_t mRunning = 0;
  std::uint32_t mSuspects = 0;    ///< Running tasks that were started with Request::mSuspect.
  Needs mUsed;                    ///< Sum over the running tasks.
  bool mLeaving = false;          ///< Confirmed.
  bool mSuspected = false;        ///< Has an unconfirmed sign of leaving that has not expired.
  bool mTreatedAsLeaving = false; ///< The unconfirmed sign is in effect; see SignPool.
  Time mSuspectedUntil{};
  /// One task at a time until one has run: a sign expired unconfirmed, or a task failed.
  bool mHalfOpen = false;
  UnixMs mSuspectedAtMs = 0;
  Time mBackoffUntil{}; ///< Set by a refusal, a failure or a lost answer.
  std::uint32_t mConsecutiveBusyRefusals = 0;
  Health mHealth;
  Reservation mReservation;

  // The position in the shape's list of free upstreams, and the values included in the pool's sums.
  // Only Refresh and SetFree change them.
  std::uint32_t mFreePosition = kNone;
  bool mCountedAvailable = false;
  bool mCountedUnhealthy = false;
  double mCountedFailureRate = 0;
  std::uint32_t mCountedCredits = 0;
};

/// Workers of the same capacity, with their upstreams of one service.
struct Shape
{
  Needs mCapacity;
  std::uint32_t mConfigured = 0;
  std::vector<UpstreamIndex> mFree; ///< Those that can take a task now.
};

/// All upstreams of a service.
struct Pool
{
  std::string mName;
  std::vector<Shape> mShapes;
  std::vector<UpstreamIndex> mMembers; ///< Configured ones.
  std::uint32_t mAvailableCount = 0;   ///< Configured, with credits, not leaving.
  std::uint32_t mUnhealthyCount = 0;   ///< Of the available ones.
  double mFailureRateSum = 0;          ///< Over the available ones.
  std::uint32_t mHealthyCredits = 0;   ///< Slots that tasks other than probes may use.
  /// Moving average over all upstreams of the natural logarithm of run time over expected run time.
  double mLogRatio = 0;
  bool mServiceFault = false; ///< Upstream health is ignored: the service itself fails.
  bool mChanged = false;      ///< Listed in State::mChanged.
};

/// The upstreams of one service in one data centre. Unconfirmed signs of leaving take effect in the
/// order of their arrival and for at most half of the upstreams.
struct SignPool
{
  std::uint32_t mConfigured = 0;
  std::vector<UpstreamIndex> mSuspects; ///< In the order of their signs.
};

using Timer = std::pair<Time, UpstreamIndex>;

struct State
{
  Options mOptions;
  std::vector<Upstream> mUpstreams;
  std::map<std::string, UpstreamIndex, std::less<>> mByKey;
  std::vector<Pool> mPools;
  std::map<std::string, ServiceIndex, std::less<>> mServices;
  std::map<std::string, std::uint32_t, std::less<>> mDataCentres;
  std::map<std::string, std::uint32_t, std::less<>> mRacks;
  std::map<std::pair<ServiceIndex, std::uint32_t>, SignPool> mSignPools;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;
  std::vector<ServiceIndex> mChanged; ///< Pools to which a free upstream or a task has been added.
  std::uint32_t mHomeDataCentre = kNone;
  std::uint64_t mExclusions = 0; ///< How often an upstream was found unhealthy.
  std::uint64_t mProbes = 0;
  std::uint64_t mServiceFaults = 0;
  std::uint64_t mHeldSigns = 0; ///< Signs without effect, as half of the SignPool had one already.
};

State MakeState(Options aOptions);

ServiceIndex FindOrAddService(State& aState, std::string_view aName);
UpstreamIndex FindOrAddUpstream(State& aState, std::string_view aKey);

/// Applies the workers and upstreams of a configuration. Removed upstreams keep their index and get
/// no tasks.
void Configure(State& aState, const configuration::Configuration& aConfiguration, const Now& aNow);

void SetCredits(State& aState, UpstreamIndex aUpstream, std::uint32_t aCredits, const Now& aNow);

/// Applies a confirmed sign of leaving: the upstream gets no tasks until MarkLive.
void MarkLeaving(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Applies an unconfirmed sign of leaving: the upstream gets no tasks until the sign expires,
/// within the limit of its SignPool.
void Suspect(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Revokes a confirmed sign of leaving. An unconfirmed one is revoked only if the report (of the
/// time aAsOfMs) is newer than the sign, because the platform's list lags and shows a worker as
/// live for seconds after it has first refused a task.
void MarkLive(State& aState, UpstreamIndex aUpstream, UnixMs aAsOfMs, const Now& aNow);

/// Records that a peer found the upstream unhealthy. For a while one failure or two slow run times
/// seen by this entry are enough to exclude it.
void RecordPeerReport(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Handles expired signs, elapsed backoffs and probes that are due.
void Advance(State& aState, const Now& aNow);

/// The requirements of a task and the placement of its job's other tasks.
struct Request
{
  ServiceIndex mService = 0;
  const std::vector<ShapeIndex>* mShapes = nullptr; ///< Those that suit the task.
  Needs mNeeds;
  /// Racks with tasks of the job, and the number of tasks on each. May be null.
  const std::vector<std::pair<std::uint32_t, std::uint32_t>>* mRacks = nullptr;
  UpstreamIndex mAvoid = kNone;
  bool mMayProbe = true; ///< Upstreams due for a probe are chosen first if true, else last.
  /// Half-open upstreams and those whose last task failed or that had no recent success are chosen
  /// last.
  bool mPreferProven = false;
  /// An upstream has crashed under the task. It is placed where few others run, and no other task
  /// is placed beside it: the next crash would cost that one its run, and would not tell which of
  /// them is the cause.
  bool mSuspect = false;
  Time mNow{};
  // Compared with reservations.
  std::uint32_t mLane = kNone;
  TaskRank mRank;
  Time mLikelyEnd{}; ///< Of a run that starts now.
};

/// Whether any upstream of these shapes can take a task of these needs now.
bool HasFreeUpstream(const State& aState,
                     ServiceIndex aService,
                     const std::vector<ShapeIndex>& aShapes,
                     const Needs& aNeeds);

/// As above, with regard to reservations.
bool HasFreeUpstream(const State& aState, const Request& aRequest);

/// Chooses the best of a few free upstreams drawn at random (the power of d choices, Mitzenmacher
/// 2001). Prefers the own data centre, racks that the job does not use yet, few failures and short
/// run times. Returns nothing when no upstream is free except the one to avoid. With
/// mExclusiveUpstreams all free upstreams with enough room are compared, and the fastest is
/// preferred or, among similarly fast ones, the fullest (best fit), which keeps room for large
/// tasks.
std::optional<UpstreamIndex> Choose(const State& aState,
                                    const Request& aRequest,
                                    std::mt19937_64& aRandom);

/// Counts a start. The upstream must come from a Choose with no change of the state since.
void CountStart(State& aState, UpstreamIndex aUpstream, const Needs& aNeeds, const Now& aNow);

/// Adds to the number of running suspects; aChange is 1 or -1. See Request::mSuspect.
void CountSuspect(State& aState, UpstreamIndex aUpstream, int aChange, const Now& aNow);

/// The outcome of one start request, as far as it concerns the upstream.
enum class StartOutcome
{
  RanWell,
  Failed,  ///< The task failed at the upstream.
  Lost,    ///< No answer.
  Refused, ///< Not reachable; also an unconfirmed sign of leaving.
  Busy,    ///< No free slot: other tasks use them.
  Leaving, ///< The upstream reported that it is leaving; also an unconfirmed sign of leaving.
  Stale,   ///< The request arrived after its not-after time.
  Ignored, ///< No evidence about the upstream, for example the end of a stopped task.
};

/// Counts the end of a start with these needs. aRatio is run time over expected run time, if known.
void CountEnd(State& aState,
              UpstreamIndex aUpstream,
              const Needs& aNeeds,
              StartOutcome aOutcome,
              std::optional<double> aRatio,
              std::mt19937_64& aRandom,
              const Now& aNow);

/// Counts the run time so far of a running task that is overdue, as a ratio to the expected run
/// time. Otherwise a straggler would be found only when its first tasks end.
void CountOverdue(State& aState, UpstreamIndex aUpstream, double aRatio, const Now& aNow);

/// Excludes an upstream on which a running task makes no progress or is far slower than on others.
/// It gets only probes from then on.
void ExcludeSlow(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Records that a task ran far longer on the upstream than is usual for its kind. Two different
/// jobs in a row exclude the upstream.
void CountSlowJob(State& aState, UpstreamIndex aUpstream, std::uint64_t aJob, const Now& aNow);

/// Whether the upstream is configured, not leaving and not unhealthy.
bool IsUsable(const State& aState, UpstreamIndex aUpstream);

/// The upstream's run times over those of its pool; 1 without run times.
double RelativeRunTime(const State& aState, UpstreamIndex aUpstream);

/// The share of failures among recent outcomes, 0 to 1.
double FailureRate(const Health& aHealth);

/// Whether a worker of this capacity meets the needs.
bool MeetsNeeds(const Needs& aCapacity, const Needs& aNeeds);

/// Free and total thousandths of a core on the usable upstreams of a service. With
/// mExclusiveUpstreams, an upstream with fewer credits than slots counts in proportion to them.
struct Room
{
  std::uint64_t mFreeMilliCores = 0;
  std::uint64_t mMilliCores = 0;

  friend bool operator==(const Room&, const Room&) = default;
};
Room RoomOf(const State& aState, ServiceIndex aService);

/// Rounds each need up so that few distinct values remain: to the next capacity that a configured
/// worker of the service has. With mExclusiveUpstreams, cores and memory are rounded to the next
/// multiple of a small step if that is less, and accelerators are not rounded. The step for cores
/// is finer with mLookAhead. Returns nothing when no configured worker meets the needs.
std::optional<Needs> RoundUp(const State& aState, ServiceIndex aService, const Needs& aNeeds);

} // namespace pollenwall::placement
