#include "crashes.h"

#include <algorithm>
#include <chrono>

namespace pollenwall::crashes {
namespace {

/// A task may be given up from the first number of crashes on, and is not started after the second.
constexpr std::size_t kMinCrashes = 2;
constexpr std::size_t kMaxCrashes = 3;

/// Number of crashes under a task that are more than suspected, or of those that no known deadly
/// task explains.
std::size_t CountCrashes(const State& aState, const TaskId& aTask, bool aOnlyUnexplained)
{
  const auto& crashes = aState.mSuspects.at(aTask).mCrashes;
  return static_cast<std::size_t>(
    std::count_if(crashes.begin(), crashes.end(), [&](const CrashId& aId) {
      const auto& crash = aState.mCrashes.at(aId);
      return crash.mReport.mState != CrashState::Suspected &&
             !(aOnlyUnexplained && crash.mExplained);
    }));
}

std::size_t UnexplainedCrashes(const State& aState, const TaskId& aTask)
{
  return CountCrashes(aState, aTask, true);
}

std::size_t ProbableCrashes(const State& aState, const TaskId& aTask)
{
  return CountCrashes(aState, aTask, false);
}

/// Whether the task is the only explanation of a crash, apart from tasks of the same job: those
/// fail together with it.
bool IsSoleSuspect(const State& aState, const CrashReport& aReport, const TaskId& aTask)
{
  const auto count = UnexplainedCrashes(aState, aTask);
  return count >= kMinCrashes &&
         std::all_of(aReport.mTasks.begin(), aReport.mTasks.end(), [&](const TaskId& aOther) {
           return aOther.mJob == aTask.mJob || UnexplainedCrashes(aState, aOther) < count;
         });
}

/// Marks and returns the tasks that are deadly according to a crash.
std::vector<TaskId> FindCause(State& aState, Crash& aCrash)
{
  const auto& tasks = aCrash.mReport.mTasks;
  aCrash.mExplained = std::any_of(tasks.begin(), tasks.end(), [&](const TaskId& aTask) {
    return aState.mSuspects.at(aTask).mDeadly;
  });
  std::vector<TaskId> deadly;
  for (const auto& task : tasks) {
    const auto& suspect = aState.mSuspects.at(task);
    if (!suspect.mDeadly && (ProbableCrashes(aState, task) >= kMaxCrashes ||
                             IsSoleSuspect(aState, aCrash.mReport, task))) {
      deadly.push_back(task);
    }
  }
  for (const auto& task : deadly) {
    auto& suspect = aState.mSuspects.at(task);
    suspect.mDeadly = true;
    for (const auto& other : suspect.mCrashes) {
      aState.mCrashes.at(other).mExplained = true;
    }
  }
  return deadly;
}

void Remove(State& aState, const CrashId& aId)
{
  const auto crash = aState.mCrashes.find(aId);
  if (crash == aState.mCrashes.end()) {
    return;
  }
  for (const auto& task : crash->second.mReport.mTasks) {
    const auto it = aState.mSuspects.find(task);
    if (it == aState.mSuspects.end()) {
      continue; // The report names the task twice.
    }
    std::erase(it->second.mCrashes, aId);
    if (it->second.mCrashes.empty()) {
      aState.mSuspects.erase(it);
    }
  }
  aState.mCrashes.erase(crash);
}

} // namespace

std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow)
{
  const CrashId id{ aReport.mReporter, aReport.mNumber };
  if (aReport.mState == CrashState::Cleared) {
    Remove(aState, id);
    return {};
  }
  const auto [it, isNew] = aState.mCrashes.try_emplace(id, Crash{ aReport, aNow.mTime });
  auto& crash = it->second;
  if (isNew) {
    aState.mOldest.push_back(id);
    for (const auto& task : crash.mReport.mTasks) {
      aState.mSuspects[task].mCrashes.push_back(id);
    }
  } else if (crash.mReport.mState >= aReport.mState) {
    return {};
  }
  crash.mReport.mState = aReport.mState;
  return aReport.mState == CrashState::Suspected ? std::vector<TaskId>{} : FindCause(aState, crash);
}

bool IsOnHold(const State& aState, const TaskId& aTask)
{
  const auto it = aState.mSuspects.find(aTask);
  return it != aState.mSuspects.end() && it->second.mCrashes.size() >= kMaxCrashes;
}

std::optional<std::uint32_t> FindDeadlyTask(const State& aState, const std::string& aJob)
{
  for (auto it = aState.mSuspects.lower_bound({ aJob, 0 });
       it != aState.mSuspects.end() && it->first.mJob == aJob;
       ++it) {
    if (it->second.mDeadly) {
      return it->first.mIndex;
    }
  }
  return std::nullopt;
}

std::vector<std::uint32_t> FindSuspects(const State& aState, const std::string& aJob)
{
  std::vector<std::uint32_t> suspects;
  for (auto it = aState.mSuspects.lower_bound({ aJob, 0 });
       it != aState.mSuspects.end() && it->first.mJob == aJob;
       ++it) {
    if (ProbableCrashes(aState, it->first) > 0) {
      suspects.push_back(it->first.mIndex);
    }
  }
  return suspects;
}

void Forget(State& aState, const Now& aNow)
{
  while (!aState.mOldest.empty()) {
    const auto& id = aState.mOldest.front();
    const auto crash = aState.mCrashes.find(id);
    if (crash != aState.mCrashes.end() &&
        aNow.mTime - crash->second.mRecordedAt <= Duration(kRetention) &&
        aState.mOldest.size() <= kMaxCrashesKept) {
      return;
    }
    Remove(aState, id);
    aState.mOldest.pop_front();
  }
}

} // namespace pollenwall::crashes
