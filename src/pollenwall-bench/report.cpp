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

bool HasLong(const JobLoad& aJob)
{
  return std::any_of(
    aJob.mTasks.begin(), aJob.mTasks.end(), [](const TaskLoad& aTask) { return aTask.mLong; });
}

/// Five decimals and no exponent, which some readers of JSON lines reject.
std::string Number(double aValue)
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
  const auto ideal = longest + 2 * (deployment.mToCaller + deployment.mToWorker);
  const auto& result = aExperiment.mResults[aJob];
  return static_cast<double>(result.mAnsweredAt - result.mSentAt) / static_cast<double>(ideal);
}

double QuantileOf(std::vector<double> aValues, double aQuantile)
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
    const bool counts = InWindow(job, aWindow) && !job.mDisturbance;
    if (!counts || !aExperiment.mResults[n].mComplete || (aShortOnly && HasLong(job))) {
      continue;
    }
    values.push_back(Slowdown(aExperiment, n));
  }
  return values;
}

Figures Measure(const Experiment& aExperiment, const Window& aWindow, double aCapacityPerSecond)
{
  Figures figures;
  double offered = 0;
  double done = 0;
  for (std::uint32_t n = 0; n < aExperiment.mJobs->size(); ++n) {
    const auto& job = (*aExperiment.mJobs)[n];
    if (!InWindow(job, aWindow) || job.mDisturbance) {
      continue;
    }
    const auto& result = aExperiment.mResults[n];
    double work = 0;
    for (const auto& task : job.mTasks) {
      work += static_cast<double>(task.mRun) / kSecond;
    }
    offered += work;
    ++figures.mJobs;
    figures.mTasks += job.mTasks.size();
    if (result.mAnsweredAt < 0) {
      ++figures.mUnanswered;
    } else if (result.mRefused) {
      ++figures.mRefused;
    } else if (!result.mComplete) {
      ++figures.mFailed;
    } else {
      ++figures.mComplete;
      const bool late = result.mAnsweredAt - result.mSentAt > job.mDeadlineMs * kMillisecond;
      figures.mLate += late ? 1 : 0;
      done += late ? 0 : work;
    }
  }
  const double seconds = static_cast<double>(aWindow.mTo - aWindow.mFrom) / kSecond;
  const double slots = TotalSlots(aExperiment.mPlatform.mDeployment);
  figures.mLoad = offered / (slots * seconds);
  figures.mGoodputRatio = offered > 0 ? done / std::min(offered, aCapacityPerSecond * seconds) : 0;
  auto all = Slowdowns(aExperiment, aWindow, false);
  figures.mSlowdownP50 = QuantileOf(all, 0.5);
  figures.mSlowdownP99 = QuantileOf(std::move(all), 0.99);
  figures.mShortSlowdownP99 = QuantileOf(Slowdowns(aExperiment, aWindow, true), 0.99);
  const auto wasted = aExperiment.mWastedMessages + aExperiment.mPlatform.mRefusals;
  std::uint64_t tasks = 0;
  for (const auto& job : *aExperiment.mJobs) {
    tasks += job.mTasks.size();
  }
  figures.mWastedPerTask =
    static_cast<double>(wasted) / static_cast<double>(std::max<std::uint64_t>(tasks, 1));
  return figures;
}

std::string Line(const std::string& aScenario,
                 const std::string& aPolicy,
                 const Experiment& aExperiment,
                 const Figures& aFigures,
                 const Extras& aExtras,
                 const std::vector<std::string>& aMissedBounds)
{
  Extras numbers{
    { "tasks", static_cast<double>(aFigures.mTasks) },
    { "jobs", static_cast<double>(aFigures.mJobs) },
    { "load", aFigures.mLoad },
    { "slowdown_p50", aFigures.mSlowdownP50 },
    { "slowdown_p99", aFigures.mSlowdownP99 },
    { "short_slowdown_p99", aFigures.mShortSlowdownP99 },
    { "wasted_messages_per_task", aFigures.mWastedPerTask },
    { "goodput_ratio", aFigures.mGoodputRatio },
    { "late_answers", static_cast<double>(aFigures.mLate) },
    { "duplicate_starts", static_cast<double>(aExperiment.mPlatform.mDuplicateStarts) },
    { "wrong_verdicts", static_cast<double>(aExperiment.mWrongVerdicts) },
    { "complete", static_cast<double>(aFigures.mComplete) },
    { "failed", static_cast<double>(aFigures.mFailed) },
    { "refused", static_cast<double>(aFigures.mRefused) },
    { "unanswered", static_cast<double>(aFigures.mUnanswered) },
    { "worker_refusals", static_cast<double>(aExperiment.mPlatform.mRefusals) },
    { "heartbeats", static_cast<double>(aExperiment.mHeartbeats) },
    { "seed", static_cast<double>(aExperiment.mSeed) },
  };
  for (const auto& [code, count] : aExperiment.mRefusalsByCode) {
    numbers.emplace_back("refusals_" + code, static_cast<double>(count));
  }
  numbers.insert(numbers.end(), aExtras.begin(), aExtras.end());
  std::string line = "{\"scenario\":\"" + aScenario + "\",\"policy\":\"" + aPolicy + "\"";
  for (const auto& [name, value] : numbers) {
    line += ",\"" + name + "\":" + Number(value);
  }
  line += ",\"missed_bounds\":[";
  for (const auto& bound : aMissedBounds) {
    line += (line.back() == '[' ? "\"" : ",\"") + bound + "\"";
  }
  return line + "]}";
}

} // namespace pollenwall::bench
