#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Statistics of one run and their JSON line.
namespace pollenwall::load {

/// Values of which exact percentiles are computed.
struct Samples
{
  std::vector<float> mValues;
  bool mSorted = true;
};

void AddSample(Samples& aSamples, double aValue);

/// Returns the smallest value that is not exceeded by at least the fraction aRatio of all values; 0
/// without values.
double Percentile(Samples& aSamples, double aRatio);

struct Report
{
  std::string mScenario;
  std::string mPolicy;
  std::uint64_t mSeed = 0;
  double mSeconds = 0;     ///< From the start of the run to the last answer.
  double mLoadSeconds = 0; ///< Duration of the arrivals; mSeconds in a closed loop.
  std::uint64_t mSlots = 0;
  std::uint64_t mJobs = 0;
  std::uint64_t mTasks = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLateAnswers = 0;       ///< Complete, but after the deadline.
  std::uint64_t mLostAnswers = 0;       ///< Jobs without an answer within the answer timeout.
  std::uint64_t mBrokenConnections = 0; ///< Jobs without an answer whose last connection broke.
  std::uint64_t mWrongAnswers = 0;      ///< Malformed or with a wrong result.
  std::string mFirstWrongAnswer;
  std::uint64_t mResubmissions = 0;
  std::uint64_t mCancels = 0;
  std::uint64_t mClientQueued = 0; ///< Requests that waited for a free connection of this client.
  double mWorkMs = 0;              ///< Run times of all submitted tasks.
  double mWorkInTimeMs = 0;        ///< Work of the jobs complete within their deadline.
  double mRoundTripMs = 0;
  std::map<std::string, std::uint64_t> mVerdicts;
  std::map<std::string, std::uint64_t> mCodes;
  Samples mResponseMs;
  Samples mSlowdown;
  Samples mShortSlowdown;
  // From the workers' counts; set only if mCounted.
  bool mCounted = false;
  std::uint64_t mStarts = 0;
  std::uint64_t mRefusals = 0;
  std::uint64_t mDuplicateStarts = 0;
  std::uint64_t mWrongVerdicts = 0;
  std::uint64_t mUncheckedJobs = 0; ///< Jobs beyond the limit of checked tasks.
  std::vector<std::uint64_t> mStartsPerWorker;
};

/// Formats one JSON object without line breaks.
std::string ToJson(Report& aReport);

} // namespace pollenwall::load
