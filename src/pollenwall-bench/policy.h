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

/// How one job ended, as its caller saw it.
struct JobResult
{
  Micros mSentAt = 0; ///< First attempt; a caller that is refused may try again.
  Micros mAnsweredAt = -1;
  bool mComplete = false;
  bool mRefused = false; ///< No attempt was accepted.
  std::uint32_t mAttempts = 0;
};

/// What the entries of the product cost, as sums over all of them.
struct Cost
{
  std::uint64_t mPeerMessages = 0; ///< All messages between entries, heartbeats included.
  std::uint64_t mPeerBytes = 0;    ///< Encoded, with the frame's length prefix.
  std::uint64_t mLogAppends = 0;
  std::uint64_t mLogBytes = 0;
  double mCoreSeconds = 0; ///< Processor time spent in the decision core.
};

/// The world of one run of one policy.
struct Experiment
{
  Clock mClock;
  const std::vector<JobLoad>* mJobs = nullptr; ///< Not owned.
  Platform mPlatform;
  std::vector<JobResult> mResults;
  std::uint32_t mTeams = 10;
  std::uint64_t mWastedMessages = 0; ///< Besides the workers' refusals.
  std::uint64_t mHeartbeats = 0;
  Cost mCost;
  std::uint32_t mServices = 1; ///< Services beyond the one that gets load cost state only.
  std::uint64_t mWrongVerdicts = 0;
  std::map<std::string, std::uint64_t> mRefusalsByCode;
  std::vector<TaskRef> mSaidNotRun; ///< By final answers; none of these may ever start.
  double mQuotaPerTeam = 1e6;       ///< Task starts per second.
  Micros mListLag = 5 * kSecond;
  std::uint64_t mSeed = 1;
};

/// What a policy offers to the scenario runner. Calls are made at the time at which the message
/// reaches the entry.
struct Policy
{
  std::function<void(std::uint32_t aJob)> mSubmit;
  std::function<void(std::uint32_t aJob)> mCancel;
};

/// Records an answer or a refusal that leaves the entry now. A refused caller tries again after the
/// given time while its deadline allows; returns whether it does.
void Answer(Experiment& aExperiment, std::uint32_t aJob, bool aComplete);
void Refuse(Experiment& aExperiment,
            const Policy& aPolicy,
            std::uint32_t aJob,
            std::optional<std::chrono::milliseconds> aRetryAfter);

/// Policies. Each one starts its processes when it is made; the experiment must outlive it.
enum class Baseline
{
  Random,
  RoundRobin,
  LeastLoaded,
};
std::shared_ptr<Policy> MakeBaseline(Experiment& aExperiment, Baseline aBaseline);
std::shared_ptr<Policy> MakeNodePolicy(Experiment& aExperiment);

/// Virtual time that a policy needs before the first arrival, to start up and agree.
constexpr Micros kStartUp = 5 * kSecond;

} // namespace pollenwall::bench
