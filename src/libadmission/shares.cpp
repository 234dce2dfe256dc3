#include <pollenwall/shares.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenwall::admission {
namespace {

/// No claim is met to less than this fraction of another's.
constexpr double kMinRelativeFraction = 0.5;
/// Bisection steps of Divide; the error is below 1e-9 of the capacity.
constexpr int kDivideSteps = 40;
/// Weight of a kind relative to one whose priority value is lower by one. Low enough that the order
/// of service, not the share, makes most of the difference between priorities.
constexpr double kPriorityWeight = 0.9;
constexpr std::uint32_t kMaxWeightedPriority = 10;
/// Weights of the largest tenth of a kind and of its other jobs: about their parts of the work.
constexpr double kLargeWeight = 0.2;
constexpr double kOrdinaryWeight = 0.8;
constexpr double kLargeQuantile = 0.9;
/// Step of the estimate of that quantile in the logarithm of the work. Sizes of a kind have a
/// logarithmic spread of about 0.2.
constexpr double kQuantileStep = 0.02;
/// Until a kind has had this many jobs, none of them counts as large.
constexpr std::uint64_t kMinArrivalsForSizes = 20;
/// Time constants of demand. The state of a service has to follow a peak within a second; a class
/// has few jobs per second at one holder.
constexpr double kServiceDemandSeconds = 2;
constexpr double kKindDemandSeconds = 2;
constexpr double kClassDemandSeconds = 5;
/// A shortage begins above the first ratio of demand to capacity and ends below the second.
constexpr double kShortageBeginsAbove = 0.95;
constexpr double kShortageEndsBelow = 0.9;
constexpr std::chrono::seconds kMinTimeBelow{ 1 };
/// In a shortage admission keeps the queue at some tens of milliseconds.
constexpr std::chrono::milliseconds kNoQueueBelow{ 10 };
constexpr std::chrono::milliseconds kDivideInterval{ 100 };
/// Limits of the queue between which the gain stays the same, and its step in each interval. A
/// queue of some tens of milliseconds fills gaps that single tasks leave; the jobs with the nearest
/// targets can wait for about 100 ms.
constexpr std::chrono::milliseconds kGainRisesBelow{ 30 };
constexpr std::chrono::milliseconds kGainFallsAbove{ 80 };
constexpr double kGainStep = 0.02;
constexpr double kMinGain = 0.8;
constexpr double kMaxGain = 1.25;
/// Bounds of a class's credit, in jobs. It is not used up where jobs are refused because of their
/// wait, and overdrawn where they are admitted because there is room.
constexpr double kInitialCredit = 0.5;
constexpr double kMaxCredit = 3;
constexpr double kMinCredit = -2;
constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kMaxClasses = 32;
constexpr std::size_t kMaxNameLength = 64;

ShareKind& FindOrAddKind(Shares& aShares, std::string_view aName)
{
  if (const auto it = aShares.mKinds.find(aName); it != aShares.mKinds.end()) {
    return it->second;
  }
  const bool known = aShares.mKinds.size() < kMaxKinds && aName.size() <= kMaxNameLength;
  return aShares.mKinds.try_emplace(known ? std::string(aName) : std::string()).first->second;
}

/// Whether the job is one of the largest tenth of its kind. Updates the estimate of their limit by
/// stochastic approximation (Robbins and Monro 1951).
bool ClassifySize(ShareKind& aKind, double aWork)
{
  const double size = std::log(std::max(aWork, 1e-9));
  if (aKind.mArrivals++ == 0) {
    aKind.mLargeLogWork = size;
  }
  const bool above = size > aKind.mLargeLogWork;
  const bool large = above && aKind.mArrivals > kMinArrivalsForSizes;
  aKind.mLargeLogWork += kQuantileStep * (above ? kLargeQuantile : kLargeQuantile - 1);
  return large;
}

/// The limits that Divide applies: a claim gets its weight times the level, but at least
/// kMinRelativeFraction and at most all of its demand times the fraction.
struct Limits
{
  double mLevel = 0;
  double mFraction = 1;
};

double PartAt(const Claim& aClaim, const Limits& aLimits)
{
  const double most = aLimits.mFraction * aClaim.mDemand;
  return std::clamp(aLimits.mLevel * aClaim.mWeight, kMinRelativeFraction * most, most);
}

/// Finds the limits at which the parts add up to a capacity below the sum of the demands.
Limits FindLimits(double aCapacity, const std::vector<Claim>& aClaims, double aDemand)
{
  double high = 0;
  auto least = aClaims.front();
  for (const auto& claim : aClaims) {
    high = std::max(high, claim.mDemand / claim.mWeight);
    if (claim.mDemand / claim.mWeight < least.mDemand / least.mWeight) {
      least = claim;
    }
  }
  // The largest fraction to which the least claim can be met while all others get at least half of
  // it.
  const double needed = least.mDemand + kMinRelativeFraction * (aDemand - least.mDemand);
  Limits limits{ 0, std::min(1.0, aCapacity / needed) };
  double low = 0;
  for (int step = 0; step < kDivideSteps; ++step) {
    limits.mLevel = (low + high) / 2;
    double sum = 0;
    for (const auto& claim : aClaims) {
      sum += PartAt(claim, limits);
    }
    (sum > aCapacity ? high : low) = limits.mLevel;
  }
  limits.mLevel = low;
  return limits;
}

double SumOfDemands(const std::vector<Claim>& aClaims)
{
  return std::accumulate(aClaims.begin(), aClaims.end(), 0.0, [](double aSum, const Claim& aClaim) {
    return aSum + aClaim.mDemand;
  });
}

} // namespace

double RateAt(const DecayingRate& aRate, double aSeconds, Time aNow)
{
  const double passed = std::max(0.0, std::chrono::duration<double>(aNow - aRate.mAt).count());
  return aRate.mPerSecond * std::exp(-passed / aSeconds);
}

void AddArrival(DecayingRate& aRate, double aAmount, double aSeconds, Time aNow)
{
  aRate = { RateAt(aRate, aSeconds, aNow) + aAmount / aSeconds, aNow };
}

std::vector<double> Divide(double aCapacity, const std::vector<Claim>& aClaims)
{
  std::vector<double> parts(aClaims.size(), 0);
  const double demand = SumOfDemands(aClaims);
  if (demand <= 0 || aCapacity <= 0) {
    return parts;
  }
  const bool enough = demand <= aCapacity;
  const auto limits = enough ? Limits{} : FindLimits(aCapacity, aClaims, demand);
  for (std::size_t n = 0; n < parts.size(); ++n) {
    parts[n] = enough ? aClaims[n].mDemand * aCapacity / demand : PartAt(aClaims[n], limits);
  }
  return parts;
}

std::string KindName(const Shares& aShares, std::string_view aKind)
{
  return aShares.mKinds.contains(aKind) ? std::string(aKind) : std::string();
}

ShareOf CountDemand(Shares& aShares,
                    std::string_view aKind,
                    std::uint32_t aPriority,
                    std::string_view aDataCentre,
                    double aWork,
                    Time aNow)
{
  AddArrival(aShares.mDemand, aWork, kServiceDemandSeconds, aNow);
  auto& kind = FindOrAddKind(aShares, aKind);
  kind.mPriority = aPriority;
  AddArrival(kind.mDemand, aWork, kKindDemandSeconds, aNow);
  const bool large = ClassifySize(kind, aWork);
  const bool named = aDataCentre.size() <= kMaxNameLength;
  std::pair key{ named ? std::string(aDataCentre) : std::string(), large };
  if (!kind.mClasses.contains(key) && kind.mClasses.size() >= kMaxClasses) {
    key.first.clear();
  }
  auto& of = kind.mClasses[std::move(key)];
  AddArrival(of.mDemand, aWork, kClassDemandSeconds, aNow);
  return { &kind, &of };
}

double DemandRatio(const Shares& aShares, Time aNow)
{
  return aShares.mCapacity <= 0
           ? 0
           : RateAt(aShares.mDemand, kServiceDemandSeconds, aNow) / aShares.mCapacity;
}

bool IsNearCapacity(const Shares& aShares, Time aNow)
{
  return DemandRatio(aShares, aNow) > kShortageBeginsAbove;
}

bool UpdateShortage(Shares& aShares, bool aJobIsLate, Duration aQueue, Time aNow)
{
  if (!aShares.mShort) {
    if (!aJobIsLate || !IsNearCapacity(aShares, aNow)) {
      return false;
    }
    aShares.mShort = true;
    aShares.mBelowSince = aNow;
    aShares.mDividedAt = {};
    aShares.mGain = 1;
    for (auto& [name, kind] : aShares.mKinds) {
      for (auto& [key, of] : kind.mClasses) {
        of.mFraction = 1;
        of.mCredit = kInitialCredit;
      }
    }
    return true;
  }
  if (DemandRatio(aShares, aNow) > kShortageEndsBelow && aQueue >= kNoQueueBelow) {
    aShares.mBelowSince = aNow;
  }
  if (aNow - aShares.mBelowSince < kMinTimeBelow) {
    return false;
  }
  aShares.mShort = false;
  return true;
}

void DivideIfDue(Shares& aShares, Duration aQueue, Time aNow)
{
  if (!aShares.mShort || aNow - aShares.mDividedAt < kDivideInterval) {
    return;
  }
  aShares.mDividedAt = aNow;
  if (aQueue < kGainRisesBelow) {
    aShares.mGain = std::min(kMaxGain, aShares.mGain + kGainStep);
  } else if (aQueue > kGainFallsAbove) {
    aShares.mGain = std::max(kMinGain, aShares.mGain - kGainStep);
  }
  std::vector<Claim> claims;
  for (const auto& [name, kind] : aShares.mKinds) {
    claims.push_back({ RateAt(kind.mDemand, kKindDemandSeconds, aNow),
                       std::pow(kPriorityWeight, std::min(kind.mPriority, kMaxWeightedPriority)) });
  }
  const auto parts = Divide(aShares.mGain * aShares.mCapacity, claims);
  std::size_t n = 0;
  for (auto& [name, kind] : aShares.mKinds) {
    const double fraction = claims[n].mDemand > 0 ? parts[n] / claims[n].mDemand : 1;
    ++n;
    std::vector<Claim> classClaims;
    for (const auto& [key, of] : kind.mClasses) {
      classClaims.push_back({ RateAt(of.mDemand, kClassDemandSeconds, aNow),
                              key.second ? kLargeWeight : kOrdinaryWeight });
    }
    // The demand of the classes is measured over a longer time than that of their kind.
    const auto classParts = Divide(fraction * SumOfDemands(classClaims), classClaims);
    std::size_t i = 0;
    for (auto& [key, of] : kind.mClasses) {
      const double demand = classClaims[i].mDemand;
      of.mFraction = demand > 0 ? classParts[i] / demand : 1;
      ++i;
    }
  }
}

bool CreditShare(const ShareOf& aShare)
{
  auto& of = *aShare.mClass;
  of.mCredit = std::min(kMaxCredit, of.mCredit + of.mFraction);
  return of.mCredit >= 1;
}

void ChargeShare(const ShareOf& aShare)
{
  aShare.mClass->mCredit = std::max(kMinCredit, aShare.mClass->mCredit - 1);
}

} // namespace pollenwall::admission
