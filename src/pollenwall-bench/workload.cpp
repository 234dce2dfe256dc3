#include "workload.h"

#include <algorithm>
#include <cmath>

namespace pollenwall::bench {
namespace {

constexpr double kMedianShortSeconds = 0.224;
constexpr double kShortSigma = 0.7;
constexpr double kMinShortSeconds = 0.05;
constexpr double kMaxShortSeconds = 1;
constexpr double kMinLongSeconds = 5;
constexpr double kMaxLongSeconds = 60;
constexpr double kMeanLongExcessSeconds = 11;
constexpr std::uint32_t kMaxJobSize = 190;
constexpr int kMeanSamples = 200000;
constexpr std::uint64_t kMeanSeed = 1;
constexpr int kJobsPerMislabelledJob = 20;

double Uniform(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

std::int64_t DrawDeclaredMs(Micros aRun, double aError, std::mt19937_64& aRandom)
{
  const double factor = std::pow(aError, 2 * Uniform(aRandom) - 1);
  return std::max<std::int64_t>(1, std::llround(static_cast<double>(aRun) * factor / kMillisecond));
}

template<typename Draw>
double MeanOf(Draw aDraw)
{
  std::mt19937_64 random(kMeanSeed);
  double sum = 0;
  for (int n = 0; n < kMeanSamples; ++n) {
    sum += static_cast<double>(aDraw(random));
  }
  return sum / kMeanSamples;
}

Micros NextArrival(Micros aNow, double aPerSecond, std::mt19937_64& aRandom)
{
  const double gap = std::exponential_distribution<double>(aPerSecond)(aRandom);
  return aNow + std::max<Micros>(1, std::llround(gap * kSecond));
}

} // namespace

double MeanShortRunSeconds()
{
  static const double mean = MeanOf(DrawShortRun) / kSecond;
  return mean;
}

double MeanJobSize()
{
  static const double mean = MeanOf(DrawJobSize);
  return mean;
}

Micros DrawShortRun(std::mt19937_64& aRandom)
{
  std::lognormal_distribution<double> draw(std::log(kMedianShortSeconds), kShortSigma);
  double seconds = draw(aRandom);
  while (seconds < kMinShortSeconds || seconds > kMaxShortSeconds) {
    seconds = draw(aRandom);
  }
  return std::llround(seconds * kSecond);
}

Micros DrawLongRun(std::mt19937_64& aRandom)
{
  const double excess = std::exponential_distribution<double>(1 / kMeanLongExcessSeconds)(aRandom);
  return std::llround(std::min(kMinLongSeconds + excess, kMaxLongSeconds) * kSecond);
}

std::uint32_t DrawJobSize(std::mt19937_64& aRandom)
{
  // P(size <= 4) = 1/2 for success probability 1 - 2^(-1/4).
  static const double success = 1 - std::pow(0.5, 0.25);
  const auto failures = std::geometric_distribution<std::uint32_t>(success)(aRandom);
  return std::min(failures + 1, kMaxJobSize);
}

void AddShortJobs(std::vector<JobLoad>& aJobs,
                  const ShortJobStream& aStream,
                  Micros aFrom,
                  Micros aTo,
                  std::mt19937_64& aRandom,
                  const std::function<double(Micros)>& aRate,
                  double aMaxRate)
{
  const double jobsPerSecond = aStream.mTasksPerSecond / MeanJobSize() * aMaxRate;
  for (Micros at = NextArrival(aFrom, jobsPerSecond, aRandom); at < aTo;
       at = NextArrival(at, jobsPerSecond, aRandom)) {
    // Thinning: an arrival at the maximum rate is kept with probability rate / maximum rate.
    if (aRate && Uniform(aRandom) * aMaxRate > aRate(at)) {
      continue;
    }
    JobLoad job;
    job.mAt = at;
    job.mEntry = static_cast<std::uint32_t>(aRandom() >> 32U);
    job.mTeam = aStream.mFirstTeam + static_cast<std::uint32_t>(aRandom() % aStream.mTeams);
    job.mKind = aStream.mKind;
    job.mDeadlineMs = aStream.mDeadlineMs;
    const auto tasks = DrawJobSize(aRandom);
    for (std::uint32_t n = 0; n < tasks; ++n) {
      const auto run = DrawShortRun(aRandom);
      job.mTasks.push_back(
        { run, DrawDeclaredMs(run, aStream.mDeclaredErrorFactor, aRandom), false });
    }
    aJobs.push_back(std::move(job));
  }
}

void AddLongJobs(std::vector<JobLoad>& aJobs,
                 double aTasksPerSecond,
                 Micros aFrom,
                 Micros aTo,
                 std::mt19937_64& aRandom)
{
  constexpr double kMeanTasks = 1.5;
  constexpr std::int64_t kDeadlineMs = 600000;
  constexpr double kDeclaredErrorFactor = 10;
  const double jobsPerSecond = aTasksPerSecond / kMeanTasks;
  for (Micros at = NextArrival(aFrom, jobsPerSecond, aRandom); at < aTo;
       at = NextArrival(at, jobsPerSecond, aRandom)) {
    JobLoad job;
    job.mAt = at;
    job.mEntry = static_cast<std::uint32_t>(aRandom() >> 32U);
    job.mTeam = static_cast<std::uint32_t>(aRandom() % 10);
    job.mKind = aRandom() % kJobsPerMislabelledJob == 0 ? "check" : "reshuffle";
    job.mDeadlineMs = kDeadlineMs;
    const auto tasks = 1 + aRandom() % 2;
    for (std::uint64_t n = 0; n < tasks; ++n) {
      const auto run = DrawLongRun(aRandom);
      job.mTasks.push_back({ run, DrawDeclaredMs(run, kDeclaredErrorFactor, aRandom), true });
    }
    aJobs.push_back(std::move(job));
  }
}

void SortByTime(std::vector<JobLoad>& aJobs)
{
  std::stable_sort(aJobs.begin(), aJobs.end(), [](const JobLoad& aOne, const JobLoad& aOther) {
    return aOne.mAt < aOther.mAt;
  });
}

} // namespace pollenwall::bench
