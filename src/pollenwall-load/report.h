#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Figures of one run and their JSON line.
namespace pollenwall::load {

/// Exact percentiles of a bounded number of values.
struct Samples
{
  std::vector<float> mValues;
  bool mSorted = true;
};

void AddSample(Samples& aSamples, double aValue);

/// The smallest value that at least the ratio of all values does not exceed; 0 without values.
double Percentile(Samples& aSamples, double aRatio);

struct Report
{
  std::string mScenario;
  std::string mPolicy;
  std::uint64_t mSeed = 0;
  double mSeconds = 0;     ///< From the first submission to the last answer.
  double mLoadSeconds = 0; ///< Of arrivals.
  std::uint64_t mSlots = 0;
  std::uint64_t mJobs = 0;
  std::uint64_t mTasks = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLateAnswers = 0;
  std::uint64_t mLostAnswers = 0;       ///< Jobs without any answer although the connection stood.
  std::uint64_t mBrokenConnections = 0; ///< Jobs without an answer whose last connection broke.
  std::uint64_t mWrongAnswers = 0;      ///< Malformed, or with a result of another task.
  std::string mFirstWrongAnswer;
  std::uint64_t mResubmissions = 0;
  std::uint64_t mCancels = 0;
  std::uint64_t mClientQueued = 0; ///< Submissions that waited for a connection of the load tool.
  double mWorkMs = 0;
  double mWorkInTimeMs = 0; ///< Of jobs complete within their deadline.
  double mRoundTripMs = 0;
  std::map<std::string, std::uint64_t> mVerdicts;
  std::map<std::string, std::uint64_t> mCodes;
  Samples mResponseMs;
  Samples mSlowdown;
  Samples mShortSlowdown;
  // From the workers.
  bool mCounted = false;
  std::uint64_t mStarts = 0;
  std::uint64_t mRefusals = 0;
  std::uint64_t mDuplicateStarts = 0;
  std::uint64_t mWrongVerdicts = 0;
  std::uint64_t mUncheckedJobs = 0; ///< Beyond the bound of remembered claims.
  std::vector<std::uint64_t> mStartsPerWorker;
};

/// One JSON object without a line break.
std::string ToJson(Report& aReport);

} // namespace pollenwall::load
