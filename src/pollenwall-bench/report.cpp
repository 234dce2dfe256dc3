#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace pollenwall::bench {
namespace {

bool InWindow(const JobLoad& aJob, const Window& aWindow)
{
  return aJob.mAt >= aWindow.mFrom && aJob.mAt < aWindow.mTo;
}

bool HasLongTask(const JobLoad& aJob)
{
  return std::any_of(
    aJob.mTasks.begin(), aJob.mTasks.end(), [](const TaskLoad& aTask) { return aTask.mLong; });
}

/// Five decimals and no exponent, because some readers of JSON lines reject exponents.
std::string FormatNumber(double aValue)
{
  char buf[40];
  if (aValue == std::floor(aValue)) {
    std::snprintf(buf, sizeof buf, "%.0f", aValue);
  } else {
    std::snprintf(buf, sizeof buf, "%.5f", aValue);
  }
  return buf;
}

} // namespace

double Slowdown(const Experiment& aExperiment, std::uint32_t aJob)
{
  const auto& job = (*aExperiment.mJobs)[aJob];
  const auto& deployment = aExperiment.mPlatform.mDeployment;
  Micros longest = 0;
  for (const auto& task : job.mTasks) {
    longest = std::max(longest, task.mRun);
  }
  const auto ideal = longest + 2 * (deployment.mCallerLatency + deployment.mWorkerLatency);
  const auto& result = aExperiment.mResults[aJob];
  return static_cast<double>(result.mAnsweredAt - result.mSentAt) / static_cast<double>(ideal);
}

double Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto n = static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[n];
}

std::vector<double> Slowdowns(const Experiment& aExperiment, const Window& aWindow, bool aShortOnly)
{
  std::vector<double> values;
  for (std::uint32_t n = 0; n < aExperiment.mJobs->size(); ++n) {
    const auto& job = (*aExperiment.mJobs)[n];
    const bool counts = InWindow(job, aWindow) && !job.mInterfering;
    if (!counts || !aExperiment.mResults[n].mComplete || (aShortOnly && HasLongTask(job))) {
      continue;
    }
    values.push_back(Slowdown(aExperiment, n));
  }
  return values;
}

Statistics ComputeStatistics(const Experiment& aExperiment,
                             const Window& aWindow,
                             double aCapacityPerSecond)
{
  Statistics statistics;
  double offered = 0;
  double done = 0;
  for (std::uint32_t n = 0; n < aExperiment.mJobs->size(); ++n) {
    const auto& job = (*aExperiment.mJobs)[n];
    if (!InWindow(job, aWindow) || job.mInterfering) {
      continue;
    }
    const auto& result = aExperiment.mResults[n];
    double work = 0;
    for (const auto& task : job.mTasks) {
      work += static_cast<double>(task.mRun) / kSecond;
    }
    offered += work;
    ++statistics.mJobs;
    statistics.mTasks += job.mTasks.size();
    if (result.mAnsweredAt < 0) {
      ++statistics.mUnanswered;
    } else if (result.mRefused) {
      ++statistics.mRefused;
    } else if (!result.mComplete) {
      ++statistics.mFailed;
    } else {
      ++statistics.mComplete;
      const bool late = result.mAnsweredAt - result.mSentAt > job.mDeadlineMs * kMillisecond;
      statistics.mLate += late ? 1 : 0;
      done += late ? 0 : work;
    }
  }
  const double seconds = static_cast<double>(aWindow.mTo - aWindow.mFrom) / kSecond;
  const double slots = TotalSlots(aExperiment.mPlatform.mDeployment);
  statistics.mLoad = offered / (slots * seconds);
  statistics.mGoodputRatio =
    offered > 0 ? done / std::min(offered, aCapacityPerSecond * seconds) : 0;
  auto all = Slowdowns(aExperiment, aWindow, false);
  statistics.mSlowdownP50 = Quantile(all, 0.5);
  statistics.mSlowdownP99 = Quantile(std::move(all), 0.99);
  statistics.mShortSlowdownP99 = Quantile(Slowdowns(aExperiment, aWindow, true), 0.99);
  const auto wasted = aExperiment.mWastedMessages + aExperiment.mPlatform.mRefusals;
  std::uint64_t tasks = 0;
  for (const auto& job : *aExperiment.mJobs) {
    tasks += job.mTasks.size();
  }
  statistics.mWastedPerTask =
    static_cast<double>(wasted) / static_cast<double>(std::max<std::uint64_t>(tasks, 1));
  return statistics;
}

std::string JsonLine(const std::string& aScenario,
                     const std::string& aPolicy,
                     const Experiment& aExperiment,
                     const Statistics& aStatistics,
                     const Fields& aFields,
                     const std::vector<std::string>& aMissedBounds)
{
  Fields numbers{
    { "tasks", static_cast<double>(aStatistics.mTasks) },
    { "jobs", static_cast<double>(aStatistics.mJobs) },
    { "load", aStatistics.mLoad },
    { "slowdown_p50", aStatistics.mSlowdownP50 },
    { "slowdown_p99", aStatistics.mSlowdownP99 },
    { "short_slowdown_p99", aStatistics.mShortSlowdownP99 },
    { "wasted_messages_per_task", aStatistics.mWastedPerTask },
    { "goodput_ratio", aStatistics.mGoodputRatio },
    { "late_answers", static_cast<double>(aStatistics.mLate) },
    { "duplicate_starts", static_cast<double>(aExperiment.mPlatform.mDuplicateStarts) },
    { "wrong_verdicts", static_cast<double>(aExperiment.mWrongVerdicts) },
    { "complete", static_cast<double>(aStatistics.mComplete) },
    { "failed", static_cast<double>(aStatistics.mFailed) },
    { "refused", static_cast<double>(aStatistics.mRefused) },
    { "unanswered", static_cast<double>(aStatistics.mUnanswered) },
    { "worker_refusals", static_cast<double>(aExperiment.mPlatform.mRefusals) },
    { "heartbeats", static_cast<double>(aExperiment.mHeartbeats) },
    { "seed", static_cast<double>(aExperiment.mSeed) },
  };
  for (const auto& [code, count] : aExperiment.mRefusalsByCode) {
    numbers.emplace_back("refusals_" + code, static_cast<double>(count));
  }
  numbers.insert(numbers.end(), aFields.begin(), aFields.end());
  std::string line = "{\"scenario\":\"" + aScenario + "\",\"policy\":\"" + aPolicy + "\"";
  for (const auto& [name, value] : numbers) {
    line += ",\"" + name + "\":" + FormatNumber(value);
  }
  line += ",\"missed_bounds\":[";
  for (const auto& bound : aMissedBounds) {
    line += (line.back() == '[' ? "\"" : ",\"") + bound + "\"";
  }
  return line + "]}";
}

} // namespace pollenwall::bench
