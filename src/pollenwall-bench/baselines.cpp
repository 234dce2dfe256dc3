#include "policy.h"

#include <algorithm>
#include <random>
#include <utility>

namespace pollenwall::bench {
namespace {

constexpr std::uint32_t kMaxStartsPerTask = 3;

/// Entries that assign each task to a worker on arrival and queue it there. Each entry bases its
/// choice only on the tasks that it has sent itself.
struct BaselineState
{
  Experiment* mExperiment = nullptr;
  Baseline mBaseline = Baseline::Random;
  std::mt19937_64 mRandom;
  std::vector<std::vector<std::uint32_t>> mWorkersByDataCentre;
  std::vector<std::uint32_t> mNextWorker;               ///< Round robin, per entry.
  std::vector<std::vector<std::uint32_t>> mOutstanding; ///< Per entry and worker.
  std::vector<std::uint32_t> mTasksLeft;                ///< Per job.
};

std::uint32_t ChooseWorker(BaselineState& aState, std::uint32_t aEntry)
{
  const auto& deployment = aState.mExperiment->mPlatform.mDeployment;
  const auto& workers = aState.mWorkersByDataCentre[DataCentreOfEntry(deployment, aEntry)];
  if (aState.mBaseline == Baseline::Random) {
    return workers[aState.mRandom() % workers.size()];
  }
  if (aState.mBaseline == Baseline::RoundRobin) {
    return workers[aState.mNextWorker[aEntry]++ % workers.size()];
  }
  const auto& outstanding = aState.mOutstanding[aEntry];
  return *std::min_element(workers.begin(), workers.end(), [&](auto aOne, auto aOther) {
    return outstanding[aOne] < outstanding[aOther];
  });
}

void SendTask(const std::shared_ptr<BaselineState>& aState,
              std::uint32_t aEntry,
              TaskRef aTask,
              std::uint32_t aAttempt)
{
  auto& experiment = *aState->mExperiment;
  const auto worker = ChooseWorker(*aState, aEntry);
  const auto dataCentre = DataCentreOfEntry(experiment.mPlatform.mDeployment, aEntry);
  ++aState->mOutstanding[aEntry][worker];
  constexpr Micros kNever = std::int64_t{ 1 } << 60;
  SendStart(experiment.mPlatform, worker, dataCentre, aTask, kNever, true, [=](RunResult aResult) {
    --aState->mOutstanding[aEntry][worker];
    auto& tasksLeft = aState->mTasksLeft[aTask.mJob];
    if (tasksLeft == 0) {
      return;
    }
    if (aResult == RunResult::Done) {
      if (--tasksLeft == 0) {
        RecordAnswer(*aState->mExperiment, aTask.mJob, true);
      }
      return;
    }
    if (aResult != RunResult::Failed && aAttempt < kMaxStartsPerTask) {
      SendTask(aState, aEntry, aTask, aAttempt + 1);
      return;
    }
    tasksLeft = 0;
    RecordAnswer(*aState->mExperiment, aTask.mJob, false);
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
  state->mWorkersByDataCentre.resize(platform.mDeployment.mDataCentres.size());
  for (std::uint32_t n = 0; n < platform.mWorkers.size(); ++n) {
    state->mWorkersByDataCentre[platform.mWorkers[n].mDataCentre].push_back(n);
  }
  state->mNextWorker.resize(entries);
  state->mOutstanding.assign(entries, std::vector<std::uint32_t>(platform.mWorkers.size()));
  for (const auto& job : *aExperiment.mJobs) {
    state->mTasksLeft.push_back(static_cast<std::uint32_t>(job.mTasks.size()));
  }
  auto policy = std::make_shared<Policy>();
  policy->mSubmit = [state, entries](std::uint32_t aJob) {
    const auto& job = (*state->mExperiment->mJobs)[aJob];
    for (std::uint32_t n = 0; n < job.mTasks.size(); ++n) {
      SendTask(state, job.mEntry % entries, { aJob, n }, 1);
    }
  };
  // A cancelled job is answered at once; its tasks stay in the workers' queues and still run.
  policy->mCancel = [state](std::uint32_t aJob) {
    if (std::exchange(state->mTasksLeft[aJob], 0) > 0) {
      RecordAnswer(*state->mExperiment, aJob, false);
    }
  };
  return policy;
}

} // namespace pollenwall::bench
