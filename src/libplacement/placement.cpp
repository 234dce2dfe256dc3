#include <pollenwall/placement.h>

#include <algorithm>
#include <cmath>

#include <pollenwall/admission.h>

namespace pollenwall::placement {
namespace {

using std::chrono::milliseconds;

/// Weight that an older outcome keeps with each new one.
constexpr double kDecay = 0.9;
/// Failures and successes needed for a verdict on an upstream. A healthy upstream of a service that
/// fails one task in 20 shows four failures in a row about once in 160,000 starts.
constexpr std::uint32_t kOutcomesForVerdict = 4;
/// Run times vary by their nature; eight of them bound the mean's error well below kSlowLogRatio.
constexpr std::uint32_t kRatiosForVerdict = 8;
constexpr std::uint32_t kRatiosWithNote = 2;
constexpr double kRatioStep = 0.1;
constexpr double kPoolRatioStep = 0.01;
/// Natural logarithms of 3 and 2: slower than this against the pool is a straggler; a probe faster
/// than the second is a good one.
constexpr double kSlowLogRatio = 1.0986;
constexpr double kGoodLogRatio = 0.6931;
/// A single run time counts with at most this ratio (e^4), so that one long task decides nothing.
constexpr double kMostLogRatio = 4;
constexpr std::uint32_t kGoodProbesNeeded = 2;
/// Mean failure rate of a pool at which failures count as the service's own, and at which they no
/// longer do.
constexpr double kServiceFaultOn = 0.9;
constexpr double kServiceFaultOff = 0.5;
/// After this many good outcomes the probe interval starts from its first value again.
constexpr std::uint32_t kOutcomesToTrust = 20;
constexpr milliseconds kFirstBusyBlock{ 20 };
constexpr std::uint32_t kMostBusyDoublings = 5;
constexpr milliseconds kLostBlock{ 250 };
constexpr milliseconds kFailedBlock{ 50 };
/// Mean failure rate of the peers below which failures in a row speak against an upstream.
constexpr double kRareFailures = 0.2;
constexpr milliseconds kPeerNoteLife{ 10000 };
/// A busy upstream ends several short tasks in this time.
constexpr milliseconds kProvenFor{ 1000 };
/// Free upstreams compared for one start.
constexpr std::size_t kDraws = 6;
constexpr std::size_t kCompareAll = 8;
/// Run times up to 1.5 times the pool's are noise; without a tolerance the luckiest upstreams would
/// get all tasks.
constexpr double kToleratedLogRatio = 0.4055;
/// A full upstream against an empty one, in tasks of the job on the same rack.
constexpr double kLoadCost = 0.5;
/// Of an upstream held whole: an empty one against a full one, in units of the natural logarithm of
/// run times. Speeds that differ by less than a tenth are treated as equal.
constexpr double kEmptyCost = 0.1;
/// Steps to which needs are rounded up for upstreams held whole. A task waits in the queue of its
/// rounded needs, so the step bounds the room that it asks for in vain.
constexpr std::uint32_t kMilliCoresStep = kMilliCoresPerCore;
constexpr std::uint64_t kMemoryStepBytes = std::uint64_t{ 256 } << 20;
/// Larger than any other cost.
constexpr double kProbeCost = 1e9;
/// Larger than any cost but that of a probe.
constexpr double kUnprovenCost = 1e6;

bool IsLeaving(const Upstream& aUpstream)
{
  return aUpstream.mLeaving || aUpstream.mTreatedAsLeaving;
}

/// Whether the needs fit beside what runs there.
bool HasRoom(const State& aState, const Upstream& aUpstream, const Needs& aNeeds)
{
  if (!aState.mOptions.mHoldsWholeUpstreams) {
    return true;
  }
  const auto& capacity = aState.mPools[aUpstream.mService].mShapes[aUpstream.mShape].mCapacity;
  const auto& used = aUpstream.mUsed;
  return Suits(capacity,
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
      aNow.mTime < aUpstream.mBlockedUntil) {
    return false;
  }
  if (aUpstream.mOnTrial && aUpstream.mRunning > 0) {
    return false;
  }
  return aPool.mServiceFault || !IsUnhealthy(aUpstream) ||
         (aUpstream.mRunning == 0 && aNow.mTime >= aUpstream.mHealth.mNextProbe);
}

void SetIdle(State& aState, UpstreamIndex aIndex, bool aIdle)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  if (upstream.mShape == kNone || aIdle == (upstream.mIdlePosition != kNone)) {
    return;
  }
  auto& idle = pool.mShapes[upstream.mShape].mIdle;
  if (aIdle) {
    upstream.mIdlePosition = static_cast<std::uint32_t>(idle.size());
    idle.push_back(aIndex);
    return;
  }
  const auto last = idle.back();
  idle[upstream.mIdlePosition] = last;
  aState.mUpstreams[last].mIdlePosition = upstream.mIdlePosition;
  idle.pop_back();
  upstream.mIdlePosition = kNone;
}

/// Brings the idle list and the pool's sums in line with the upstream's own values.
void Refresh(State& aState, UpstreamIndex aIndex, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  const bool available = upstream.mConfigured && upstream.mCredits > 0 && !IsLeaving(upstream);
  const bool unhealthy = available && IsUnhealthy(upstream);
  const double rate = available ? FailureRate(upstream.mHealth) : 0;
  const auto credits = available && !unhealthy ? upstream.mCredits : 0;
  pool.mAvailable += (available ? 1U : 0U) - (upstream.mCountedAvailable ? 1U : 0U);
  pool.mUnhealthy += (unhealthy ? 1U : 0U) - (upstream.mCountedUnhealthy ? 1U : 0U);
  pool.mFailureRates += rate - upstream.mCountedFailureRate;
  pool.mHealthyCredits += credits - upstream.mCountedCredits;
  upstream.mCountedAvailable = available;
  upstream.mCountedUnhealthy = unhealthy;
  upstream.mCountedFailureRate = rate;
  upstream.mCountedCredits = credits;

  const bool idle = CanTake(pool, upstream, aNow);
  SetIdle(aState, aIndex, idle);
  if (idle && !pool.mChanged) {
    pool.mChanged = true;
    aState.mChanged.push_back(upstream.mService);
  }
}

void SetTimer(State& aState, UpstreamIndex aIndex, Time aAt)
{
  aState.mTimers.emplace(aAt, aIndex);
}

/// Decides which unconfirmed signs count.
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

/// The mean failure rate of the other upstreams of the pool.
double PeerFailureRate(const Pool& aPool, const Upstream& aUpstream)
{
  if (aPool.mAvailable <= 1) {
    return 1;
  }
  const double others = aPool.mFailureRates - aUpstream.mCountedFailureRate;
  return std::clamp(others / (aPool.mAvailable - 1), 0.0, 1.0);
}

void StartProbing(State& aState, UpstreamIndex aIndex, const Now& aNow)
{
  auto& health = aState.mUpstreams[aIndex].mHealth;
  health.mGoodProbes = 0;
  health.mProbe = health.mProbe.count() == 0
                    ? aState.mOptions.mFirstProbe
                    : std::min(2 * health.mProbe, aState.mOptions.mMostProbe);
  health.mNextProbe = aNow.mTime + health.mProbe;
  SetTimer(aState, aIndex, health.mNextProbe);
}

void Recover(Health& aHealth)
{
  const auto probe = aHealth.mProbe;
  const auto next = aHealth.mNextProbe;
  aHealth = Health{};
  aHealth.mProbe = probe;
  aHealth.mNextProbe = next;
}

/// A good probe is followed by the next one at once.
void CountProbe(Health& aHealth, bool aGood, const Now& aNow)
{
  aHealth.mGoodProbes = aGood ? aHealth.mGoodProbes + 1 : 0;
  if (aGood) {
    aHealth.mNextProbe = aNow.mTime;
  }
}

/// Sets or clears the verdict that all upstreams are bad at once.
void JudgeService(State& aState, ServiceIndex aService, const Now& aNow)
{
  auto& pool = aState.mPools[aService];
  const double mean = pool.mAvailable == 0 ? 0 : pool.mFailureRates / pool.mAvailable;
  const bool all = pool.mAvailable > 0 && pool.mUnhealthy == pool.mAvailable;
  if (pool.mServiceFault) {
    pool.mServiceFault = mean >= kServiceFaultOff;
    return;
  }
  if (!all && !(pool.mAvailable > 0 && mean >= kServiceFaultOn)) {
    return;
  }
  pool.mServiceFault = true;
  ++aState.mServiceFaults;
  // What was held against single upstreams was the service's. They are free at once when it is
  // well again, instead of waiting for probes.
  for (const auto n : pool.mMembers) {
    auto& health = aState.mUpstreams[n].mHealth;
    health.mFailing = false;
    health.mSlow = false;
    health.mProbe = milliseconds{ 0 };
    health.mRatios = 0;
    health.mLogRatio = 0;
    health.mLogRatioWeight = 0;
    Refresh(aState, n, aNow);
  }
}

void JudgeFailures(State& aState,
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
    if (health.mGoodProbes >= kGoodProbesNeeded) {
      Recover(health);
    }
    return;
  }
  if (!aFailed) {
    if (health.mOutcomes >= kOutcomesToTrust && !health.mSlow) {
      health.mProbe = milliseconds{ 0 };
    }
    return;
  }
  const auto needed = aNow.mTime < health.mPeerNoteUntil ? 1 : kOutcomesForVerdict;
  const double peers = PeerFailureRate(pool, upstream);
  const bool inRow = aState.mOptions.mFailuresInRow > 0 &&
                     health.mFailedInRow >= aState.mOptions.mFailuresInRow && peers < kRareFailures;
  const bool byRate = health.mOutcomes >= needed && FailureRate(health) > 0.5 + 0.5 * peers;
  if (pool.mServiceFault || (!inRow && !byRate)) {
    return;
  }
  health.mFailing = true;
  ++aState.mExclusions;
  StartProbing(aState, aIndex, aNow);
}

void AddRatio(State& aState, UpstreamIndex aIndex, double aRatio, bool aWasProbe, const Now& aNow)
{
  auto& upstream = aState.mUpstreams[aIndex];
  auto& pool = aState.mPools[upstream.mService];
  auto& health = upstream.mHealth;
  const double sample = std::clamp(std::log(std::max(aRatio, 1e-6)), -kMostLogRatio, kMostLogRatio);
  pool.mLogRatio += kPoolRatioStep * (sample - pool.mLogRatio);
  if (health.mSlow) {
    const bool good = sample - pool.mLogRatio < kGoodLogRatio;
    if (!good && aWasProbe) {
      StartProbing(aState, aIndex, aNow);
    }
    CountProbe(health, good, aNow);
    if (health.mGoodProbes >= kGoodProbesNeeded && !health.mFailing) {
      Recover(health);
    }
    return;
  }
  // Dividing by the weight corrects the start at zero.
  health.mLogRatio += kRatioStep * (sample - health.mLogRatio);
  health.mLogRatioWeight += kRatioStep * (1 - health.mLogRatioWeight);
  ++health.mRatios;
  const double mean = health.mLogRatio / health.mLogRatioWeight;
  const auto needed = aNow.mTime < health.mPeerNoteUntil ? kRatiosWithNote : kRatiosForVerdict;
  if (health.mRatios < needed || mean - pool.mLogRatio <= kSlowLogRatio || pool.mServiceFault ||
      health.mFailing || pool.mAvailable <= 1) {
    return;
  }
  health.mSlow = true;
  ++aState.mExclusions;
  StartProbing(aState, aIndex, aNow);
}

template<typename Map>
std::uint32_t Number(Map& aMap, std::string_view aName)
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

/// Natural logarithm of the upstream's run times over those of its pool; 0 when nothing is known.
double SpeedCost(const State& aState, const Upstream& aUpstream)
{
  const auto& health = aUpstream.mHealth;
  if (health.mRatios == 0) {
    return 0;
  }
  return health.mLogRatio / health.mLogRatioWeight - aState.mPools[aUpstream.mService].mLogRatio;
}

/// Lower is better. Each unit is worth one more task of the job on the same rack.
double Cost(const State& aState, const Request& aRequest, UpstreamIndex aIndex)
{
  const auto& upstream = aState.mUpstreams[aIndex];
  const auto& health = upstream.mHealth;
  if (IsUnhealthy(upstream) && !aState.mPools[upstream.mService].mServiceFault) {
    return aRequest.mMayProbe ? -kProbeCost : kProbeCost;
  }
  double cost = 4 * FailureRate(health);
  if (aRequest.mProven && (upstream.mOnTrial || health.mFailedInRow > 0 ||
                           aRequest.mNow - health.mRanWellAt > kProvenFor)) {
    cost += kUnprovenCost;
  }
  const double speed = SpeedCost(aState, upstream);
  cost += std::max(0.0, speed - kToleratedLogRatio);
  const auto& capacity = aState.mPools[upstream.mService].mShapes[upstream.mShape].mCapacity;
  if (aState.mOptions.mHoldsWholeUpstreams) {
    return cost + speed +
           kEmptyCost * (1 - static_cast<double>(upstream.mUsed.mMilliCores) /
                               std::max(1U, capacity.mMilliCores));
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
  state.mHomeDataCentre = Number(state.mDataCentres, state.mOptions.mDataCentre);
  return state;
}

ServiceIndex FindOrAddService(State& aState, std::string_view aName)
{
  const auto n = Number(aState.mServices, aName);
  if (n == aState.mPools.size()) {
    aState.mPools.emplace_back();
    aState.mPools.back().mName = aName;
  }
  return n;
}

UpstreamIndex FindOrAddUpstream(State& aState, std::string_view aKey)
{
  const auto n = Number(aState.mByKey, aKey);
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
    const auto dataCentre = Number(aState.mDataCentres, worker.mDataCentre);
    if (aState.mUpstreams[index].mDataCentre != dataCentre) {
      ClearSuspicion(aState, index, aNow);
    }
    auto& upstream = aState.mUpstreams[index];
    auto& pool = aState.mPools[upstream.mService];
    const auto shape =
      FindOrAddShape(pool, { worker.mMilliCores, worker.mMemoryBytes, worker.mAccelerators });
    if (shape != upstream.mShape) {
      SetIdle(aState, index, false);
      upstream.mShape = shape;
    }
    upstream.mConfigured = true;
    upstream.mAddress = worker.mAddress + ":" + std::to_string(entry.mPort);
    upstream.mDataCentre = dataCentre;
    // Names of racks are unique only within a data centre.
    upstream.mRack = Number(aState.mRacks, worker.mDataCentre + "/" + worker.mRack);
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
  upstream.mOnTrial = upstream.mOnTrial && aAsOfMs <= upstream.mSuspectedAtMs;
  if (aAsOfMs > upstream.mSuspectedAtMs) {
    ClearSuspicion(aState, aUpstream, aNow);
  }
  Refresh(aState, aUpstream, aNow);
}

void NotePeer(State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  aState.mUpstreams[aUpstream].mHealth.mPeerNoteUntil = aNow.mTime + kPeerNoteLife;
}

void Advance(State& aState, const Now& aNow)
{
  while (!aState.mTimers.empty() && aState.mTimers.top().first <= aNow.mTime) {
    const auto n = aState.mTimers.top().second;
    aState.mTimers.pop();
    if (aState.mUpstreams[n].mSuspected && aNow.mTime >= aState.mUpstreams[n].mSuspectedUntil) {
      ClearSuspicion(aState, n, aNow);
      aState.mUpstreams[n].mOnTrial = true;
    }
    Refresh(aState, n, aNow);
  }
}

bool HasIdle(const State& aState,
             ServiceIndex aService,
             const std::vector<ShapeIndex>& aShapes,
             const Needs& aNeeds)
{
  const auto& shapes = aState.mPools[aService].mShapes;
  return std::any_of(aShapes.begin(), aShapes.end(), [&](ShapeIndex aShape) {
    const auto& idle = shapes[aShape].mIdle;
    return std::any_of(idle.begin(), idle.end(), [&](UpstreamIndex aIndex) {
      return HasRoom(aState, aState.mUpstreams[aIndex], aNeeds);
    });
  });
}

std::optional<UpstreamIndex> Choose(const State& aState,
                                    const Request& aRequest,
                                    std::mt19937_64& aRandom)
{
  const auto& shapes = aState.mPools[aRequest.mService].mShapes;
  std::size_t idle = 0;
  for (const auto n : *aRequest.mShapes) {
    idle += shapes[n].mIdle.size();
  }
  const auto at = [&](std::size_t aPosition) {
    for (const auto n : *aRequest.mShapes) {
      if (aPosition < shapes[n].mIdle.size()) {
        return shapes[n].mIdle[aPosition];
      }
      aPosition -= shapes[n].mIdle.size();
    }
    return kNone;
  };
  std::optional<UpstreamIndex> best;
  double least = 0;
  const bool all = idle <= kCompareAll || aState.mOptions.mHoldsWholeUpstreams;
  const std::size_t first = all && idle > 0 ? aRandom() % idle : 0;
  for (std::size_t n = 0; n < (all ? idle : kDraws); ++n) {
    const auto candidate = at(all ? (first + n) % idle : aRandom() % idle);
    if (candidate == aRequest.mAvoid ||
        !HasRoom(aState, aState.mUpstreams[candidate], aRequest.mNeeds)) {
      continue;
    }
    const double cost = Cost(aState, aRequest, candidate);
    if (!best || cost < least) {
      best = candidate;
      least = cost;
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
    upstream.mHealth.mNextProbe = aNow.mTime + upstream.mHealth.mProbe;
    SetTimer(aState, aUpstream, upstream.mHealth.mNextProbe);
  }
  Refresh(aState, aUpstream, aNow);
}

void CountEnd(State& aState,
              UpstreamIndex aUpstream,
              const Needs& aNeeds,
              Report aReport,
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
  const bool failed =
    aReport == Report::Failed || aReport == Report::Lost || aReport == Report::Refused;
  if (failed || aReport == Report::RanWell) {
    const bool probe = IsUnhealthy(upstream) && upstream.mRunning == 0;
    health.mRanWell = kDecay * health.mRanWell + (failed ? 0 : 1);
    health.mFailed = kDecay * health.mFailed + (failed ? 1 : 0);
    ++health.mOutcomes;
    health.mFailedInRow = failed ? health.mFailedInRow + 1 : 0;
    health.mRanWellAt = failed ? health.mRanWellAt : aNow.mTime;
    Refresh(aState, aUpstream, aNow);
    JudgeFailures(aState, aUpstream, failed, probe, aNow);
    if (aRatio && !failed) {
      AddRatio(aState, aUpstream, *aRatio, probe, aNow);
      if (std::log(std::max(*aRatio, 1e-6)) < kGoodLogRatio) {
        health.mSlowJob.reset();
      }
    }
  }
  if (aReport == Report::RanWell || aReport == Report::Failed) {
    upstream.mBusyInRow = 0;
    upstream.mOnTrial = false;
  }
  milliseconds block{ 0 };
  if (aReport == Report::Failed && aState.mOptions.mFailuresInRow > 0) {
    // Tasks that fail end early, so a faulty upstream would otherwise draw all that comes.
    upstream.mOnTrial = true;
    block = kFailedBlock;
  }
  if (aReport == Report::Busy || aReport == Report::Stale) {
    block = kFirstBusyBlock * (1U << std::min(upstream.mBusyInRow, kMostBusyDoublings));
    // Refusals of starts that were sent together count once.
    upstream.mBusyInRow += aNow.mTime >= upstream.mBlockedUntil ? 1 : 0;
  } else if (aReport == Report::Lost || aReport == Report::Refused || aReport == Report::Leaving) {
    block = kLostBlock;
  }
  if (block.count() > 0) {
    const double jitter = 1 + admission::UnitRandom(aRandom);
    upstream.mBlockedUntil = std::max(
      upstream.mBlockedUntil, aNow.mTime + std::chrono::duration_cast<Duration>(block * jitter));
    SetTimer(aState, aUpstream, upstream.mBlockedUntil);
  }
  if (aReport == Report::Leaving || aReport == Report::Refused) {
    Suspect(aState, aUpstream, aNow);
  }
  Refresh(aState, aUpstream, aNow);
  JudgeService(aState, upstream.mService, aNow);
  Refresh(aState, aUpstream, aNow);
}

void CountOverdue(State& aState, UpstreamIndex aUpstream, double aRatio, const Now& aNow)
{
  AddRatio(aState, aUpstream, aRatio, false, aNow);
  Refresh(aState, aUpstream, aNow);
  JudgeService(aState, aState.mUpstreams[aUpstream].mService, aNow);
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
  JudgeService(aState, aState.mUpstreams[aUpstream].mService, aNow);
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

bool Suits(const Needs& aCapacity, const Needs& aNeeds)
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
    const auto cores = pool.mShapes[upstream.mShape].mCapacity.mMilliCores;
    room.mMilliCores += cores;
    room.mFreeMilliCores += cores - std::min(cores, upstream.mUsed.mMilliCores);
  }
  return room;
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
    suits = suits || Suits(capacity, aNeeds);
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
  if (aState.mOptions.mHoldsWholeUpstreams) {
    const auto up = [](auto aValue, auto aStep) { return (aValue + aStep - 1) / aStep * aStep; };
    return Needs{ std::min(rounded.mMilliCores, up(aNeeds.mMilliCores, kMilliCoresStep)),
                  std::min(rounded.mMemoryBytes, up(aNeeds.mMemoryBytes, kMemoryStepBytes)),
                  aNeeds.mAccelerators };
  }
  // A part that is not needed stays zero, so that workers added later suit as well.
  rounded.mMilliCores = aNeeds.mMilliCores == 0 ? 0 : rounded.mMilliCores;
  rounded.mMemoryBytes = aNeeds.mMemoryBytes == 0 ? 0 : rounded.mMemoryBytes;
  rounded.mAccelerators = aNeeds.mAccelerators == 0 ? 0 : rounded.mAccelerators;
  return rounded;
}

} // namespace pollenwall::placement
