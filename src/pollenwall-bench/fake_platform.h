#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "workload.h"

/// Simulated workers, with a record of the tasks that actually ran on them.
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

/// Data centres with their entries and workers, and one-way latencies.
struct Deployment
{
  std::vector<std::string> mDataCentres;
  std::vector<std::uint32_t> mEntries; ///< Per data centre.
  std::vector<std::uint32_t> mWorkers; ///< Per data centre.
  std::uint32_t mSlots = 8;
  std::uint32_t mWorkersPerRack = 8;
  Micros mInterDataCentreLatency = 500; ///< Added to messages between data centres.
  /// From an entry to a worker or another entry of its data centre.
  Micros mWorkerLatency = 250;
  Micros mCallerLatency = 3000;
};

/// The two deployments of the design document.
Deployment KiteWinds();
Deployment IroningBaskets();

/// One entry that owns every slot, to measure scheduling without coordination between entries.
Deployment SingleEntry();

std::uint32_t TotalEntries(const Deployment& aDeployment);
std::uint32_t TotalSlots(const Deployment& aDeployment);

/// Returns the data centre of an entry; entries are numbered consecutively over all data centres.
std::uint32_t DataCentreOfEntry(const Deployment& aDeployment, std::uint32_t aEntry);

using OnDone = std::function<void(RunResult)>;

struct FakeWorker
{
  struct TaskRequest
  {
    TaskRef mTask;
    Micros mReplyLatency = 0;
    OnDone mOnDone;
  };

  std::string mName;
  std::string mRack;
  std::uint32_t mDataCentre = 0;
  std::uint32_t mSlots = 8;
  std::uint32_t mBusy = 0;
  double mSlowdownFactor = 1;   ///< Run times are multiplied by this.
  bool mFailsAll = false;       ///< Fails each task within a millisecond.
  Micros mLeavingFrom = -1;     ///< Refuses new tasks from then on; negative for never.
  Micros mUnreachableFrom = -1; ///< Unreachable from then on; negative for never.
  /// Time of the first refusal because the worker is leaving; negative if there was none.
  Micros mFirstLeavingReplyAt = -1;
  std::map<TaskRef, std::pair<std::uint64_t, TaskRequest>> mRunning; ///< With the run's number.
  std::deque<TaskRequest> mQueue; ///< Only used by policies that queue tasks in workers.
};

struct Platform
{
  Clock* mClock = nullptr;                     ///< Not owned.
  const std::vector<JobLoad>* mJobs = nullptr; ///< Not owned.
  Deployment mDeployment;
  std::vector<FakeWorker> mWorkers;
  std::vector<std::vector<std::uint8_t>> mStarts; ///< Per job and task: 1 if it has started.
  std::uint64_t mNextRun = 0;
  std::uint64_t mTotalStarts = 0;
  std::uint64_t mDuplicateStarts = 0;
  std::uint64_t mRefusals = 0;
  /// Start requests that a leaving worker received more than 3 s after its first refusal.
  std::uint64_t mRequestsAfter3s = 0;
  std::uint64_t mCutOffTasks = 0;          ///< Tasks held by workers when they became unreachable.
  std::uint64_t mLostToFailingWorkers = 0; ///< Runs that failed on workers that fail all tasks.
};

Platform MakePlatform(Clock& aClock,
                      const Deployment& aDeployment,
                      const std::vector<JobLoad>& aJobs);

/// Sends a start request from an entry's data centre. aOnDone is called when the reply arrives.
void SendStart(Platform& aPlatform,
               std::uint32_t aWorker,
               std::uint32_t aFromDataCentre,
               TaskRef aTask,
               Micros aNotAfter,
               bool aQueueWhenBusy,
               OnDone aOnDone);

/// Sends a stop request for a task. A running task then ends with the result Stopped.
void SendStop(Platform& aPlatform,
              std::uint32_t aWorker,
              std::uint32_t aFromDataCentre,
              TaskRef aTask);

/// One-way latency between a data centre and a worker.
Micros LatencyTo(const Platform& aPlatform, std::uint32_t aWorker, std::uint32_t aFromDataCentre);

/// Schedules, for each worker that becomes unreachable, a count of the tasks that it still holds
/// then. Call once, after the experiment is set up.
void ScheduleCutOffCounts(Platform& aPlatform);

bool HasStarted(const Platform& aPlatform, TaskRef aTask);

} // namespace pollenwall::bench
