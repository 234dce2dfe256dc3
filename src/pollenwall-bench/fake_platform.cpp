#include "fake_platform.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pollenwall::bench {
namespace {

constexpr Micros kFailureRunTime = kMillisecond;
constexpr Micros kLeavingGrace = 3 * kSecond;

bool IsPast(Micros aAt, Micros aNow)
{
  return aAt >= 0 && aNow >= aAt;
}

void SendReply(Platform& aPlatform, const FakeWorker::TaskRequest& aRequest, RunResult aResult)
{
  ScheduleAfter(*aPlatform.mClock, aRequest.mReplyLatency, [done = aRequest.mOnDone, aResult] {
    done(aResult);
  });
}

void StartTask(Platform& aPlatform, std::uint32_t aWorker, FakeWorker::TaskRequest aRequest);

void EndTask(Platform& aPlatform, std::uint32_t aWorker, TaskRef aTask, RunResult aResult)
{
  auto& worker = aPlatform.mWorkers[aWorker];
  const auto it = worker.mRunning.find(aTask);
  const auto request = it->second.second;
  worker.mRunning.erase(it);
  --worker.mBusy;
  SendReply(aPlatform, request, aResult);
  if (!worker.mQueue.empty()) {
    auto next = std::move(worker.mQueue.front());
    worker.mQueue.pop_front();
    StartTask(aPlatform, aWorker, std::move(next));
  }
}

void StartTask(Platform& aPlatform, std::uint32_t aWorker, FakeWorker::TaskRequest aRequest)
{
  auto& worker = aPlatform.mWorkers[aWorker];
  const auto task = aRequest.mTask;
  auto& starts = aPlatform.mStarts[task.mJob][task.mTask];
  ++aPlatform.mTotalStarts;
  if (starts > 0) {
    ++aPlatform.mDuplicateStarts;
  }
  starts = 1;
  ++worker.mBusy;
  const auto run = aPlatform.mNextRun++;
  worker.mRunning[task] = { run, std::move(aRequest) };
  const auto& load = (*aPlatform.mJobs)[task.mJob].mTasks[task.mTask];
  const auto time =
    worker.mFailsAll
      ? kFailureRunTime
      : static_cast<Micros>(std::llround(static_cast<double>(load.mRun) * worker.mSlowdownFactor));
  ScheduleAfter(*aPlatform.mClock, time, [&aPlatform, aWorker, task, run] {
    auto& running = aPlatform.mWorkers[aWorker].mRunning;
    const auto it = running.find(task);
    if (it == running.end() || it->second.first != run) {
      return;
    }
    const bool failed = aPlatform.mWorkers[aWorker].mFailsAll;
    aPlatform.mLostToFailingWorkers += failed ? 1 : 0;
    EndTask(aPlatform, aWorker, task, failed ? RunResult::Failed : RunResult::Done);
  });
}

/// Returns why a start request is refused, or Done if the worker accepts it.
RunResult CheckAdmission(Platform& aPlatform,
                         FakeWorker& aWorker,
                         Micros aNotAfter,
                         bool aQueueWhenBusy)
{
  const auto now = aPlatform.mClock->mNow;
  if (IsPast(aWorker.mUnreachableFrom, now)) {
    return RunResult::Unreachable;
  }
  if (IsPast(aWorker.mLeavingFrom, now)) {
    if (aWorker.mFirstLeavingReplyAt < 0) {
      aWorker.mFirstLeavingReplyAt = now;
    }
    aPlatform.mRequestsAfter3s += now > aWorker.mFirstLeavingReplyAt + kLeavingGrace ? 1 : 0;
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
  deployment.mInterDataCentreLatency = 1000;
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
  return deployment.mWorkerLatency + (local ? 0 : deployment.mInterDataCentreLatency);
}

void SendStart(Platform& aPlatform,
               std::uint32_t aWorker,
               std::uint32_t aFromDataCentre,
               TaskRef aTask,
               Micros aNotAfter,
               bool aQueueWhenBusy,
               OnDone aOnDone)
{
  const auto latency = LatencyTo(aPlatform, aWorker, aFromDataCentre);
  FakeWorker::TaskRequest request{ aTask, latency, std::move(aOnDone) };
  ScheduleAfter(*aPlatform.mClock,
                latency,
                [&aPlatform, aWorker, aNotAfter, aQueueWhenBusy, request = std::move(request)] {
                  auto& worker = aPlatform.mWorkers[aWorker];
                  const auto admission =
                    CheckAdmission(aPlatform, worker, aNotAfter, aQueueWhenBusy);
                  if (admission != RunResult::Done) {
                    ++aPlatform.mRefusals;
                    SendReply(aPlatform, request, admission);
                  } else if (worker.mBusy >= worker.mSlots) {
                    worker.mQueue.push_back(request);
                  } else {
                    StartTask(aPlatform, aWorker, request);
                  }
                });
}

void SendStop(Platform& aPlatform,
              std::uint32_t aWorker,
              std::uint32_t aFromDataCentre,
              TaskRef aTask)
{
  ScheduleAfter(*aPlatform.mClock,
                LatencyTo(aPlatform, aWorker, aFromDataCentre),
                [&aPlatform, aWorker, aTask] {
                  if (aPlatform.mWorkers[aWorker].mRunning.contains(aTask)) {
                    EndTask(aPlatform, aWorker, aTask, RunResult::Stopped);
                  }
                });
}

void ScheduleCutOffCounts(Platform& aPlatform)
{
  for (std::uint32_t n = 0; n < aPlatform.mWorkers.size(); ++n) {
    if (aPlatform.mWorkers[n].mUnreachableFrom < 0) {
      continue;
    }
    ScheduleAfter(*aPlatform.mClock,
                  aPlatform.mWorkers[n].mUnreachableFrom - aPlatform.mClock->mNow,
                  [&aPlatform, n] {
                    const auto& worker = aPlatform.mWorkers[n];
                    aPlatform.mCutOffTasks += worker.mRunning.size() + worker.mQueue.size();
                  });
  }
}

bool HasStarted(const Platform& aPlatform, TaskRef aTask)
{
  return aPlatform.mStarts[aTask.mJob][aTask.mTask] != 0;
}

} // namespace pollenwall::bench
