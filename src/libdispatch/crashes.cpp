#include "crashes.h"

#include <algorithm>
#include <chrono>

namespace pollenwall::crashes {
namespace {

constexpr std::size_t kMinCrashes = 2;
constexpr std::size_t kMaxCrashes = 3;

/// Number of crashes under a task that no known deadly task explains.
std::size_t UnexplainedCrashes(const State& aState, const TaskId& aTask)
{
  const auto& crashes = aState.mSuspects.at(aTask).mCrashes;
  return static_cast<std::size_t>(
    std::count_if(crashes.begin(), crashes.end(), [&](const CrashId& aId) {
      return !aState.mCrashes.at(aId).mExplained;
    }));
}

/// Whether the task is the only explanation of a crash, apart from tasks of the same job: those
/// fail together with it.
bool IsSoleSuspect(const State& aState, const Crash& aCrash, const TaskId& aTask)
{
  const auto& tasks = aCrash.mReport.mTasks;
  const auto count = UnexplainedCrashes(aState, aTask);
  return count >= kMinCrashes && std::all_of(tasks.begin(), tasks.end(), [&](const TaskId& aOther) {
           return aOther.mJob == aTask.mJob || UnexplainedCrashes(aState, aOther) < count;
         });
}

} // namespace

std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow)
{
  const CrashId id{ aReport.mReporter, aReport.mNumber };
  const auto [it, isNew] = aState.mCrashes.try_emplace(id, Crash{ aReport, aNow.mTime });
  if (!isNew) {
    return {};
  }
  aState.mOldest.push_back(id);
  auto& crash = it->second;
  for (const auto& task : aReport.mTasks) {
    auto& suspect = aState.mSuspects[task];
    suspect.mCrashes.push_back(id);
    crash.mExplained = crash.mExplained || suspect.mDeadly;
  }
  std::vector<TaskId> deadly;
  for (const auto& task : aReport.mTasks) {
    const auto& suspect = aState.mSuspects.at(task);
    if (!suspect.mDeadly &&
        (suspect.mCrashes.size() >= kMaxCrashes || IsSoleSuspect(aState, crash, task))) {
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
    suspects.push_back(it->first.mIndex);
  }
  return suspects;
}

void Forget(State& aState, const Now& aNow)
{
  while (!aState.mOldest.empty()) {
    const auto crash = aState.mCrashes.find(aState.mOldest.front());
    if (aNow.mTime - crash->second.mRecordedAt <= Duration(kRetention) &&
        aState.mOldest.size() <= kMaxCrashesKept) {
      return;
    }
    for (const auto& task : crash->second.mReport.mTasks) {
      const auto it = aState.mSuspects.find(task);
      std::erase(it->second.mCrashes, crash->first);
      if (it->second.mCrashes.empty()) {
        aState.mSuspects.erase(it);
      }
    }
    aState.mCrashes.erase(crash);
    aState.mOldest.pop_front();
  }
}

} // namespace pollenwall::crashes
