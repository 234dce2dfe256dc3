#include <pollenwall/placement.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include <pollenwall/admission.h>
#include <pollenwall/look_ahead.h>

namespace pollenwall::placement {
namespace {

using std::chrono::milliseconds;

/// Factor applied to the earlier outcomes with each new one.
constexpr double kOutcomeDecay = 0.9;
/// Outcomes needed to exclude an upstream for its failure rate. If a service fails one task in 20,
/// a healthy upstream has four failures in a row about once in 160,000 starts.
constexpr std::uint32_t kMinOutcomesForVerdict = 4;
/// Run times needed to exclude an upstream as slow. They vary on healthy upstreams too; with eight
/// the error of the mean is well below kSlowLogRatio.
constexpr std::uint32_t kMinRatiosForVerdict = 8;
constexpr std::uint32_t kMinRatiosWithPeerReport = 2;
/// Weights of a new sample in the moving averages of an upstream and of its pool.
constexpr double kRatioSmoothing = 0.1;
constexpr double kPoolRatioSmoothing = 0.01;
/// Natural logarithms of 3 and 2. An upstream is slow when its run times are more than 3 times
/// those of its pool; a probe is good when it takes less than 2 times as long.
constexpr double kSlowLogRatio = 1.0986;
constexpr double kGoodLogRatio = 0.6931;
/// A single run time counts with a ratio of at most e^4, so that one long task cannot decide alone.
constexpr double kMaxLogRatio = 4;
constexpr std::uint32_t kGoodProbesNeeded = 2;
/// Failures are attributed to the service once the mean failure rate of its pool reaches the first
/// value, and to single upstreams again once it falls below the second.
constexpr double kServiceFaultOn = 0.9;
constexpr double kServiceFaultOff = 0.5;
/// Outcomes since the last recovery after which a success resets the probe interval.
constexpr std::uint32_t kOutcomesToResetProbing = 20;
constexpr milliseconds kInitialBusyBackoff{ 20 };
constexpr std::uint32_t kMaxBusyDoublings = 5;
constexpr milliseconds kLostBackoff{ 250 };
constexpr milliseconds kFailedBackoff{ 50 };
/// Consecutive failures exclude an upstream only while the mean failure rate of the others is
/// lower.
constexpr double kRareFailureRate = 0.2;
constexpr milliseconds kPeerReportLifetime{ 10000 };
/// A success within this time proves an upstream; a busy one ends several short tasks in it.
constexpr milliseconds kProvenWindow{ 1000 };
/// Free upstreams that are drawn and compared for one start, and the number up to which all of them
/// are compared instead.
constexpr std::size_t kRandomCandidates = 6;
constexpr std::size_t kCompareAllLimit = 8;
/// Natural logarithm of 1.5. Run times up to 1.5 times those of the pool are treated as noise;
/// otherwise the upstreams whose tasks happened to be short would get all tasks.
constexpr double kToleratedLogRatio = 0.4055;
/// Extra cost of a full upstream over an empty one, in tasks of the job on the same rack.
constexpr double kLoadCost = 0.5;
/// With mExclusiveUpstreams: extra cost of an empty upstream over a full one, as a natural
/// logarithm of a run-time ratio. Differences in speed of less than a tenth then matter less than
/// the load.
constexpr double kEmptyCost = 0.1;
/// Extra cost of each running task beside a suspect, in the same unit: a crash costs each of them
/// several run times.
constexpr double kEndangeredTaskCost = 1;
/// Multiples to which RoundUp rounds needs with mExclusiveUpstreams. A task waits until its
/// rounded needs fit, so the step limits the capacity that it waits for without using it.
constexpr std::uint32_t kMilliCoresStep = kMilliCoresPerCore;
/// The step with mLookAhead for needs up to kFineLimit. Beyond it the coarse step is small compared
/// with the needs, and the number of distinct values stays below 150.
constexpr std::uint32_t kFineMilliCoresStep = 250;
constexpr std::uint32_t kFineLimit = 16000;
constexpr std::uint64_t kMemoryStepBytes = std::uint64_t{ 256 } << 20;
/// Exceeds any other cost.
constexpr double kProbeCost = 1e9;
/// Exceeds any cost but that of a probe.
constexpr double kUnprovenCost = 1e6;

bool IsLeaving(const Upstream& aUpstream)
{
  return aUpstream.mLeaving || aUpstream.mTreatedAsLeaving;
}

/// Whether the needs fit beside those of the running tasks.
bool HasRoom(const State& aState, const Upstream& aUpstream, const Needs& aNeeds)
{
  if (!aState.mOptions.mExclusiveUpstreams) {
    return true;
  }
  const auto& capacity = aState.mPools[aUpstream.mService].mShapes[aUpstream.mShape].mCapacity;
  const auto& used = aUpstream.mUsed;
  return MeetsNeeds(capacity,
                    { used.mMilliCores + aNeeds.mMilliCores,
                      used.mMemoryBytes + aNeeds.mMemoryBytes,
                      used.mAccelerators + aNeeds.mAccelerators });
}

bool IsUnhealthy(const Upstream& aUpstream)
{
  return aUpstream.mHealth.mFailing || aUpstream.mHealth.mSlow;
}

bool CanTake(const Pool& aPool, const Upstream& aUpstream, const Now& aNow)
{
  if (!aUpstream.mConfigured || IsLeaving(aUpstream) || aUpstream.mRunning >= aUpstream.mCredits ||
      aUpstream.mSuspects > 0 || aNow.mTime < aUpstream.mBackoffUntil) {
    return false;
  }
  if (aUpstream.mHalfOpen && aUpstream.mRunning > 0) {
    return false;
  }
  return aPool.mServiceFault || !IsUnhealthy(aUpstream) ||
         (aUpstream.mRunning == 0 && aNow.mTime >= aUpstream.mHealth.mNextProbeAt);
}

void SetFree(State& aState, UpstreamIndex aIndex, bool aFree)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  if (upstream.mShape == kNone || aFree == (upstream.mFreePosition != kNone)) {
    return;
  }
  auto& freeList = pool.mShapes[upstream.mShape].mFree;
  if (aFree) {
    upstream.mFreePosition = static_cast<std::uint32_t>(freeList.size());
    freeList.push_back(aIndex);
    return;
  }
  const auto last = freeList.back();
  freeList[upstream.mFreePosition] = last;
  aState.mUpstreams[last].mFreePosition = upstream.mFreePosition;
  freeList.pop_back();
  upstream.mFreePosition = kNone;
}

/// Updates the list of free upstreams and the pool's sums after a change of the upstream.
void Refresh(State& aState, UpstreamIndex aIndex, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  const bool available = upstream.mConfigured && upstream.mCredits > 0 && !IsLeaving(upstream);
  const bool unhealthy = available && IsUnhealthy(upstream);
  const double rate = available ? FailureRate(upstream.mHealth) : 0;
  const auto credits = available && !unhealthy ? upstream.mCredits : 0;
  pool.mAvailableCount += (available ? 1U : 0U) - (upstream.mCountedAvailable ? 1U : 0U);
  pool.mUnhealthyCount += (unhealthy ? 1U : 0U) - (upstream.mCountedUnhealthy ? 1U : 0U);
  pool.mFailureRateSum += rate - upstream.mCountedFailureRate;
  pool.mHealthyCredits += credits - upstream.mCountedCredits;
  upstream.mCountedAvailable = available;
  upstream.mCountedUnhealthy = unhealthy;
  upstream.mCountedFailureRate = rate;
  upstream.mCountedCredits = credits;

  const bool canTake = CanTake(pool, upstream, aNow);
  SetFree(aState, aIndex, canTake);
  if (canTake && !pool.mChanged) {
    pool.mChanged = true;
    aState.mChanged.push_back(upstream.mService);
  }
}

void SetTimer(State& aState, UpstreamIndex aIndex, Time aAt)
{
  aState.mTimers.emplace(aAt, aIndex);
}

/// Puts the earliest unconfirmed signs of a SignPool into effect, up to its limit.
void ApplySigns(State& aState, ServiceIndex aService, std::uint32_t aDataCentre, const Now& aNow)
{
  auto& signs = aState.mSignPools[{ aService, aDataCentre }];
  for (std::size_t n = 0; n < signs.mSuspects.size(); ++n) {
    auto& upstream = aState.mUpstreams[signs.mSuspects[n]];
    const bool counts = n < signs.mConfigured / 2;
    if (upstream.mTreatedAsLeaving == counts) {
      continue;
    }
    upstream.mTreatedAsLeaving = counts;
    Refresh(aState, signs.mSuspects[n], aNow);
  }
}

void ClearSuspicion(State& aState, UpstreamIndex aIndex, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  if (!upstream.mSuspected) {
    return;
  }
  upstream.mSuspected = false;
  upstream.mTreatedAsLeaving = false;
  std::erase(aState.mSignPools[{ upstream.mService, upstream.mDataCentre }].mSuspects, aIndex);
  Refresh(aState, aIndex, aNow);
  ApplySigns(aState, upstream.mService, upstream.mDataCentre, aNow);
}

/// The mean failure rate of the pool's other upstreams; 1 without others.
double MeanFailureRateOfOthers(const Pool& aPool, const Upstream& aUpstream)
{
  if (aPool.mAvailableCount <= 1) {
    return 1;
  }
  const double others = aPool.mFailureRateSum - aUpstream.mCountedFailureRate;
  return std::clamp(others / (aPool.mAvailableCount - 1), 0.0, 1.0);
}

void StartProbing(State& aState, UpstreamIndex aIndex, const Now& aNow)
{
  auto& health = aState.mUpstreams[aIndex].mHealth;
  health.mConsecutiveGoodProbes = 0;
  health.mProbeInterval =
    health.mProbeInterval.count() == 0
      ? aState.mOptions.mInitialProbeInterval
      : std::min(2 * health.mProbeInterval, aState.mOptions.mMaxProbeInterval);
  health.mNextProbeAt = aNow.mTime + health.mProbeInterval;
  SetTimer(aState, aIndex, health.mNextProbeAt);
}

/// Resets the health, but not the probe interval, so that it keeps growing if the upstream is soon
/// excluded again.
void ResetAfterRecovery(Health& aHealth)
{
  const auto probe = aHealth.mProbeInterval;
  const auto next = aHealth.mNextProbeAt;
  aHealth = Health{};
  aHealth.mProbeInterval = probe;
  aHealth.mNextProbeAt = next;
}

/// Counts a probe. After a good one the next probe may start at once.
void CountProbe(Health& aHealth, bool aGood, const Now& aNow)
{
  aHealth.mConsecutiveGoodProbes = aGood ? aHealth.mConsecutiveGoodProbes + 1 : 0;
  if (aGood) {
    aHealth.mNextProbeAt = aNow.mTime;
  }
}

/// Sets or clears mServiceFault of the service's pool.
void UpdateServiceFault(State& aState, ServiceIndex aService, const Now& aNow)
{
  auto& pool = aState.mPools[aService];
  const double mean = pool.mAvailableCount == 0 ? 0 : pool.mFailureRateSum / pool.mAvailableCount;
  const bool all = pool.mAvailableCount > 0 && pool.mUnhealthyCount == pool.mAvailableCount;
  if (pool.mServiceFault) {
    pool.mServiceFault = mean >= kServiceFaultOff;
    return;
  }
  if (!all && !(pool.mAvailableCount > 0 && mean >= kServiceFaultOn)) {
    return;
  }
  pool.mServiceFault = true;
  ++aState.mServiceFaults;
  // The fault is the service's, so the upstreams' own evidence is discarded: they take tasks as
  // soon as the service has recovered and need no probes first.
  for (const auto n : pool.mMembers) {
    auto& health = aState.mUpstreams[n].mHealth;
    health.mFailing = false;
    health.mSlow = false;
    health.mProbeInterval = milliseconds{ 0 };
    health.mRatioCount = 0;
    health.mLogRatio = 0;
    health.mLogRatioWeight = 0;
    Refresh(aState, n, aNow);
  }
}

void UpdateFailing(State& aState,
                   UpstreamIndex aIndex,
                   bool aFailed,
                   bool aWasProbe,
                   const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  const auto& pool = aState.mPools[upstream.mService];
  auto& health = upstream.mHealth;
  if (health.mFailing) {
    if (aFailed && aWasProbe) {
      StartProbing(aState, aIndex, aNow);
    }
    CountProbe(health, !aFailed, aNow);
    if (health.mConsecutiveGoodProbes >= kGoodProbesNeeded) {
      ResetAfterRecovery(health);
    }
    return;
  }
  if (!aFailed) {
    if (health.mOutcomeCount >= kOutcomesToResetProbing && !health.mSlow) {
      health.mProbeInterval = milliseconds{ 0 };
    }
    return;
  }
  const auto needed = aNow.mTime < health.mPeerReportUntil ? 1 : kMinOutcomesForVerdict;
  const double others = MeanFailureRateOfOthers(pool, upstream);
  const bool inRow = aState.mOptions.mMaxConsecutiveFailures > 0 &&
                     health.mConsecutiveFailures >= aState.mOptions.mMaxConsecutiveFailures &&
                     others < kRareFailureRate;
  const bool byRate = health.mOutcomeCount >= needed && FailureRate(health) > 0.5 + 0.5 * others;
  if (pool.mServiceFault || (!inRow && !byRate)) {
    return;
  }
  health.mFailing = true;
  ++aState.mExclusions;
  StartProbing(aState, aIndex, aNow);
}

void AddRunTimeRatio(State& aState,
                     UpstreamIndex aIndex,
                     double aRatio,
                     bool aWasProbe,
                     const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  auto& health = upstream.mHealth;
  const double sample = std::clamp(std::log(std::max(aRatio, 1e-6)), -kMaxLogRatio, kMaxLogRatio);
  pool.mLogRatio += kPoolRatioSmoothing * (sample - pool.mLogRatio);
  if (health.mSlow) {
    const bool good = sample - pool.mLogRatio < kGoodLogRatio;
    if (!good && aWasProbe) {
      StartProbing(aState, aIndex, aNow);
    }
    CountProbe(health, good, aNow);
    if (health.mConsecutiveGoodProbes >= kGoodProbesNeeded && !health.mFailing) {
      ResetAfterRecovery(health);
    }
    return;
  }
  // The average starts at zero; dividing it by its weight below corrects that bias.
  health.mLogRatio += kRatioSmoothing * (sample - health.mLogRatio);
  health.mLogRatioWeight += kRatioSmoothing * (1 - health.mLogRatioWeight);
  ++health.mRatioCount;
  const double mean = health.mLogRatio / health.mLogRatioWeight;
  const auto needed =
    aNow.mTime < health.mPeerReportUntil ? kMinRatiosWithPeerReport : kMinRatiosForVerdict;
  if (health.mRatioCount < needed || mean - pool.mLogRatio <= kSlowLogRatio || pool.mServiceFault ||
      health.mFailing || pool.mAvailableCount <= 1) {
    return;
  }
  health.mSlow = true;
  ++aState.mExclusions;
  StartProbing(aState, aIndex, aNow);
}

template<typename Map>
std::uint32_t FindOrAddIndex(Map& aMap, std::string_view aName)
{
  const auto it = aMap.find(aName);
  if (it != aMap.end()) {
    return it->second;
  }
  const auto n = static_cast<std::uint32_t>(aMap.size());
  aMap.emplace(aName, n);
  return n;
}

ShapeIndex FindOrAddShape(Pool& aPool, const Needs& aCapacity)
{
  const auto it = std::find_if(aPool.mShapes.begin(),
                               aPool.mShapes.end(),
                               [&](const Shape& aShape) { return aShape.mCapacity == aCapacity; });
  if (it != aPool.mShapes.end()) {
    return static_cast<ShapeIndex>(it - aPool.mShapes.begin());
  }
  aPool.mShapes.push_back({ aCapacity, 0, {} });
  return static_cast<ShapeIndex>(aPool.mShapes.size() - 1);
}

/// Natural logarithm of the upstream's run times over those of its pool; 0 without run times.
double RelativeLogRunTime(const State& aState, const Upstream& aUpstream)
{
  const auto& health = aUpstream.mHealth;
  if (health.mRatioCount == 0) {
    return 0;
  }
  return health.mLogRatio / health.mLogRatioWeight - aState.mPools[aUpstream.mService].mLogRatio;
}

/// The cost of a start on the upstream; the lowest is chosen. One unit equals one more task of the
/// job on the same rack.
double Cost(const State& aState, const Request& aRequest, UpstreamIndex aIndex)
{
  const auto& upstream = aState.mUpstreams[aIndex];
  const auto& health = upstream.mHealth;
  if (IsUnhealthy(upstream) && !aState.mPools[upstream.mService].mServiceFault) {
    return aRequest.mMayProbe ? -kProbeCost : kProbeCost;
  }
  double cost = 4 * FailureRate(health);
  if (aRequest.mPreferProven && (upstream.mHalfOpen || health.mConsecutiveFailures > 0 ||
                                 aRequest.mNow - health.mLastSuccessAt > kProvenWindow)) {
    cost += kUnprovenCost;
  }
  const double relative = RelativeLogRunTime(aState, upstream);
  cost += std::max(0.0, relative - kToleratedLogRatio);
  const auto& capacity = aState.mPools[upstream.mService].mShapes[upstream.mShape].mCapacity;
  if (aState.mOptions.mExclusiveUpstreams) {
    const double usedFraction =
      static_cast<double>(upstream.mUsed.mMilliCores) / std::max(1U, capacity.mMilliCores);
    return cost + relative +
           (aRequest.mSuspect ? kEndangeredTaskCost * upstream.mRunning
                              : kEmptyCost * (1 - usedFraction));
  }
  cost += kLoadCost * upstream.mRunning / upstream.mCredits;
  if (upstream.mDataCentre != aState.mHomeDataCentre) {
    cost += 2;
  }
  if (aRequest.mNeeds.mAccelerators == 0 && capacity.mAccelerators > 0) {
    cost += 1;
  }
  if (aRequest.mRacks != nullptr) {
    for (const auto& [rack, count] : *aRequest.mRacks) {
      if (rack == upstream.mRack) {
        cost += count;
        break;
      }
    }
  }
  return cost;
}

} // namespace

State MakeState(Options aOptions)
{
  State state;
  state.mOptions = std::move(aOptions);
  state.mHomeDataCentre = FindOrAddIndex(state.mDataCentres, state.mOptions.mDataCentre);
  return state;
}

ServiceIndex FindOrAddService(State& aState, std::string_view aName)
{
  const auto n = FindOrAddIndex(aState.mServices, aName);
  if (n == aState.mPools.size()) {
    aState.mPools.emplace_back();
    aState.mPools.back().mName = aName;
  }
  return n;
}

UpstreamIndex FindOrAddUpstream(State& aState, std::string_view aKey)
{
  const auto n = FindOrAddIndex(aState.mByKey, aKey);
  if (n == aState.mUpstreams.size()) {
    Upstream upstream;
    upstream.mKey = aKey;
    upstream.mService = FindOrAddService(aState, aKey.substr(0, aKey.find('/')));
    aState.mUpstreams.push_back(std::move(upstream));
  }
  return n;
}

void Configure(State& aState, const configuration::Configuration& aConfiguration, const Now& aNow)
{
  for (const auto& [name, service] : aConfiguration.mServices) {
    FindOrAddService(aState, name);
  }
  for (auto& pool : aState.mPools) {
    pool.mMembers.clear();
    for (auto& shape : pool.mShapes) {
      shape.mConfigured = 0;
    }
  }
  for (auto& [key, signs] : aState.mSignPools) {
    signs.mConfigured = 0;
  }
  std::vector<bool> configured(aState.mUpstreams.size() + aConfiguration.mUpstreams.size());
  for (const auto& [key, entry] : aConfiguration.mUpstreams) {
    const auto it = aConfiguration.mWorkers.find(entry.mWorker);
    if (it == aConfiguration.mWorkers.end() || !aConfiguration.mServices.contains(entry.mService)) {
      continue;
    }
    const auto& worker = it->second;
    const auto index = FindOrAddUpstream(aState, key);
    const auto dataCentre = FindOrAddIndex(aState.mDataCentres, worker.mDataCentre);
    if (aState.mUpstreams[index].mDataCentre != dataCentre) {
      ClearSuspicion(aState, index, aNow);
    }
    auto& upstream = aState.mUpstreams[index];
    auto& pool = aState.mPools[upstream.mService];
    const auto shape =
      FindOrAddShape(pool, { worker.mMilliCores, worker.mMemoryBytes, worker.mAccelerators });
    if (shape != upstream.mShape) {
      SetFree(aState, index, false);
      upstream.mShape = shape;
    }
    upstream.mConfigured = true;
    upstream.mSlots = entry.mSlots;
    upstream.mAddress = worker.mAddress + ":" + std::to_string(entry.mPort);
    upstream.mDataCentre = dataCentre;
    // Names of racks are unique only within a data centre.
    upstream.mRack = FindOrAddIndex(aState.mRacks, worker.mDataCentre + "/" + worker.mRack);
    configured[index] = true;
    pool.mMembers.push_back(index);
    ++pool.mShapes[shape].mConfigured;
    ++aState.mSignPools[{ upstream.mService, dataCentre }].mConfigured;
  }
  for (UpstreamIndex n = 0; n < aState.mUpstreams.size(); ++n) {
    auto& upstream = aState.mUpstreams[n];
    if (!configured[n] && upstream.mConfigured) {
      upstream.mConfigured = false;
      ClearSuspicion(aState, n, aNow);
    }
    Refresh(aState, n, aNow);
  }
  for (const auto& [key, signs] : aState.mSignPools) {
    ApplySigns(aState, key.first, key.second, aNow);
  }
}

void SetCredits(State& aState, UpstreamIndex aUpstream, std::uint32_t aCredits, const Now& aNow)
{
  aState.mUpstreams[aUpstream].mCredits = aCredits;
  Refresh(aState, aUpstream, aNow);
}

void MarkLeaving(State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  aState.mUpstreams[aUpstream].mLeaving = true;
  ClearSuspicion(aState, aUpstream, aNow);
  Refresh(aState, aUpstream, aNow);
}

void Suspect(State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aUpstream];
  if (upstream.mLeaving || !upstream.mConfigured) {
    return;
  }
  upstream.mSuspectedUntil = aNow.mTime + aState.mOptions.mSignExpiry;
  upstream.mSuspectedAtMs = aNow.mUnixMs;
  SetTimer(aState, aUpstream, upstream.mSuspectedUntil);
  if (!upstream.mSuspected) {
    upstream.mSuspected = true;
    aState.mSignPools[{ upstream.mService, upstream.mDataCentre }].mSuspects.push_back(aUpstream);
    ApplySigns(aState, upstream.mService, upstream.mDataCentre, aNow);
  }
  aState.mHeldSigns += upstream.mTreatedAsLeaving ? 0 : 1;
}

void MarkLive(State& aState, UpstreamIndex aUpstream, UnixMs aAsOfMs, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aUpstream];
  upstream.mLeaving = false;
  upstream.mHalfOpen = upstream.mHalfOpen && aAsOfMs <= upstream.mSuspectedAtMs;
  if (aAsOfMs > upstream.mSuspectedAtMs) {
    ClearSuspicion(aState, aUpstream, aNow);
  }
  Refresh(aState, aUpstream, aNow);
}

void RecordPeerReport(State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  aState.mUpstreams[aUpstream].mHealth.mPeerReportUntil = aNow.mTime + kPeerReportLifetime;
}

void Advance(State& aState, const Now& aNow)
{
  while (!aState.mTimers.empty() && aState.mTimers.top().first <= aNow.mTime) {
    const auto n = aState.mTimers.top().second;
    aState.mTimers.pop();
    if (aState.mUpstreams[n].mSuspected && aNow.mTime >= aState.mUpstreams[n].mSuspectedUntil) {
      ClearSuspicion(aState, n, aNow);
      aState.mUpstreams[n].mHalfOpen = true;
    }
    Refresh(aState, n, aNow);
  }
}

bool HasFreeUpstream(const State& aState,
                     ServiceIndex aService,
                     const std::vector<ShapeIndex>& aShapes,
                     const Needs& aNeeds)
{
  const auto& shapes = aState.mPools[aService].mShapes;
  return std::any_of(aShapes.begin(), aShapes.end(), [&](ShapeIndex aShape) {
    const auto& freeList = shapes[aShape].mFree;
    return std::any_of(freeList.begin(), freeList.end(), [&](UpstreamIndex aIndex) {
      return HasRoom(aState, aState.mUpstreams[aIndex], aNeeds);
    });
  });
}

bool HasFreeUpstream(const State& aState, const Request& aRequest)
{
  const auto& shapes = aState.mPools[aRequest.mService].mShapes;
  return std::any_of(aRequest.mShapes->begin(), aRequest.mShapes->end(), [&](ShapeIndex aShape) {
    const auto& freeList = shapes[aShape].mFree;
    return std::any_of(freeList.begin(), freeList.end(), [&](UpstreamIndex aIndex) {
      const auto& upstream = aState.mUpstreams[aIndex];
      return HasRoom(aState, upstream, aRequest.mNeeds) && MayUse(upstream.mReservation, aRequest);
    });
  });
}

std::optional<UpstreamIndex> Choose(const State& aState,
                                    const Request& aRequest,
                                    std::mt19937_64& aRandom)
{
  const auto& shapes = aState.mPools[aRequest.mService].mShapes;
  std::size_t freeCount = 0;
  for (const auto n : *aRequest.mShapes) {
    freeCount += shapes[n].mFree.size();
  }
  const auto at = [&](std::size_t aPosition) {
    for (const auto n : *aRequest.mShapes) {
      if (aPosition < shapes[n].mFree.size()) {
        return shapes[n].mFree[aPosition];
      }
      aPosition -= shapes[n].mFree.size();
    }
    return kNone;
  };
  std::optional<UpstreamIndex> best;
  double lowestCost = 0;
  const bool all = freeCount <= kCompareAllLimit || aState.mOptions.mExclusiveUpstreams;
  const std::size_t first = all && freeCount > 0 ? aRandom() % freeCount : 0;
  for (std::size_t n = 0; n < (all ? freeCount : kRandomCandidates); ++n) {
    const auto candidate = at(all ? (first + n) % freeCount : aRandom() % freeCount);
    if (candidate == aRequest.mAvoid ||
        !HasRoom(aState, aState.mUpstreams[candidate], aRequest.mNeeds) ||
        !MayUse(aState.mUpstreams[candidate].mReservation, aRequest)) {
      continue;
    }
    const double cost = Cost(aState, aRequest, candidate);
    if (!best || cost < lowestCost) {
      best = candidate;
      lowestCost = cost;
    }
  }
  return best;
}

void CountStart(State& aState, UpstreamIndex aUpstream, const Needs& aNeeds, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aUpstream];
  ++upstream.mRunning;
  upstream.mUsed.mMilliCores += aNeeds.mMilliCores;
  upstream.mUsed.mMemoryBytes += aNeeds.mMemoryBytes;
  upstream.mUsed.mAccelerators += aNeeds.mAccelerators;
  if (IsUnhealthy(upstream) && !aState.mPools[upstream.mService].mServiceFault) {
    ++aState.mProbes;
    upstream.mHealth.mNextProbeAt = aNow.mTime + upstream.mHealth.mProbeInterval;
    SetTimer(aState, aUpstream, upstream.mHealth.mNextProbeAt);
  }
  Refresh(aState, aUpstream, aNow);
}

void CountSuspect(State& aState, UpstreamIndex aUpstream, int aChange, const Now& aNow)
{
  auto& suspects = aState.mUpstreams[aUpstream].mSuspects;
  suspects = static_cast<std::uint32_t>(static_cast<int>(suspects) + aChange);
  Refresh(aState, aUpstream, aNow);
}

void CountEnd(State& aState,
              UpstreamIndex aUpstream,
              const Needs& aNeeds,
              StartOutcome aOutcome,
              std::optional<double> aRatio,
              std::mt19937_64& aRandom,
              const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aUpstream];
  auto& health = upstream.mHealth;
  --upstream.mRunning;
  upstream.mUsed.mMilliCores -= aNeeds.mMilliCores;
  upstream.mUsed.mMemoryBytes -= aNeeds.mMemoryBytes;
  upstream.mUsed.mAccelerators -= aNeeds.mAccelerators;
  // Runs that end at the same time were lost by one event, for example a crash. Counted one by one,
  // a single crash would exclude an upstream with several tasks.
  const bool lostBefore =
    aOutcome == StartOutcome::Lost && std::exchange(health.mLastLossAt, aNow.mTime) == aNow.mTime;
  const bool failed = aOutcome == StartOutcome::Failed || aOutcome == StartOutcome::Refused ||
                      (aOutcome == StartOutcome::Lost && !lostBefore);
  if (failed || aOutcome == StartOutcome::RanWell) {
    const bool probe = IsUnhealthy(upstream) && upstream.mRunning == 0;
    health.mRanWell = kOutcomeDecay * health.mRanWell + (failed ? 0 : 1);
    health.mFailed = kOutcomeDecay * health.mFailed + (failed ? 1 : 0);
    ++health.mOutcomeCount;
    health.mConsecutiveFailures = failed ? health.mConsecutiveFailures + 1 : 0;
    health.mLastSuccessAt = failed ? health.mLastSuccessAt : aNow.mTime;
    Refresh(aState, aUpstream, aNow);
    UpdateFailing(aState, aUpstream, failed, probe, aNow);
    if (aRatio && !failed) {
      AddRunTimeRatio(aState, aUpstream, *aRatio, probe, aNow);
      if (std::log(std::max(*aRatio, 1e-6)) < kGoodLogRatio) {
        health.mSlowJob.reset();
      }
    }
  }
  if (aOutcome == StartOutcome::RanWell || aOutcome == StartOutcome::Failed) {
    upstream.mConsecutiveBusyRefusals = 0;
    upstream.mHalfOpen = false;
  }
  milliseconds backoff{ 0 };
  if (aOutcome == StartOutcome::Failed && aState.mOptions.mMaxConsecutiveFailures > 0) {
    // Failing tasks end early, so a faulty upstream would otherwise be free most often and get most
    // of the tasks.
    upstream.mHalfOpen = true;
    backoff = kFailedBackoff;
  }
  if (aOutcome == StartOutcome::Busy || aOutcome == StartOutcome::Stale) {
    backoff =
      kInitialBusyBackoff * (1U << std::min(upstream.mConsecutiveBusyRefusals, kMaxBusyDoublings));
    // Several refusals within one backoff, as of starts that were sent together, count once.
    upstream.mConsecutiveBusyRefusals += aNow.mTime >= upstream.mBackoffUntil ? 1 : 0;
  } else if (aOutcome == StartOutcome::Lost || aOutcome == StartOutcome::Refused ||
             aOutcome == StartOutcome::Leaving) {
    backoff = kLostBackoff;
  }
  if (backoff.count() > 0) {
    const double jitter = 1 + admission::UnitRandom(aRandom);
    upstream.mBackoffUntil = std::max(
      upstream.mBackoffUntil, aNow.mTime + std::chrono::duration_cast<Duration>(backoff * jitter));
    SetTimer(aState, aUpstream, upstream.mBackoffUntil);
  }
  if (aOutcome == StartOutcome::Leaving || aOutcome == StartOutcome::Refused) {
    Suspect(aState, aUpstream, aNow);
  }
  Refresh(aState, aUpstream, aNow);
  UpdateServiceFault(aState, upstream.mService, aNow);
  Refresh(aState, aUpstream, aNow);
}

void CountOverdue(State& aState, UpstreamIndex aUpstream, double aRatio, const Now& aNow)
{
  AddRunTimeRatio(aState, aUpstream, aRatio, false, aNow);
  Refresh(aState, aUpstream, aNow);
  UpdateServiceFault(aState, aState.mUpstreams[aUpstream].mService, aNow);
}

void ExcludeSlow(State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  auto& health = aState.mUpstreams[aUpstream].mHealth;
  if (health.mSlow || health.mFailing ||
      aState.mPools[aState.mUpstreams[aUpstream].mService].mServiceFault) {
    return;
  }
  health.mSlow = true;
  ++aState.mExclusions;
  StartProbing(aState, aUpstream, aNow);
  Refresh(aState, aUpstream, aNow);
  UpdateServiceFault(aState, aState.mUpstreams[aUpstream].mService, aNow);
}

void CountSlowJob(State& aState, UpstreamIndex aUpstream, std::uint64_t aJob, const Now& aNow)
{
  auto& health = aState.mUpstreams[aUpstream].mHealth;
  if (health.mSlowJob && *health.mSlowJob != aJob) {
    ExcludeSlow(aState, aUpstream, aNow);
    return;
  }
  health.mSlowJob = aJob;
}

bool IsUsable(const State& aState, UpstreamIndex aUpstream)
{
  const auto& upstream = aState.mUpstreams[aUpstream];
  return upstream.mConfigured && !IsLeaving(upstream) &&
         (!IsUnhealthy(upstream) || aState.mPools[upstream.mService].mServiceFault);
}

double FailureRate(const Health& aHealth)
{
  const double outcomes = aHealth.mRanWell + aHealth.mFailed;
  return outcomes > 0 ? aHealth.mFailed / outcomes : 0;
}

bool MeetsNeeds(const Needs& aCapacity, const Needs& aNeeds)
{
  return aNeeds.mMilliCores <= aCapacity.mMilliCores &&
         aNeeds.mMemoryBytes <= aCapacity.mMemoryBytes &&
         aNeeds.mAccelerators <= aCapacity.mAccelerators;
}

Room RoomOf(const State& aState, ServiceIndex aService)
{
  const auto& pool = aState.mPools[aService];
  Room room;
  for (const auto n : pool.mMembers) {
    const auto& upstream = aState.mUpstreams[n];
    if (upstream.mCredits == 0 || !IsUsable(aState, n)) {
      continue;
    }
    std::uint64_t cores = pool.mShapes[upstream.mShape].mCapacity.mMilliCores;
    if (aState.mOptions.mExclusiveUpstreams && upstream.mCredits < upstream.mSlots) {
      cores = cores * upstream.mCredits / upstream.mSlots;
    }
    room.mMilliCores += cores;
    room.mFreeMilliCores += cores - std::min<std::uint64_t>(cores, upstream.mUsed.mMilliCores);
  }
  return room;
}

double RelativeRunTime(const State& aState, UpstreamIndex aUpstream)
{
  return std::exp(RelativeLogRunTime(aState, aState.mUpstreams[aUpstream]));
}

std::optional<Needs> RoundUp(const State& aState, ServiceIndex aService, const Needs& aNeeds)
{
  Needs rounded{ std::numeric_limits<std::uint32_t>::max(),
                 std::numeric_limits<std::uint64_t>::max(),
                 std::numeric_limits<std::uint32_t>::max() };
  bool suits = false;
  for (const auto& shape : aState.mPools[aService].mShapes) {
    if (shape.mConfigured == 0) {
      continue;
    }
    const auto& capacity = shape.mCapacity;
    suits = suits || MeetsNeeds(capacity, aNeeds);
    if (aNeeds.mMilliCores <= capacity.mMilliCores) {
      rounded.mMilliCores = std::min(rounded.mMilliCores, capacity.mMilliCores);
    }
    if (aNeeds.mMemoryBytes <= capacity.mMemoryBytes) {
      rounded.mMemoryBytes = std::min(rounded.mMemoryBytes, capacity.mMemoryBytes);
    }
    if (aNeeds.mAccelerators <= capacity.mAccelerators) {
      rounded.mAccelerators = std::min(rounded.mAccelerators, capacity.mAccelerators);
    }
  }
  if (!suits) {
    return std::nullopt;
  }
  if (aState.mOptions.mExclusiveUpstreams) {
    const auto up = [](auto aValue, auto aStep) { return (aValue + aStep - 1) / aStep * aStep; };
    const auto step = aState.mOptions.mLookAhead && aNeeds.mMilliCores <= kFineLimit
                        ? kFineMilliCoresStep
                        : kMilliCoresStep;
    return Needs{ std::min(rounded.mMilliCores, up(aNeeds.mMilliCores, step)),
                  std::min(rounded.mMemoryBytes, up(aNeeds.mMemoryBytes, kMemoryStepBytes)),
                  aNeeds.mAccelerators };
  }
  // A resource that is not needed stays zero, so that workers added later suit as well.
  rounded.mMilliCores = aNeeds.mMilliCores == 0 ? 0 : rounded.mMilliCores;
  rounded.mMemoryBytes = aNeeds.mMemoryBytes == 0 ? 0 : rounded.mMemoryBytes;
  rounded.mAccelerators = aNeeds.mAccelerators == 0 ? 0 : rounded.mAccelerators;
  return rounded;
}

} // namespace pollenwall::placement
