#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "clock.h"

/// Arrivals of an experiment, generated from a seed and identical for every policy.
namespace pollenwall::bench {

struct TaskLoad
{
  Micros mRun = 0; ///< Actual run time on a healthy worker.
  std::int64_t mDeclaredMs = 0;
  bool mLong = false;
};

struct JobLoad
{
  Micros mAt = 0;           ///< When the caller sends the job.
  std::uint32_t mEntry = 0; ///< Entry chosen by the load balancer, modulo the number of entries.
  std::uint32_t mTeam = 0;
  std::string mKind;
  std::int64_t mDeadlineMs = 0;
  std::vector<TaskLoad> mTasks;
  /// When the caller cancels the job; negative for never. A job with a cancellation, even one after
  /// the end of the run, is submitted without waiting for its answer.
  Micros mCancelAt = -1;
  bool mInterfering = false; ///< Part of the interfering load; not in the statistics.
};

/// Parameters of a stream of short jobs.
struct ShortJobStream
{
  double mTasksPerSecond = 0;
  std::int64_t mDeadlineMs = 10000;
  double mDeclaredErrorFactor = 10; ///< Declared run times deviate by up to this factor either way.
  std::uint32_t mTeams = 10;
  std::uint32_t mFirstTeam = 0;
  std::string mKind = "check";
};

/// Mean run time of a short task in seconds and mean number of tasks per job for the distributions
/// below.
double MeanShortRunSeconds();
double MeanJobSize();

/// Lognormal with a median of 224 ms; values outside 50 ms to 1 s are drawn again.
Micros DrawShortRun(std::mt19937_64& aRandom);

/// 5 s plus an exponential part, capped at 60 s; the mean is about 16 s.
Micros DrawLongRun(std::mt19937_64& aRandom);

/// Geometric with a median of 4, capped at 190.
std::uint32_t DrawJobSize(std::mt19937_64& aRandom);

/// Adds Poisson arrivals of short jobs between two times. aRate is a time-dependent factor of the
/// stream's rate and never exceeds aMaxRate.
void AddShortJobs(std::vector<JobLoad>& aJobs,
                  const ShortJobStream& aStream,
                  Micros aFrom,
                  Micros aTo,
                  std::mt19937_64& aRandom,
                  const std::function<double(Micros)>& aRate = {},
                  double aMaxRate = 1);

/// Adds Poisson arrivals of jobs with one or two long tasks. One job in twenty has the kind of the
/// short jobs.
void AddLongJobs(std::vector<JobLoad>& aJobs,
                 double aTasksPerSecond,
                 Micros aFrom,
                 Micros aTo,
                 std::mt19937_64& aRandom);

/// Sorts by send time; the sort is stable.
void SortByTime(std::vector<JobLoad>& aJobs);

} // namespace pollenwall::bench
