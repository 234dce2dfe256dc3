#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/time.h>

/// Finds the tasks that crash the upstreams that start them, from the tasks that were at work on
/// each crashed upstream. A crash also ends the tasks beside a deadly one, so a single crash proves
/// nothing. No I/O and no clock. Not thread safe.
namespace pollenwall::crashes {

struct Crash
{
  std::vector<TaskId> mTasks; ///< Those at work on the upstream.
  Time mAt{};
  bool mExplained = false; ///< One of the tasks is known to be deadly.
};

struct Suspect
{
  std::vector<std::uint64_t> mCrashes; ///< Keys in State::mCrashes, ascending.
  bool mDeadly = false;
};

struct State
{
  std::uint64_t mLastCrash = 0;
  std::map<std::uint64_t, Crash> mCrashes; ///< In the order of their times.
  std::map<TaskId, Suspect> mSuspects;
};

/// Records the crash of an upstream. Returns the tasks that are deadly according to this crash.
///
/// A task is deadly when two crashes that no known deadly task explains happened under it, and
/// fewer under each task of other jobs on the same upstream. Whatever happened to other tasks, it
/// is deadly after three crashes.
std::vector<TaskId> Record(State& aState, std::vector<TaskId> aTasks, const Now& aNow);

/// The index of a task of the job that is known to be deadly.
std::optional<std::uint32_t> FindDeadlyTask(const State& aState, const std::string& aJob);

/// Removes crashes after a minute. The callers of a job that need not be kept send it again within
/// seconds or never.
void Forget(State& aState, const Now& aNow);

} // namespace pollenwall::crashes
