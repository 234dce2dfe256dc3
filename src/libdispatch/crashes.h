#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <pollenwall/crash_report.h>
#include <pollenwall/time.h>

/// Finds the tasks that crash the upstreams that start them, from the tasks that were at work on
/// each crashed upstream. A crash also ends the tasks beside a deadly one, so a single crash proves
/// nothing. No I/O and no clock. Not thread safe.
namespace pollenwall::crashes {

/// Crashes are kept for this long. A task may run for minutes before it crashes its upstream, and
/// the caller of a job without an answer sends it again some seconds later.
inline constexpr std::chrono::minutes kRetention{ 10 };
/// More crashes than in this time are not kept: about 2 MB, and one message to a new candidate.
inline constexpr std::size_t kMaxCrashesKept = 4096;

using CrashId = std::pair<Incarnation, std::uint64_t>; ///< Reporter and number of the report.

struct Crash
{
  CrashReport mReport;
  Time mRecordedAt{};
  bool mExplained = false; ///< One of the tasks is known to be deadly.
};

struct Suspect
{
  std::vector<CrashId> mCrashes;
  bool mDeadly = false;
};

struct State
{
  std::map<CrashId, Crash> mCrashes;
  std::deque<CrashId> mOldest; ///< The keys of mCrashes in the order of Crash::mRecordedAt.
  std::map<TaskId, Suspect> mSuspects;
};

/// Records the crash of an upstream, as seen by this entry or by another one. Returns the tasks
/// that are deadly according to this crash. A report that is already known changes nothing.
///
/// A task is deadly when two crashes that no known deadly task explains happened under it, and
/// fewer under each task of other jobs on the same upstream. Whatever happened to other tasks, it
/// is deadly after three crashes.
std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow);

/// The index of a task of the job that is known to be deadly.
std::optional<std::uint32_t> FindDeadlyTask(const State& aState, const std::string& aJob);

/// The indices of a job's tasks under which upstreams have crashed.
std::vector<std::uint32_t> FindSuspects(const State& aState, const std::string& aJob);

/// Removes old crashes. Called regularly.
void Forget(State& aState, const Now& aNow);

} // namespace pollenwall::crashes
