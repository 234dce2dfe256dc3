#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <boost/json.hpp>

namespace pollenwall::load {
namespace {

/// Six significant digits to keep lines short.
std::string FormatNumber(double aValue)
{
  char buf[40];
  std::snprintf(buf, sizeof buf, "%.6g", std::isfinite(aValue) ? aValue : 0.0);
  return buf;
}

std::string FormatRatio(double aPart, double aWhole)
{
  return FormatNumber(aWhole > 0 ? aPart / aWhole : 0);
}

/// Builder of a JSON object. Boost.JSON prints every floating-point number with an exponent, which
/// is hard to read.
struct JsonObject
{
  std::string mText;

  void Add(std::string_view aName, std::string_view aJson)
  {
    mText.append(mText.empty() ? "{\"" : ",\"").append(aName).append("\":").append(aJson);
  }
  void Add(std::string_view aName, std::uint64_t aNumber) { Add(aName, std::to_string(aNumber)); }
  void AddText(std::string_view aName, std::string_view aText)
  {
    Add(aName, boost::json::serialize(boost::json::string_view(aText)));
  }
};

std::string FormatCounts(const std::map<std::string, std::uint64_t>& aCounts)
{
  JsonObject line;
  for (const auto& [name, n] : aCounts) {
    line.Add(name, n);
  }
  return line.mText.empty() ? "{}" : line.mText + "}";
}

} // namespace

void AddSample(Samples& aSamples, double aValue)
{
  aSamples.mValues.push_back(static_cast<float>(aValue));
  aSamples.mSorted = false;
}

double Percentile(Samples& aSamples, double aRatio)
{
  auto& values = aSamples.mValues;
  if (values.empty()) {
    return 0;
  }
  if (!aSamples.mSorted) {
    std::sort(values.begin(), values.end());
    aSamples.mSorted = true;
  }
  const auto rank = std::ceil(aRatio * static_cast<double>(values.size()));
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::clamp(rank - 1, 0.0, last))];
}

std::string ToJson(Report& aReport)
{
  auto& report = aReport;
  JsonObject line;
  line.AddText("scenario", report.mScenario);
  line.AddText("policy", report.mPolicy);
  line.Add("seed", report.mSeed);
  line.Add("jobs", report.mJobs);
  line.Add("tasks", report.mTasks);
  line.Add("seconds", FormatNumber(report.mSeconds));
  const double capacityMs = static_cast<double>(report.mSlots) * report.mLoadSeconds * 1000;
  if (report.mSlots > 0) {
    line.Add("load", FormatRatio(report.mWorkMs, capacityMs));
    line.Add("goodput_ratio",
             FormatRatio(report.mWorkInTimeMs, std::min(report.mWorkMs, capacityMs)));
  } else {
    line.Add("goodput_ratio", FormatRatio(report.mWorkInTimeMs, report.mWorkMs));
  }
  line.Add("tasks_per_second", FormatRatio(static_cast<double>(report.mTasks), report.mSeconds));
  line.Add("round_trip_ms", FormatNumber(report.mRoundTripMs));
  line.Add("response_ms_p50", FormatNumber(Percentile(report.mResponseMs, 0.5)));
  line.Add("response_ms_p99", FormatNumber(Percentile(report.mResponseMs, 0.99)));
  line.Add("response_ms_p999", FormatNumber(Percentile(report.mResponseMs, 0.999)));
  line.Add("slowdown_p50", FormatNumber(Percentile(report.mSlowdown, 0.5)));
  line.Add("slowdown_p99", FormatNumber(Percentile(report.mSlowdown, 0.99)));
  line.Add("short_slowdown_p99", FormatNumber(Percentile(report.mShortSlowdown, 0.99)));
  line.Add("complete", report.mComplete);
  line.Add("failed", report.mFailed);
  line.Add("refused", report.mRefused);
  line.Add("late_answers", report.mLateAnswers);
  line.Add("lost_answers", report.mLostAnswers);
  line.Add("broken_connections", report.mBrokenConnections);
  line.Add("wrong_answers", report.mWrongAnswers);
  if (!report.mFirstWrongAnswer.empty()) {
    line.AddText("first_wrong_answer", report.mFirstWrongAnswer);
  }
  line.Add("resubmissions", report.mResubmissions);
  line.Add("cancels", report.mCancels);
  line.Add("client_queued", report.mClientQueued);
  line.Add("verdicts", FormatCounts(report.mVerdicts));
  line.Add("codes", FormatCounts(report.mCodes));
  if (report.mCounted) {
    line.Add("starts", report.mStarts);
    line.Add("refusals", report.mRefusals);
    line.Add(
      "wasted_messages_per_task",
      FormatRatio(static_cast<double>(report.mRefusals), static_cast<double>(report.mTasks)));
    line.Add("duplicate_starts", report.mDuplicateStarts);
    line.Add("wrong_verdicts", report.mWrongVerdicts);
    line.Add("unchecked_jobs", report.mUncheckedJobs);
    std::string starts;
    for (const auto n : report.mStartsPerWorker) {
      starts.append(starts.empty() ? "[" : ",").append(std::to_string(n));
    }
    line.Add("starts_per_worker", starts.empty() ? "[]" : starts + "]");
  }
  return line.mText + "}";
}

} // namespace pollenwall::load
