#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// Jobs to submit and their arrival times, generated from a seed.
namespace pollenwall::load {

/// The offered rate from mFromSeconds on.
struct RateStep
{
  double mFromSeconds = 0;
  double mTasksPerSecond = 0;

  friend bool operator==(const RateStep&, const RateStep&) = default;
};

struct PlanOptions
{
  std::uint64_t mSeed = 1;
  std::uint64_t mRun = 0; ///< Keeps ids and keys of runs against the same workers distinct.
  std::vector<RateStep> mRates{ { 0, 100 } };
  double mSeconds = 10;
  std::uint64_t mMaxJobs = 1000000;
  double mFixedRunMs = -1; ///< Below 0: lognormal run times.
  double mRunLowMs = 50;   ///< 95% of run times lie between the two limits; the rest are clamped.
  double mRunHighMs = 1000;
  std::uint32_t mFixedSize = 0; ///< 0: geometric sizes.
  double mMedianSize = 4;
  std::uint32_t mMaxSize = 190;
  double mDeclaredFactor = 1; ///< Declared run times deviate by up to this factor either way.
  double mCallerIdRatio = 0;  ///< Fraction of jobs with an id chosen by the caller.
  /// Probability with which a wave cancels each job in flight that has an id chosen by the caller.
  double mCancelRatio = 0;
  std::vector<double> mCancelAtSeconds; ///< Times of the waves of cancellations.
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
  std::chrono::nanoseconds mAt{ 0 }; ///< Arrival time since the start of the run.
  std::string mTeam;
  std::string mKind;
  std::string mId; ///< Empty if an entry generates the id.
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

/// Generates the next job in order of arrival; returns nothing after the last one. If aTimed is
/// false, jobs have no arrival time, for a closed loop.
std::optional<PlannedJob> NextJob(Plan& aPlan, bool aTimed);

/// Parses "SECONDS:TASKS_PER_SECOND,..." with seconds that start at 0 and increase. Returns nothing
/// if the text is not valid.
std::optional<std::vector<RateStep>> ParseRates(std::string_view aText);

/// Expected number of tasks per job of a plan.
double MeanJobSize(const PlanOptions& aOptions);

/// The key under which a stand-in worker counts the starts of a task, and which its result echoes.
std::string TaskKey(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask);

/// The payload of a task for the stand-in worker.
std::string TaskPayload(std::uint64_t aRun, std::uint64_t aJob, std::size_t aTask, double aRunMs);

} // namespace pollenwall::load
