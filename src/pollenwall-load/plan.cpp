#include "plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pollenwall::load {
namespace {

/// Uniform in (0, 1]. Standard distributions are avoided because they differ between library
/// versions.
double Uniform(std::mt19937_64& aRandom)
{
  return (static_cast<double>(aRandom() >> 11) + 1) * 0x1p-53;
}

double Normal(std::mt19937_64& aRandom)
{
  constexpr double kPi = 3.14159265358979323846;
  const double radius = std::sqrt(-2 * std::log(Uniform(aRandom)));
  return radius * std::cos(2 * kPi * Uniform(aRandom));
}

/// Success probability of the geometric distribution with the given median of the job size.
double StopProbability(double aMedian)
{
  return 1 - std::pow(0.5, 1 / aMedian);
}

std::uint32_t DrawSize(const PlanOptions& aOptions, std::mt19937_64& aRandom)
{
  if (aOptions.mFixedSize > 0) {
    return aOptions.mFixedSize;
  }
  const double p = StopProbability(aOptions.mMedianSize);
  const double n = std::ceil(std::log(Uniform(aRandom)) / std::log(1 - p));
  return static_cast<std::uint32_t>(std::clamp(n, 1.0, double(aOptions.mMaxSize)));
}

double DrawRunMs(const PlanOptions& aOptions, std::mt19937_64& aRandom)
{
  if (aOptions.mFixedRunMs >= 0) {
    return aOptions.mFixedRunMs;
  }
  constexpr double kSigmaRange = 4; // Standard deviations from 2 below the mean to 2 above: 95%.
  const double low = std::log(aOptions.mRunLowMs);
  const double high = std::log(aOptions.mRunHighMs);
  const double drawn = (low + high) / 2 + Normal(aRandom) * (high - low) / kSigmaRange;
  // Rounds to whole microseconds so that the payload's text is short and exact.
  return std::round(std::exp(std::clamp(drawn, low, high)) * 1000) / 1000;
}

const std::string& Pick(const std::vector<std::string>& aNames, std::mt19937_64& aRandom)
{
  return aNames[aRandom() % aNames.size()];
}

double RateAt(const std::vector<RateStep>& aRates, double aSeconds)
{
  double rate = 0;
  for (const auto& step : aRates) {
    if (step.mFromSeconds <= aSeconds) {
      rate = step.mTasksPerSecond;
    }
  }
  return rate;
}

/// Next arrival of a Poisson process whose rate changes in steps. Integrates the rate over the
/// steps until the integral reaches an exponentially distributed value.
double NextArrival(const PlanOptions& aOptions, double aFrom, std::mt19937_64& aRandom)
{
  double remaining = -std::log(Uniform(aRandom)) * MeanJobSize(aOptions);
  double at = aFrom;
  while (at < aOptions.mSeconds) {
    double end = aOptions.mSeconds;
    for (const auto& step : aOptions.mRates) {
      if (step.mFromSeconds > at) {
        end = std::min(end, step.mFromSeconds);
      }
    }
    const double rate = RateAt(aOptions.mRates, at);
    if (rate * (end - at) >= remaining) {
      return at + remaining / rate;
    }
    remaining -= rate * (end - at);
    at = end;
  }
  return at;
}

} // namespace

Plan MakePlan(PlanOptions aOptions)
{
  Plan plan;
  plan.mRandom.seed(aOptions.mSeed);
  plan.mOptions = std::move(aOptions);
  return plan;
}

std::optional<PlannedJob> NextJob(Plan& aPlan, bool aTimed)
{
  const auto& options = aPlan.mOptions;
  auto& random = aPlan.mRandom;
  if (aPlan.mNext >= options.mMaxJobs) {
    return std::nullopt;
  }
  PlannedJob job;
  if (aTimed) {
    aPlan.mAtSeconds = NextArrival(options, aPlan.mAtSeconds, random);
    if (aPlan.mAtSeconds >= options.mSeconds) {
      return std::nullopt;
    }
    job.mAt = std::chrono::nanoseconds(std::llround(aPlan.mAtSeconds * 1e9));
  }
  job.mNumber = aPlan.mNext++;
  job.mTeam = Pick(options.mTeams, random);
  job.mKind = Pick(options.mKinds, random);
  if (Uniform(random) <= options.mCallerIdRatio && !options.mHomes.empty()) {
    job.mId = Pick(options.mHomes, random) + ":load-" + std::to_string(options.mRun) + "-" +
              std::to_string(job.mNumber);
  }
  const auto size = DrawSize(options, random);
  job.mTasks.reserve(size);
  for (std::uint32_t n = 0; n < size; ++n) {
    PlannedTask task;
    task.mRunMs = DrawRunMs(options, random);
    const double factor = std::pow(options.mDeclaredFactor, 2 * Uniform(random) - 1);
    task.mDeclaredMs = std::max<std::int64_t>(1, std::llround(task.mRunMs * factor));
    job.mTasks.push_back(task);
  }
  return job;
}

std::optional<std::vector<RateStep>> ParseRates(std::string_view aText)
{
  std::vector<RateStep> rates;
  while (!aText.empty()) {
    const auto item = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(item.size() + 1, aText.size()));
    const auto colon = item.find(':');
    if (colon == std::string_view::npos) {
      return std::nullopt;
    }
    RateStep step;
    const auto* last = item.data() + item.size();
    const auto from = std::from_chars(item.data(), item.data() + colon, step.mFromSeconds);
    const auto rate = std::from_chars(item.data() + colon + 1, last, step.mTasksPerSecond);
    if (from.ec != std::errc() || from.ptr != item.data() + colon || rate.ec != std::errc() ||
        rate.ptr != last || !(step.mTasksPerSecond >= 0)) {
      return std::nullopt;
    }
    const bool inOrder =
      rates.empty() ? step.mFromSeconds == 0 : step.mFromSeconds > rates.back().mFromSeconds;
    if (!inOrder) {
      return std::nullopt;
    }
    rates.push_back(step);
  }
  return rates.empty() ? std::nullopt : std::optional(rates);
}

double MeanJobSize(const PlanOptions& aOptions)
{
  if (aOptions.mFixedSize > 0) {
    return aOptions.mFixedSize;
  }
  // Sum over n from 0 to mMaxSize - 1 of the probability that a job has more than n tasks.
  const double p = StopProbability(aOptions.mMedianSize);
  return (1 - std::pow(1 - p, aOptions.mMaxSize)) / p;
}

std::string TaskKey(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask)
{
  std::string key = std::to_string(aRun);
  key += '/';
  key += std::to_string(aJob);
  key += '/';
  key += std::to_string(aTask);
  return key;
}

std::string TaskPayload(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask, double aRunMs)
{
  char buf[32];
  const auto end = std::to_chars(buf, buf + sizeof buf, aRunMs).ptr;
  return R"({"run_ms":)" + std::string(buf, end) + R"(,"key":")" + TaskKey(aRun, aJob, aTask) +
         "\"}";
}

} // namespace pollenwall::load
