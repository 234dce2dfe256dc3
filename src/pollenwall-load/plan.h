#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// What to submit and when, drawn from a seed.
namespace pollenwall::load {

/// From mFrom on, the offered rate.
struct RateStep
{
  double mFromSeconds = 0;
  double mTasksPerSecond = 0;

  friend bool operator==(const RateStep&, const RateStep&) = default;
};

struct PlanOptions
{
  std::uint64_t mSeed = 1;
  std::uint64_t mRun = 0; ///< Distinguishes the ids and keys of runs against the same workers.
  std::vector<RateStep> mRates{ { 0, 100 } };
  double mSeconds = 10;
  std::uint64_t mMaxJobs = 1000000;
  double mFixedRunMs = -1; ///< Below 0 draws run times from the lognormal distribution.
  double mRunLowMs = 50; ///< The middle 95% of run times lies between the two; others are clamped.
  double mRunHighMs = 1000;
  std::uint32_t mFixedSize = 0; ///< 0 draws sizes from the geometric distribution.
  double mMedianSize = 4;
  std::uint32_t mMaxSize = 190;
  double mDeclaredFactor = 1; ///< Declared times are off by up to this factor.
  double mCallerIdRatio = 0;  ///< Share of jobs with an id chosen by the caller.
  double mCancelRatio = 0;    ///< Share of those that are cancelled in each wave.
  std::vector<double> mCancelAtSeconds;
  std::vector<std::string> mTeams{ "team" };
  std::vector<std::string> mKinds{ "kind" };
  std::vector<std::string> mHomes; ///< Data centres of caller-chosen ids.
};

struct PlannedTask
{
  double mRunMs = 0;
  std::int64_t mDeclaredMs = 0;
};

struct PlannedJob
{
  std::uint64_t mNumber = 0;
  std::chrono::nanoseconds mAt{ 0 }; ///< Since the start.
  std::string mTeam;
  std::string mKind;
  std::string mId; ///< Empty when an entry has to mint one.
  std::vector<PlannedTask> mTasks;
};

struct Plan
{
  PlanOptions mOptions;
  std::mt19937_64 mRandom;
  std::uint64_t mNext = 0;
  double mAtSeconds = 0;
};

Plan MakePlan(PlanOptions aOptions);

/// Draws the next job in the order of time; nothing after the last. aTimed false gives jobs
/// without arrival times, for a closed loop.
std::optional<PlannedJob> NextJob(Plan& aPlan, bool aTimed);

/// Parses "SECONDS:TASKS_PER_SECOND,...", seconds rising from 0. Returns nothing when not valid.
std::optional<std::vector<RateStep>> ParseRates(std::string_view aText);

/// Mean size of the jobs of a plan, from the distribution.
double MeanJobSize(const PlanOptions& aOptions);

/// The name under which a worker counts a task's starts, and which it echoes.
std::string TaskKey(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask);

/// The payload of a task for the stand-in worker.
std::string TaskPayload(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask, double aRunMs);

} // namespace pollenwall::load
