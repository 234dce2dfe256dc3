#include "crashes.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenwall::crashes {
namespace {

/// A task may be the cause from the first number of crashes on, and is not started after the
/// second.
constexpr std::size_t kMinCrashes = 2;
constexpr std::size_t kMaxCrashes = 3;

/// When many upstreams crash whatever they run, two crashes under one task are likely a coincidence
/// and it may be started a third time. Crashes count for that if they happened within kNoiseWindow,
/// but more than kRepeatTime ago: a task that had caused one would have caused another since.
constexpr std::chrono::seconds kNoiseWindow{ 30 };
constexpr std::chrono::seconds kRepeatTime{ 2 };
constexpr std::size_t kMinNoise = 8;

/// Number of crashes under a task that are at least as certain as aLeast.
std::size_t CountCrashes(const State& aState, const TaskId& aTask, CrashState aLeast)
{
  const auto& crashes = aState.mSuspects.at(aTask).mCrashes;
  return static_cast<std::size_t>(
    std::count_if(crashes.begin(), crashes.end(), [&](const CrashId& aId) {
      return aState.mCrashes.at(aId).mReport.mState >= aLeast;
    }));
}

std::size_t ProbableCrashes(const State& aState, const TaskId& aTask)
{
  return CountCrashes(aState, aTask, CrashState::Refused);
}

std::size_t ConfirmedCrashes(const State& aState, const TaskId& aTask)
{
  return CountCrashes(aState, aTask, CrashState::Confirmed);
}

/// Number of probable crashes that no likely task explains.
std::size_t UnexplainedCrashes(const State& aState, const TaskId& aTask)
{
  const auto& crashes = aState.mSuspects.at(aTask).mCrashes;
  return static_cast<std::size_t>(
    std::count_if(crashes.begin(), crashes.end(), [&](const CrashId& aId) {
      const auto& crash = aState.mCrashes.at(aId);
      return crash.mReport.mState >= CrashState::Refused && !crash.mExplained;
    }));
}

/// Whether the crashes of late that were not under the task, and are at least as certain as aLeast,
/// have mostly no likely task that explains them.
bool AreCrashesCommon(const State& aState, const TaskId& aTask, CrashState aLeast, const Now& aNow)
{
  std::size_t explained = 0;
  std::size_t unexplained = 0;
  for (auto it = aState.mOldest.rbegin(); it != aState.mOldest.rend(); ++it) {
    const auto found = aState.mCrashes.find(*it);
    if (found == aState.mCrashes.end()) {
      continue;
    }
    const auto& crash = found->second;
    const auto& tasks = crash.mReport.mTasks;
    const auto age = aNow.mTime - crash.mRecordedAt;
    if (age > Duration(kNoiseWindow)) {
      break;
    }
    if (crash.mReport.mState < aLeast || crash.mReport.mState == CrashState::Cleared ||
        std::find(tasks.begin(), tasks.end(), aTask) != tasks.end()) {
      continue;
    }
    explained += crash.mExplained ? 1 : 0;
    unexplained += !crash.mExplained && age > Duration(kRepeatTime) ? 1 : 0;
  }
  return unexplained >= kMinNoise + explained;
}

/// Whether the task is the only explanation of a crash, apart from tasks of the same job: those
/// fail together with it. aCount returns the number of a task's crashes.
template<typename Count>
bool IsSoleSuspect(const CrashReport& aReport, const TaskId& aTask, Count aCount)
{
  const auto count = aCount(aTask);
  return count >= kMinCrashes &&
         std::all_of(aReport.mTasks.begin(), aReport.mTasks.end(), [&](const TaskId& aOther) {
           return aOther.mJob == aTask.mJob || aCount(aOther) < count;
         });
}

void Explain(State& aState, Crash& aCrash)
{
  const auto& tasks = aCrash.mReport.mTasks;
  aCrash.mExplained = std::any_of(tasks.begin(), tasks.end(), [&](const TaskId& aTask) {
    return aState.mSuspects.at(aTask).mLikely;
  });
}

/// Marks the tasks that are likely to be deadly according to a crash.
void FindLikely(State& aState, Crash& aCrash, const Now& aNow)
{
  Explain(aState, aCrash);
  const auto count = [&](const TaskId& aTask) { return UnexplainedCrashes(aState, aTask); };
  std::vector<TaskId> likely;
  for (const auto& task : aCrash.mReport.mTasks) {
    if (ProbableCrashes(aState, task) >= kMaxCrashes ||
        (IsSoleSuspect(aCrash.mReport, task, count) &&
         !AreCrashesCommon(aState, task, CrashState::Refused, aNow))) {
      likely.push_back(task);
    }
  }
  for (const auto& task : likely) {
    auto& suspect = aState.mSuspects.at(task);
    suspect.mLikely = true;
    for (const auto& other : suspect.mCrashes) {
      aState.mCrashes.at(other).mExplained = true;
    }
  }
}

/// Whether the confirmed crashes alone show that a likely task is the cause.
bool IsProven(const State& aState, const TaskId& aTask, const Now& aNow)
{
  const auto& suspect = aState.mSuspects.at(aTask);
  if (!suspect.mLikely) {
    return false;
  }
  const auto count = [&](const TaskId& aOther) { return ConfirmedCrashes(aState, aOther); };
  const auto isSole = [&](const CrashId& aId) {
    const auto& report = aState.mCrashes.at(aId).mReport;
    return report.mState == CrashState::Confirmed && IsSoleSuspect(report, aTask, count);
  };
  return count(aTask) >= kMaxCrashes ||
         (std::any_of(suspect.mCrashes.begin(), suspect.mCrashes.end(), isSole) &&
          !AreCrashesCommon(aState, aTask, CrashState::Confirmed, aNow));
}

/// Marks and returns the tasks of a crash that are deadly since its report has been recorded.
std::vector<TaskId> FindDeadly(State& aState, const CrashReport& aReport, const Now& aNow)
{
  std::vector<TaskId> deadly;
  for (const auto& task : aReport.mTasks) {
    if (!aState.mSuspects.at(task).mDeadly && IsProven(aState, task, aNow)) {
      deadly.push_back(task);
    }
  }
  for (const auto& task : deadly) {
    aState.mSuspects.at(task).mDeadly = true;
  }
  return deadly;
}

/// Removes the tasks of a crash. One that has too few crashes left explains none of them.
void RemoveTasks(State& aState, const CrashId& aId)
{
  const auto tasks = std::exchange(aState.mCrashes.at(aId).mReport.mTasks, {});
  for (const auto& task : tasks) {
    const auto it = aState.mSuspects.find(task);
    if (it == aState.mSuspects.end()) {
      continue; // The report names the task twice.
    }
    auto& suspect = it->second;
    std::erase(suspect.mCrashes, aId);
    if (suspect.mCrashes.empty()) {
      aState.mSuspects.erase(it);
    } else if (suspect.mLikely && !suspect.mDeadly && ProbableCrashes(aState, task) < kMinCrashes) {
      suspect.mLikely = false;
      for (const auto& other : suspect.mCrashes) {
        Explain(aState, aState.mCrashes.at(other));
      }
    }
  }
}

void MarkDecided(State& aState, const CrashId& aId)
{
  const auto it = aState.mUndecided.find(aState.mCrashes.at(aId).mReport.mUpstream);
  if (it == aState.mUndecided.end()) {
    return;
  }
  it->second.erase(aId);
  if (it->second.empty()) {
    aState.mUndecided.erase(it);
  }
}

void Remove(State& aState, const CrashId& aId)
{
  if (!aState.mCrashes.contains(aId)) {
    return;
  }
  RemoveTasks(aState, aId);
  MarkDecided(aState, aId);
  aState.mCrashes.erase(aId);
}

} // namespace

std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow)
{
  const CrashId id{ aReport.mReporter, aReport.mNumber };
  const auto [it, isNew] = aState.mCrashes.try_emplace(id, Crash{ aReport, aNow.mTime });
  auto& crash = it->second;
  if (isNew) {
    aState.mOldest.push_back(id);
    for (const auto& task : crash.mReport.mTasks) {
      aState.mSuspects[task].mCrashes.push_back(id);
    }
    aState.mUndecided[crash.mReport.mUpstream].insert(id);
  } else if (crash.mReport.mState >= aReport.mState) {
    return {};
  }
  crash.mReport.mState = aReport.mState;
  switch (aReport.mState) {
    case CrashState::Suspected:
      return {};
    case CrashState::Refused:
      FindLikely(aState, crash, aNow);
      return {};
    case CrashState::Confirmed:
      MarkDecided(aState, id);
      FindLikely(aState, crash, aNow);
      return FindDeadly(aState, crash.mReport, aNow);
    case CrashState::Cleared:
      MarkDecided(aState, id);
      RemoveTasks(aState, id);
      return {};
  }
  return {};
}

bool IsOnHold(const State& aState, const TaskId& aTask)
{
  const auto it = aState.mSuspects.find(aTask);
  if (it == aState.mSuspects.end()) {
    return false;
  }
  const auto& crashes = it->second.mCrashes;
  return crashes.size() >= kMaxCrashes ||
         (it->second.mLikely && ConfirmedCrashes(aState, aTask) < crashes.size());
}

std::vector<CrashReport> FindDecided(const State& aState,
                                     std::string_view aUpstream,
                                     std::optional<UnixMs> aBornMs)
{
  std::vector<CrashReport> decided;
  const auto it = aState.mUndecided.find(aUpstream);
  if (it == aState.mUndecided.end()) {
    return decided;
  }
  for (const auto& id : it->second) {
    auto report = aState.mCrashes.at(id).mReport;
    if (aBornMs && !report.mBornMs) {
      continue; // Without a start time it is unknown whether it is the same process.
    }
    const bool isSame = aBornMs && aBornMs == report.mBornMs;
    if (!isSame && !report.mBegan) {
      continue;
    }
    report.mState = isSame ? CrashState::Cleared : CrashState::Confirmed;
    decided.push_back(std::move(report));
  }
  return decided;
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
