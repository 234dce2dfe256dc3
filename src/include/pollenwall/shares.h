#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <pollenwall/time.h>

/// Shares of a service's capacity at one holder while demand exceeds it. Work is in core seconds,
/// demand and capacity are in core seconds per second. Plain state and free functions; no I/O and
/// no clock. Nothing here is thread safe.
namespace pollenwall::admission {

/// An exponentially decaying mean of arrivals per second.
struct DecayingRate
{
  double mPerSecond = 0; ///< As of mAt.
  Time mAt{};
};

/// The rate at aNow; past arrivals decay to 1/e within aSeconds.
double RateAt(const DecayingRate& aRate, double aSeconds, Time aNow);

/// Adds an arrival of the given amount.
void AddArrival(DecayingRate& aRate, double aAmount, double aSeconds, Time aNow);

/// What one of several parties asks of a capacity.
struct Claim
{
  double mDemand = 0;
  double mWeight = 1;
};

/// Divides a capacity by weighted max-min fairness (water filling): no claim is met beyond its
/// demand, and what some do not need is divided among the others in proportion to their weights.
/// In addition no claim is met to less than half the fraction of another, as far as that is
/// possible. If the capacity exceeds the sum of the demands, it is divided in proportion to them.
/// The result has the order of the claims; its sum is the capacity if any claim has a demand.
std::vector<double> Divide(double aCapacity, const std::vector<Claim>& aClaims);

/// Jobs of one kind, data centre of callers and size.
struct ShareClass
{
  DecayingRate mDemand;
  double mFraction = 1; ///< Fraction of its jobs that its share admits.
  double mCredit = 0;   ///< Admissions that it is entitled to; grows by the fraction with each job.
};

struct ShareKind
{
  std::uint32_t mPriority = 0;
  DecayingRate mDemand;
  /// Estimate of the 90th percentile of the work of a job, as a natural logarithm.
  double mLargeLogWork = 0;
  std::uint64_t mArrivals = 0;
  /// By the callers' data centre; true for jobs of the largest tenth.
  std::map<std::pair<std::string, bool>, ShareClass> mClasses;
};

/// The shares of one service.
struct Shares
{
  bool mShort = false;
  double mCapacity = 0; ///< As estimated from the upstreams.
  /// Factor on the capacity. It falls while the queue is long and rises while it is short, which
  /// makes up for errors of the estimates of capacity and work.
  double mGain = 1;
  DecayingRate mDemand;
  std::map<std::string, ShareKind, std::less<>> mKinds;
  Time mDividedAt{};  ///< When the fractions were last computed.
  Time mBelowSince{}; ///< In a shortage: since when demand has been low enough for its end.
};

/// The kind and class of one job. Valid as long as the Shares.
struct ShareOf
{
  ShareKind* mKind = nullptr;
  ShareClass* mClass = nullptr;

  friend bool operator==(const ShareOf&, const ShareOf&) = default;
};

/// The name under which a kind is counted: empty for kinds beyond a limit.
std::string KindName(const Shares& aShares, std::string_view aKind);

/// Counts the demand of a submitted job and returns its class. Kinds and data centres beyond a
/// limit share one class.
ShareOf CountDemand(Shares& aShares,
                    std::string_view aKind,
                    std::uint32_t aPriority,
                    std::string_view aDataCentre,
                    double aWork,
                    Time aNow);

/// Demand as a fraction of the capacity; 0 without capacity.
double DemandRatio(const Shares& aShares, Time aNow);

/// Whether demand is so high that a shortage may begin.
bool IsNearCapacity(const Shares& aShares, Time aNow);

/// Begins a shortage when demand is near the capacity and a job could not start in time. Ends it
/// when demand has been clearly lower, or the queue short, for a while: the capacity is an
/// estimate. Returns whether the state has changed. The queue is as in DivideIfDue.
bool UpdateShortage(Shares& aShares, bool aJobIsLate, Duration aQueue, Time aNow);

/// Computes the fractions of the classes if the last ones are old. Does nothing outside a shortage.
/// The queue is the time that its work takes at the estimated capacity.
void DivideIfDue(Shares& aShares, Duration aQueue, Time aNow);

/// Credits the class with a submitted job. Returns whether its share admits the job.
bool CreditShare(const ShareOf& aShare);

/// Charges an admitted job to its class.
void ChargeShare(const ShareOf& aShare);

} // namespace pollenwall::admission
