#include "fake_platform.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pollenwall::bench {
namespace {

constexpr Micros kFailTime = kMillisecond;
constexpr Micros kLeavingGrace = 3 * kSecond;

bool IsPast(Micros aAt, Micros aNow)
{
  return aAt >= 0 && aNow >= aAt;
}

void Reply(Platform& aPlatform, const FakeWorker::Waiting& aWaiting, RunResult aResult)
{
  After(
    *aPlatform.mClock, aWaiting.mReplyLatency, [done = aWaiting.mDone, aResult] { done(aResult); });
}

void Begin(Platform& aPlatform, std::uint32_t aWorker, FakeWorker::Waiting aWaiting);

void End(Platform& aPlatform, std::uint32_t aWorker, TaskRef aTask, RunResult aResult)
{
  auto& worker = aPlatform.mWorkers[aWorker];
  const auto it = worker.mRunning.find(aTask);
  const auto waiting = it->second.second;
  worker.mRunning.erase(it);
  --worker.mBusy;
  Reply(aPlatform, waiting, aResult);
  if (!worker.mQueue.empty()) {
    auto next = std::move(worker.mQueue.front());
    worker.mQueue.pop_front();
    Begin(aPlatform, aWorker, std::move(next));
  }
}

void Begin(Platform& aPlatform, std::uint32_t aWorker, FakeWorker::Waiting aWaiting)
{
  auto& worker = aPlatform.mWorkers[aWorker];
  const auto task = aWaiting.mTask;
  auto& starts = aPlatform.mStarts[task.mJob][task.mTask];
  ++aPlatform.mTotalStarts;
  if (starts > 0) {
    ++aPlatform.mDuplicateStarts;
  }
  starts = 1;
  ++worker.mBusy;
  const auto run = aPlatform.mNextRun++;
  worker.mRunning[task] = { run, std::move(aWaiting) };
  const auto& load = (*aPlatform.mJobs)[task.mJob].mTasks[task.mTask];
  const auto time =
    worker.mFailsAll
      ? kFailTime
      : static_cast<Micros>(std::llround(static_cast<double>(load.mRun) * worker.mSlowness));
  After(*aPlatform.mClock, time, [&aPlatform, aWorker, task, run] {
    auto& running = aPlatform.mWorkers[aWorker].mRunning;
    const auto it = running.find(task);
    if (it == running.end() || it->second.first != run) {
      return;
    }
    const bool failed = aPlatform.mWorkers[aWorker].mFailsAll;
    aPlatform.mLostToFailingWorkers += failed ? 1 : 0;
    End(aPlatform, aWorker, task, failed ? RunResult::Failed : RunResult::Done);
  });
}

RunResult Refusal(Platform& aPlatform, FakeWorker& aWorker, Micros aNotAfter, bool aQueueWhenBusy)
{
  const auto now = aPlatform.mClock->mNow;
  if (IsPast(aWorker.mGoneAt, now)) {
    return RunResult::Unreachable;
  }
  if (IsPast(aWorker.mLeavesAt, now)) {
    if (aWorker.mFirstSignAt < 0) {
      aWorker.mFirstSignAt = now;
    }
    aPlatform.mStartsAfter3s += now > aWorker.mFirstSignAt + kLeavingGrace ? 1 : 0;
    return RunResult::Leaving;
  }
  if (now > aNotAfter) {
    return RunResult::Expired;
  }
  if (aWorker.mBusy >= aWorker.mSlots && !aQueueWhenBusy) {
    return RunResult::Busy;
  }
  return RunResult::Done;
}

} // namespace

Deployment KiteWinds()
{
  Deployment deployment;
  deployment.mDataCentres = { "muriwai", "tauranga", "wellington" };
  deployment.mEntries = { 2, 2, 2 };
  deployment.mWorkers = { 17, 17, 16 };
  return deployment;
}

Deployment IroningBaskets()
{
  Deployment deployment;
  deployment.mDataCentres = { "north", "south", "gold-coast", "sunshine-coast" };
  deployment.mEntries = { 2, 2, 2, 1 };
  deployment.mWorkers = { 14, 14, 14, 8 };
  deployment.mWorkersPerRack = 6;
  deployment.mBetween = 1000;
  return deployment;
}

Deployment SingleEntry()
{
  Deployment deployment;
  deployment.mDataCentres = { "single" };
  deployment.mEntries = { 1 };
  deployment.mWorkers = { 50 };
  return deployment;
}

std::uint32_t TotalEntries(const Deployment& aDeployment)
{
  return std::accumulate(aDeployment.mEntries.begin(), aDeployment.mEntries.end(), 0U);
}

std::uint32_t TotalSlots(const Deployment& aDeployment)
{
  return aDeployment.mSlots *
         std::accumulate(aDeployment.mWorkers.begin(), aDeployment.mWorkers.end(), 0U);
}

std::uint32_t DataCentreOfEntry(const Deployment& aDeployment, std::uint32_t aEntry)
{
  std::uint32_t dataCentre = 0;
  while (aEntry >= aDeployment.mEntries[dataCentre]) {
    aEntry -= aDeployment.mEntries[dataCentre++];
  }
  return dataCentre;
}

Platform MakePlatform(Clock& aClock,
                      const Deployment& aDeployment,
                      const std::vector<JobLoad>& aJobs)
{
  Platform platform;
  platform.mClock = &aClock;
  platform.mJobs = &aJobs;
  platform.mDeployment = aDeployment;
  for (std::uint32_t dataCentre = 0; dataCentre < aDeployment.mWorkers.size(); ++dataCentre) {
    for (std::uint32_t n = 0; n < aDeployment.mWorkers[dataCentre]; ++n) {
      FakeWorker worker;
      worker.mName = aDeployment.mDataCentres[dataCentre] + "-w" + std::to_string(n);
      worker.mRack = aDeployment.mDataCentres[dataCentre] + "-r" +
                     std::to_string(n / aDeployment.mWorkersPerRack);
      worker.mDataCentre = dataCentre;
      worker.mSlots = aDeployment.mSlots;
      platform.mWorkers.push_back(std::move(worker));
    }
  }
  for (const auto& job : aJobs) {
    platform.mStarts.emplace_back(job.mTasks.size(), 0);
  }
  return platform;
}

Micros LatencyTo(const Platform& aPlatform, std::uint32_t aWorker, std::uint32_t aFromDataCentre)
{
  const auto& deployment = aPlatform.mDeployment;
  const bool local = aPlatform.mWorkers[aWorker].mDataCentre == aFromDataCentre;
  return deployment.mToWorker + (local ? 0 : deployment.mBetween);
}

void Run(Platform& aPlatform,
         std::uint32_t aWorker,
         std::uint32_t aFromDataCentre,
         TaskRef aTask,
         Micros aNotAfter,
         bool aQueueWhenBusy,
         Done aDone)
{
  const auto latency = LatencyTo(aPlatform, aWorker, aFromDataCentre);
  FakeWorker::Waiting waiting{ aTask, latency, std::move(aDone) };
  After(*aPlatform.mClock,
        latency,
        [&aPlatform, aWorker, aNotAfter, aQueueWhenBusy, waiting = std::move(waiting)] {
          auto& worker = aPlatform.mWorkers[aWorker];
          const auto refusal = Refusal(aPlatform, worker, aNotAfter, aQueueWhenBusy);
          if (refusal != RunResult::Done) {
            ++aPlatform.mRefusals;
            Reply(aPlatform, waiting, refusal);
          } else if (worker.mBusy >= worker.mSlots) {
            worker.mQueue.push_back(waiting);
          } else {
            Begin(aPlatform, aWorker, waiting);
          }
        });
}

void Stop(Platform& aPlatform, std::uint32_t aWorker, std::uint32_t aFromDataCentre, TaskRef aTask)
{
  After(*aPlatform.mClock,
        LatencyTo(aPlatform, aWorker, aFromDataCentre),
        [&aPlatform, aWorker, aTask] {
          if (aPlatform.mWorkers[aWorker].mRunning.contains(aTask)) {
            End(aPlatform, aWorker, aTask, RunResult::Stopped);
          }
        });
}

void WatchLeaving(Platform& aPlatform)
{
  for (std::uint32_t n = 0; n < aPlatform.mWorkers.size(); ++n) {
    if (aPlatform.mWorkers[n].mGoneAt < 0) {
      continue;
    }
    After(
      *aPlatform.mClock, aPlatform.mWorkers[n].mGoneAt - aPlatform.mClock->mNow, [&aPlatform, n] {
        const auto& worker = aPlatform.mWorkers[n];
        aPlatform.mCutOff += worker.mRunning.size() + worker.mQueue.size();
      });
  }
}

bool Started(const Platform& aPlatform, TaskRef aTask)
{
  return aPlatform.mStarts[aTask.mJob][aTask.mTask] != 0;
}

} // namespace pollenwall::bench
