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
/// Of more crashes the oldest are removed. All that are kept go to a new candidate in one message.
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
  /// The keys of mCrashes in the order of Crash::mRecordedAt, and some that have been removed.
  std::deque<CrashId> mOldest;
  std::map<TaskId, Suspect> mSuspects;
};

/// Records that an upstream of this or another entry has crashed, may have, or has not. Returns the
/// tasks that are deadly according to this crash. A copy of a report changes nothing.
///
/// A suspected crash makes no task deadly. Of the others, a task is deadly after two that no known
/// deadly task explains, if fewer happened under each task of other jobs on the same upstream; and
/// after three in any case.
std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow);

/// Whether the task must not be started before more is known: three upstreams have crashed under it
/// or may have.
bool IsOnHold(const State& aState, const TaskId& aTask);

/// The index of a task of the job that is known to be deadly.
std::optional<std::uint32_t> FindDeadlyTask(const State& aState, const std::string& aJob);

/// The indices of a job's tasks under which upstreams have crashed, more than suspected.
std::vector<std::uint32_t> FindSuspects(const State& aState, const std::string& aJob);

/// Removes old crashes. Called regularly.
void Forget(State& aState, const Now& aNow);

} // namespace pollenwall::crashes
