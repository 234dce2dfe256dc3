#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
  CrashReport mReport; ///< Without tasks once it is cleared; late copies of it then change nothing.
  Time mRecordedAt{};
  bool mExplained = false; ///< One of the tasks is likely to be deadly.
};

struct Suspect
{
  std::vector<CrashId> mCrashes;
  bool mLikely = false; ///< It may be deadly; some of its crashes may not be proven yet.
  bool mDeadly = false; ///< Proven.
};

struct State
{
  std::map<CrashId, Crash> mCrashes;
  /// The keys of mCrashes in the order of Crash::mRecordedAt, and some that have been removed.
  std::deque<CrashId> mOldest;
  std::map<TaskId, Suspect> mSuspects;
  /// Crashes that are neither confirmed nor cleared, by upstream.
  std::map<std::string, std::set<CrashId>, std::less<>> mUndecided;
};

/// Records that an upstream of this or another entry has crashed, may have, or has not. Returns the
/// tasks that are deadly according to this crash. A copy of a report changes nothing.
///
/// A task is likely to be deadly after two crashes that are more than suspected and that no other
/// likely task explains, if fewer happened under each task of other jobs on the same upstream; and
/// after three in any case. Two are not enough while upstreams crash under all kinds of tasks. It
/// is deadly when the same holds for confirmed crashes alone: a cut of the network makes a sound
/// task likely, but never deadly.
std::vector<TaskId> Record(State& aState, const CrashReport& aReport, const Now& aNow);

/// Whether the task must not be started before more is known: it is likely to be deadly and one of
/// its crashes is not decided, or three upstreams have crashed under it or may have.
bool IsOnHold(const State& aState, const TaskId& aTask);

/// The reports that a process at an upstream decides by its answer, with their new state. aBornMs
/// is its start; nothing if it is known by another id.
std::vector<CrashReport> FindDecided(const State& aState,
                                     std::string_view aUpstream,
                                     std::optional<UnixMs> aBornMs);

/// The index of a task of the job that is known to be deadly.
std::optional<std::uint32_t> FindDeadlyTask(const State& aState, const std::string& aJob);

/// The indices of a job's tasks under which upstreams have crashed, more than suspected.
std::vector<std::uint32_t> FindSuspects(const State& aState, const std::string& aJob);

/// Removes old crashes. Called regularly.
void Forget(State& aState, const Now& aNow);

} // namespace pollenwall::crashes
