#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "workload.h"

/// Fakes of the workers, and the record of what truly ran on them.
namespace pollenwall::bench {

struct TaskRef
{
  std::uint32_t mJob = 0;
  std::uint32_t mTask = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

enum class RunResult
{
  Done,
  Failed,
  Stopped,
  Busy,
  Leaving,
  Expired,
  Unreachable,
};

/// A deployment: data centres with entries and workers, and one-way latencies.
struct Deployment
{
  std::vector<std::string> mDataCentres;
  std::vector<std::uint32_t> mEntries; ///< Per data centre.
  std::vector<std::uint32_t> mWorkers; ///< Per data centre.
  std::uint32_t mSlots = 8;
  std::uint32_t mWorkersPerRack = 8;
  Micros mBetween = 500; ///< One way between data centres.
  Micros mToWorker = 250;
  Micros mToCaller = 3000;
};

/// The figures of the two deployments of the design page.
Deployment KiteWinds();
Deployment IroningBaskets();

/// One entry that owns every slot, to see the scheduling alone.
Deployment SingleEntry();

std::uint32_t TotalEntries(const Deployment& aDeployment);
std::uint32_t TotalSlots(const Deployment& aDeployment);

/// The data centre of an entry, by its number over all data centres.
std::uint32_t DataCentreOfEntry(const Deployment& aDeployment, std::uint32_t aEntry);

using Done = std::function<void(RunResult)>;

struct FakeWorker
{
  struct Waiting
  {
    TaskRef mTask;
    Micros mReplyLatency = 0;
    Done mDone;
  };

  std::string mName;
  std::string mRack;
  std::uint32_t mDataCentre = 0;
  std::uint32_t mSlots = 8;
  std::uint32_t mBusy = 0;
  double mSlowness = 1;     ///< Run times are multiplied by this.
  bool mFailsAll = false;   ///< Fails each task within a millisecond.
  Micros mLeavesAt = -1;    ///< Refuses new tasks from then on; negative for never.
  Micros mGoneAt = -1;      ///< Unreachable from then on.
  Micros mFirstSignAt = -1; ///< When a dispatcher first could know that it leaves.
  std::map<TaskRef, std::pair<std::uint64_t, Waiting>> mRunning;
  std::deque<Waiting> mQueue; ///< Only for policies that let tasks wait in workers.
};

struct Platform
{
  Clock* mClock = nullptr;                     ///< Not owned.
  const std::vector<JobLoad>* mJobs = nullptr; ///< Not owned.
  Deployment mDeployment;
  std::vector<FakeWorker> mWorkers;
  std::vector<std::vector<std::uint8_t>> mStarts; ///< Per job and task.
  std::uint64_t mNextRun = 0;
  std::uint64_t mTotalStarts = 0;
  std::uint64_t mDuplicateStarts = 0;
  std::uint64_t mRefusals = 0;
  std::uint64_t mStartsAfter3s = 0;
  std::uint64_t mCutOff = 0;
  std::uint64_t mLostToFailingWorkers = 0;
};

Platform MakePlatform(Clock& aClock,
                      const Deployment& aDeployment,
                      const std::vector<JobLoad>& aJobs);

/// Sends a start request from an entry's data centre. aDone is called when the reply has come back.
void Run(Platform& aPlatform,
         std::uint32_t aWorker,
         std::uint32_t aFromDataCentre,
         TaskRef aTask,
         Micros aNotAfter,
         bool aQueueWhenBusy,
         Done aDone);

/// Asks a worker to stop a task; the task's own reply then says Stopped.
void Stop(Platform& aPlatform, std::uint32_t aWorker, std::uint32_t aFromDataCentre, TaskRef aTask);

/// One way between a data centre and a worker.
Micros LatencyTo(const Platform& aPlatform, std::uint32_t aWorker, std::uint32_t aFromDataCentre);

/// Counts tasks that still run when a worker becomes unreachable. Call once, after the experiment
/// is set up.
void WatchLeaving(Platform& aPlatform);

bool Started(const Platform& aPlatform, TaskRef aTask);

} // namespace pollenwall::bench
