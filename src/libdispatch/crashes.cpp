#include "crashes.h"

#include <algorithm>
#include <chrono>

namespace pollenwall::crashes {
namespace {

constexpr std::size_t kMinCrashes = 2;
constexpr std::size_t kMaxCrashes = 3;
constexpr std::chrono::seconds kRetention{ 60 };

/// Number of crashes under a task that no known deadly task explains.
std::size_t UnexplainedCrashes(const State& aState, const TaskId& aTask)
{
  const auto& crashes = aState.mSuspects.at(aTask).mCrashes;
  return static_cast<std::size_t>(std::count_if(
    crashes.begin(), crashes.end(), [&](auto aIt) { return !aState.mCrashes.at(aIt).mExplained; }));
}

/// Whether the task is the only explanation of a crash, apart from tasks of the same job: those
/// fail together with it.
bool IsSoleSuspect(const State& aState, const Crash& aCrash, const TaskId& aTask)
{
  const auto count = UnexplainedCrashes(aState, aTask);
  return count >= kMinCrashes &&
         std::all_of(aCrash.mTasks.begin(), aCrash.mTasks.end(), [&](const TaskId& aOther) {
           return aOther.mJob == aTask.mJob || UnexplainedCrashes(aState, aOther) < count;
         });
}

} // namespace

std::vector<TaskId> Record(State& aState, std::vector<TaskId> aTasks, const Now& aNow)
{
  const auto number = ++aState.mLastCrash;
  auto& crash = aState.mCrashes[number];
  crash = { std::move(aTasks), aNow.mTime };
  for (const auto& task : crash.mTasks) {
    auto& suspect = aState.mSuspects[task];
    suspect.mCrashes.push_back(number);
    crash.mExplained = crash.mExplained || suspect.mDeadly;
  }
  std::vector<TaskId> deadly;
  for (const auto& task : crash.mTasks) {
    const auto& suspect = aState.mSuspects.at(task);
    if (!suspect.mDeadly &&
        (suspect.mCrashes.size() >= kMaxCrashes || IsSoleSuspect(aState, crash, task))) {
      deadly.push_back(task);
    }
  }
  for (const auto& task : deadly) {
    auto& suspect = aState.mSuspects.at(task);
    suspect.mDeadly = true;
    for (const auto it : suspect.mCrashes) {
      aState.mCrashes.at(it).mExplained = true;
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

void Forget(State& aState, const Now& aNow)
{
  while (!aState.mCrashes.empty() &&
         aNow.mTime - aState.mCrashes.begin()->second.mAt > Duration(kRetention)) {
    const auto oldest = aState.mCrashes.begin();
    for (const auto& task : oldest->second.mTasks) {
      const auto it = aState.mSuspects.find(task);
      std::erase(it->second.mCrashes, oldest->first);
      if (it->second.mCrashes.empty()) {
        aState.mSuspects.erase(it);
      }
    }
    aState.mCrashes.erase(oldest);
  }
}

} // namespace pollenwall::crashes
