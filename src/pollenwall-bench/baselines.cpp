#include "policy.h"

#include <algorithm>
#include <random>
#include <utility>

namespace pollenwall::bench {
namespace {

constexpr std::uint32_t kMostAttempts = 3;

/// Entries that choose a worker when a task arrives and let it wait there, each from what it alone
/// has sent.
struct BaselineState
{
  Experiment* mExperiment = nullptr;
  Baseline mBaseline = Baseline::Random;
  std::mt19937_64 mRandom;
  std::vector<std::vector<std::uint32_t>> mWorkersOf;   ///< Per data centre.
  std::vector<std::uint32_t> mNext;                     ///< Round robin, per entry.
  std::vector<std::vector<std::uint32_t>> mOutstanding; ///< Per entry and worker.
  std::vector<std::uint32_t> mTasksLeft;                ///< Per job.
};

std::uint32_t Choose(BaselineState& aState, std::uint32_t aEntry)
{
  const auto& deployment = aState.mExperiment->mPlatform.mDeployment;
  const auto& workers = aState.mWorkersOf[DataCentreOfEntry(deployment, aEntry)];
  if (aState.mBaseline == Baseline::Random) {
    return workers[aState.mRandom() % workers.size()];
  }
  if (aState.mBaseline == Baseline::RoundRobin) {
    return workers[aState.mNext[aEntry]++ % workers.size()];
  }
  const auto& outstanding = aState.mOutstanding[aEntry];
  return *std::min_element(workers.begin(), workers.end(), [&](auto aOne, auto aOther) {
    return outstanding[aOne] < outstanding[aOther];
  });
}

void StartTask(const std::shared_ptr<BaselineState>& aState,
               std::uint32_t aEntry,
               TaskRef aTask,
               std::uint32_t aAttempt)
{
  auto& experiment = *aState->mExperiment;
  const auto worker = Choose(*aState, aEntry);
  const auto dataCentre = DataCentreOfEntry(experiment.mPlatform.mDeployment, aEntry);
  ++aState->mOutstanding[aEntry][worker];
  constexpr Micros kNever = std::int64_t{ 1 } << 60;
  Run(experiment.mPlatform, worker, dataCentre, aTask, kNever, true, [=](RunResult aResult) {
    --aState->mOutstanding[aEntry][worker];
    auto& left = aState->mTasksLeft[aTask.mJob];
    if (left == 0) {
      return;
    }
    if (aResult == RunResult::Done) {
      if (--left == 0) {
        Answer(*aState->mExperiment, aTask.mJob, true);
      }
      return;
    }
    if (aResult != RunResult::Failed && aAttempt < kMostAttempts) {
      StartTask(aState, aEntry, aTask, aAttempt + 1);
      return;
    }
    left = 0;
    Answer(*aState->mExperiment, aTask.mJob, false);
  });
}

} // namespace

std::shared_ptr<Policy> MakeBaseline(Experiment& aExperiment, Baseline aBaseline)
{
  auto state = std::make_shared<BaselineState>();
  state->mExperiment = &aExperiment;
  state->mBaseline = aBaseline;
  state->mRandom.seed(aExperiment.mSeed);
  const auto& platform = aExperiment.mPlatform;
  const auto entries = TotalEntries(platform.mDeployment);
  state->mWorkersOf.resize(platform.mDeployment.mDataCentres.size());
  for (std::uint32_t n = 0; n < platform.mWorkers.size(); ++n) {
    state->mWorkersOf[platform.mWorkers[n].mDataCentre].push_back(n);
  }
  state->mNext.resize(entries);
  state->mOutstanding.assign(entries, std::vector<std::uint32_t>(platform.mWorkers.size()));
  for (const auto& job : *aExperiment.mJobs) {
    state->mTasksLeft.push_back(static_cast<std::uint32_t>(job.mTasks.size()));
  }
  auto policy = std::make_shared<Policy>();
  policy->mSubmit = [state, entries](std::uint32_t aJob) {
    const auto& job = (*state->mExperiment->mJobs)[aJob];
    for (std::uint32_t n = 0; n < job.mTasks.size(); ++n) {
      StartTask(state, job.mEntry % entries, { aJob, n }, 1);
    }
  };
  // A cancelled job is answered; its tasks still wait in the workers and run.
  policy->mCancel = [state](std::uint32_t aJob) {
    if (std::exchange(state->mTasksLeft[aJob], 0) > 0) {
      Answer(*state->mExperiment, aJob, false);
    }
  };
  return policy;
}

} // namespace pollenwall::bench
