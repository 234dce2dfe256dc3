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

/// Which upstream gets the next task: slot credits, health, signs of leaving and the choice among
/// free upstreams. No I/O and no clock. Nothing here is thread safe.
namespace pollenwall::placement {

using UpstreamIndex = std::uint32_t; ///< Dense, never reused.
using ServiceIndex = std::uint32_t;  ///< Dense, never reused.
using ShapeIndex = std::uint32_t;    ///< Dense in its service, never reused.
inline constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

struct Options
{
  std::string mDataCentre; ///< Of this entry; upstreams of others cost a longer round trip.
  std::chrono::milliseconds mSignExpiry{ 10000 };
  std::chrono::milliseconds mFirstProbe{ 1000 };
  /// Probes are callers' tasks, and a probe that fails fails its job, so the interval doubles up to
  /// this.
  std::chrono::milliseconds mMostProbe{ 30000 };
  /// So many failures in a row exclude an upstream whose peers rarely fail; 0: the rate decides.
  std::uint32_t mFailuresInRow = 0;
  /// This entry alone starts tasks on the upstreams that it has credits for, so the needs of what
  /// runs on one are kept within its worker's capacity. Otherwise other entries' tasks run there
  /// too, unknown to this one, and only credits bound what it starts.
  bool mHoldsWholeUpstreams = false;
};

/// What is known of one upstream from its outcomes. Counts decay by a tenth with each outcome, so
/// that about the last ten outcomes decide.
struct Health
{
  double mRanWell = 0;
  double mFailed = 0;
  std::uint32_t mOutcomes = 0;
  std::uint32_t mFailedInRow = 0;
  Time mRanWellAt{};                     ///< The last good run.
  std::optional<std::uint64_t> mSlowJob; ///< The last one, if no run has been normal since.
  double mLogRatio = 0; ///< Mean natural logarithm of run time over expected run time.
  double mLogRatioWeight = 0;
  std::uint32_t mRatios = 0;
  bool mFailing = false;
  bool mSlow = false;
  std::uint32_t mGoodProbes = 0;         ///< In a row.
  Time mPeerNoteUntil{};                 ///< A peer found it unhealthy; fewer own outcomes suffice.
  std::chrono::milliseconds mProbe{ 0 }; ///< Interval; 0 when there was no probe recently.
  Time mNextProbe{};
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
  std::uint32_t mRunning = 0;
  Needs mUsed;                    ///< Sum over what runs.
  bool mLeaving = false;          ///< Confirmed.
  bool mSuspected = false;        ///< Has an unconfirmed sign that has not lapsed.
  bool mTreatedAsLeaving = false; ///< The sign counts; see SignPool.
  Time mSuspectedUntil{};
  bool mOnTrial = false; ///< A sign lapsed unconfirmed: one task at a time until one has run.
  UnixMs mSuspectedAtMs = 0;
  Time mBlockedUntil{}; ///< After a refusal "busy" or a lost answer.
  std::uint32_t mBusyInRow = 0;
  Health mHealth;

  // Kept by Refresh.
  std::uint32_t mIdlePosition = kNone;
  bool mCountedAvailable = false;
  bool mCountedUnhealthy = false;
  double mCountedFailureRate = 0;
  std::uint32_t mCountedCredits = 0;
};

/// Workers of one size, and those of their upstreams that can take a task now.
struct Shape
{
  Needs mCapacity;
  std::uint32_t mConfigured = 0;
  std::vector<UpstreamIndex> mIdle;
};

/// All upstreams of a service.
struct Pool
{
  std::string mName;
  std::vector<Shape> mShapes;
  std::vector<UpstreamIndex> mMembers; ///< Configured ones.
  std::uint32_t mAvailable = 0;        ///< Configured, with credits, not leaving.
  std::uint32_t mUnhealthy = 0;        ///< Of the available ones.
  double mFailureRates = 0;            ///< Sum over the available ones.
  std::uint32_t mHealthyCredits = 0;   ///< Slots that regular tasks may use.
  double mLogRatio = 0;                ///< Mean of the run-time ratios of all.
  bool mServiceFault = false;          ///< Failures are the service's own: health is ignored.
  bool mChanged = false;               ///< Listed in State::mChanged.
};

/// The upstreams of one service in one data centre. On unconfirmed signs, the earliest of them
/// first, at most half of it is treated as leaving.
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
  std::vector<ServiceIndex> mChanged; ///< Pools in which an upstream has become free.
  std::uint32_t mHomeDataCentre = kNone;
  std::uint64_t mExclusions = 0; ///< Upstreams found unhealthy so far.
  std::uint64_t mProbes = 0;
  std::uint64_t mServiceFaults = 0;
  std::uint64_t mHeldSigns = 0; ///< Signs that did not count because half of the pool had one.
};

State MakeState(Options aOptions);

ServiceIndex FindOrAddService(State& aState, std::string_view aName);
UpstreamIndex FindOrAddUpstream(State& aState, std::string_view aKey);

/// Takes over workers and upstreams of a configuration. Upstreams that it no longer has keep their
/// index and get no tasks.
void Configure(State& aState, const configuration::Configuration& aConfiguration, const Now& aNow);

void SetCredits(State& aState, UpstreamIndex aUpstream, std::uint32_t aCredits, const Now& aNow);

/// A confirmed sign of leaving: no new work until MarkLive.
void MarkLeaving(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// An unconfirmed sign: no new work until it lapses, within the bound of its SignPool.
void Suspect(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Ends a confirmed leaving. An unconfirmed sign ends only when the report is known to be newer
/// (aAsOfMs): the platform's list lags and names a worker live for seconds after its first refusal.
void MarkLive(State& aState, UpstreamIndex aUpstream, UnixMs aAsOfMs, const Now& aNow);

/// A peer found the upstream unhealthy. For a while one own failure, or two slow run times, are
/// enough to exclude it.
void NotePeer(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// Applies what is due: signs that lapse, blocks that end, probes.
void Advance(State& aState, const Now& aNow);

/// What a task needs and where its job already has tasks.
struct Request
{
  ServiceIndex mService = 0;
  const std::vector<ShapeIndex>* mShapes = nullptr; ///< Those that suit the task.
  Needs mNeeds;
  /// Racks with tasks of the job, and how many. May be null.
  const std::vector<std::pair<std::uint32_t, std::uint32_t>>* mRacks = nullptr;
  UpstreamIndex mAvoid = kNone;
  bool mMayProbe = true; ///< An upstream due for a probe goes first; otherwise last.
  bool mProven = false;  ///< Upstreams on trial or without a recent good run go last.
  Time mNow{};
};

/// Whether any upstream of these shapes can take a task of these needs now.
bool HasIdle(const State& aState,
             ServiceIndex aService,
             const std::vector<ShapeIndex>& aShapes,
             const Needs& aNeeds);

/// The best of a few free upstreams drawn at random (the power of d choices, Mitzenmacher 2001):
/// own data centre, a rack that the job does not use yet, few failures, short run times. Nothing
/// when none is free but the one to avoid. Among upstreams that are held whole, all with enough
/// room are compared: the fastest first, and among similar ones the fullest (best fit), which keeps
/// room for large tasks.
std::optional<UpstreamIndex> Choose(const State& aState,
                                    const Request& aRequest,
                                    std::mt19937_64& aRandom);

/// Counts a start. The upstream must have been chosen after the last change.
void CountStart(State& aState, UpstreamIndex aUpstream, const Needs& aNeeds, const Now& aNow);

/// What one start request tells of its upstream.
enum class Report
{
  RanWell,
  Failed,  ///< The task failed at the upstream.
  Lost,    ///< No answer.
  Refused, ///< Not reachable: a failure and a sign of leaving.
  Busy,    ///< Its slots are taken by others.
  Leaving, ///< It said so.
  Stale,   ///< It saw the request past its not-after.
  Ignored, ///< Says nothing, for example the end of a task that was stopped.
};

/// Ends a start of these needs. The ratio of run time to expected run time is given when it is
/// known.
void CountEnd(State& aState,
              UpstreamIndex aUpstream,
              const Needs& aNeeds,
              Report aReport,
              std::optional<double> aRatio,
              std::mt19937_64& aRandom,
              const Now& aNow);

/// A running task has exceeded its expected run time by this ratio so far. Without this a straggler
/// shows only when its first tasks end.
void CountOverdue(State& aState, UpstreamIndex aUpstream, double aRatio, const Now& aNow);

/// A running task shows that the upstream stands still or is far slower than others: it gets
/// nothing but probes from now on.
void ExcludeSlow(State& aState, UpstreamIndex aUpstream, const Now& aNow);

/// A job's task takes far longer here than its kind does. Two jobs in a row exclude the upstream.
void CountSlowJob(State& aState, UpstreamIndex aUpstream, std::uint64_t aJob, const Now& aNow);

/// Configured, not leaving, not unhealthy.
bool IsUsable(const State& aState, UpstreamIndex aUpstream);

/// Failures among recent outcomes, 0 to 1.
double FailureRate(const Health& aHealth);

/// Whether a worker of this capacity meets the needs.
bool Suits(const Needs& aCapacity, const Needs& aNeeds);

/// Thousandths of a core still free on the usable upstreams of a service, and what they have.
struct Room
{
  std::uint64_t mFreeMilliCores = 0;
  std::uint64_t mMilliCores = 0;

  friend bool operator==(const Room&, const Room&) = default;
};
Room RoomOf(const State& aState, ServiceIndex aService);

/// The needs with each part rounded up, so that few distinct values remain: to the next capacity
/// that a configured worker of the service has, or, for upstreams held whole, to the next multiple
/// of a small step. Nothing when no configured worker meets them.
std::optional<Needs> RoundUp(const State& aState, ServiceIndex aService, const Needs& aNeeds);

} // namespace pollenwall::placement
