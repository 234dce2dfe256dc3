#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "clock.h"

/// The arrivals of an experiment, made from a seed and equal for every policy.
namespace pollenwall::bench {

struct TaskLoad
{
  Micros mRun = 0; ///< True run time on a healthy worker.
  std::int64_t mDeclaredMs = 0;
  bool mLong = false;
};

struct JobLoad
{
  Micros mAt = 0;           ///< When the caller sends it.
  std::uint32_t mEntry = 0; ///< The entry that the balancer picks, modulo their number.
  std::uint32_t mTeam = 0;
  std::string mKind;
  std::int64_t mDeadlineMs = 0;
  std::vector<TaskLoad> mTasks;
  Micros mCancelAt = -1;     ///< When the caller cancels it; negative for never.
  bool mDisturbance = false; ///< Part of what disturbs the others; left out of their figures.
};

/// Parameters of a stream of short jobs.
struct ShortJobs
{
  double mTasksPerSecond = 0;
  std::int64_t mDeadlineMs = 10000;
  double mDeclaredError = 10; ///< Declared run times are off by up to this factor, either way.
  std::uint32_t mTeams = 10;
  std::uint32_t mFirstTeam = 0;
  std::string mKind = "check";
};

/// Mean run time of a short task in seconds, and mean number of tasks of a job, of the
/// distributions below.
double MeanShortRunSeconds();
double MeanJobTasks();

/// Lognormal between 50 ms and 1 s with a median of 224 ms.
Micros ShortRun(std::mt19937_64& aRandom);

/// 5 s to 60 s, mean about 16 s.
Micros LongRun(std::mt19937_64& aRandom);

/// Geometric with a median of 4, cut at 190.
std::uint32_t JobTasks(std::mt19937_64& aRandom);

/// Poisson arrivals of short jobs between two times at a rate that may vary: aRate scales the
/// stream's rate and is at most aMostRate.
void AddShortJobs(std::vector<JobLoad>& aJobs,
                  const ShortJobs& aStream,
                  Micros aFrom,
                  Micros aTo,
                  std::mt19937_64& aRandom,
                  const std::function<double(Micros)>& aRate = {},
                  double aMostRate = 1);

/// Poisson arrivals of jobs of one or two long tasks. One in twenty carries the short jobs' kind.
void AddLongJobs(std::vector<JobLoad>& aJobs,
                 double aTasksPerSecond,
                 Micros aFrom,
                 Micros aTo,
                 std::mt19937_64& aRandom);

/// Sorts by time; equal times keep their order.
void SortByTime(std::vector<JobLoad>& aJobs);

} // namespace pollenwall::bench
