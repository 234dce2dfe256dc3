#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/job.h>

#include "fake_platform.h"

namespace pollenwall::bench {

/// Result of one job as observed by its caller.
struct JobResult
{
  Micros mSentAt = 0; ///< First attempt; a refused caller may retry.
  Micros mAnsweredAt = -1;
  bool mComplete = false;
  bool mRefused = false;       ///< No attempt was accepted.
  std::uint32_t mAttempts = 0; ///< Attempts that were refused.
};

/// Resource use of the product's entries, summed over all of them.
struct Cost
{
  std::uint64_t mPeerMessages = 0; ///< All messages between entries, including heartbeats.
  std::uint64_t mPeerBytes = 0;    ///< Encoded size, including the frame's length prefix.
  std::uint64_t mLogAppends = 0;
  std::uint64_t mLogBytes = 0;
  double mCoreSeconds = 0; ///< Processor time spent in the decision core.
};

/// State of one simulation run under one policy.
struct Experiment
{
  Clock mClock;
  const std::vector<JobLoad>* mJobs = nullptr; ///< Not owned.
  Platform mPlatform;
  std::vector<JobResult> mResults;
  std::uint32_t mTeams = 10;
  /// Slot queries, and credit requests with their empty replies. Excludes the workers' refusals.
  std::uint64_t mWastedMessages = 0;
  std::uint64_t mHeartbeats = 0;
  Cost mCost;
  std::uint32_t mServices = 1; ///< One receives load; the others only add state.
  std::uint64_t mWrongVerdicts = 0;
  std::map<std::string, std::uint64_t> mRefusalsByCode;
  /// Tasks that a final answer reported as not run; none of them may ever start.
  std::vector<TaskRef> mReportedNotRun;
  double mQuotaPerTeam = 1e6; ///< Task starts per second.
  Micros mVmListLag = 5 * kSecond;
  std::uint64_t mSeed = 1;
};

/// Interface between a policy and the scenario runner. Each function is called at the virtual time
/// at which the message reaches the entry.
struct Policy
{
  std::function<void(std::uint32_t aJob)> mSubmit;
  std::function<void(std::uint32_t aJob)> mCancel;
};

/// Records the final answer that the entry sends now. Later answers to the same job are ignored.
void RecordAnswer(Experiment& aExperiment, std::uint32_t aJob, bool aComplete);

/// Handles a refusal that the entry sends now: the caller retries after the given time unless its
/// attempts or its deadline are exhausted; otherwise the job is recorded as refused.
void HandleRefusal(Experiment& aExperiment,
                   const Policy& aPolicy,
                   std::uint32_t aJob,
                   std::optional<std::chrono::milliseconds> aRetryAfter);

/// Baseline policies, which choose a worker for each task on its arrival.
enum class Baseline
{
  Random,
  RoundRobin,
  LeastLoaded,
};

/// Creates a policy and schedules its first events. The experiment must outlive the policy.
std::shared_ptr<Policy> MakeBaseline(Experiment& aExperiment, Baseline aBaseline);

/// As MakeBaseline, for the policy `pollenwall`: the entries of the product.
std::shared_ptr<Policy> MakeNodePolicy(Experiment& aExperiment);

/// Virtual time before the first arrival, in which a policy starts and its entries agree.
constexpr Micros kStartupTime = 5 * kSecond;

} // namespace pollenwall::bench
