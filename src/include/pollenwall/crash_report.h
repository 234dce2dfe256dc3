#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/time.h>

namespace pollenwall {

enum class CrashState
{
  Suspected, ///< The upstream is silent and its runs have lapsed; they may have crashed it.
  /// Its connections were closed and new ones are refused. That is likely a crash, but a cut of the
  /// network may reset connections, too.
  Refused,
  Confirmed, ///< Another process has taken its place: the only proof that it has ended.
  Cleared,   ///< The same process has answered again.
};

/// An upstream has crashed, or may have, while it ran some tasks. A task under which this happens
/// repeatedly is likely to be the cause.
struct CrashReport
{
  Incarnation mReporter;     ///< The entry that held the upstream.
  std::uint64_t mNumber = 0; ///< Unique among the crashes of the reporter, the same in each state.
  CrashState mState = CrashState::Confirmed;
  std::vector<TaskId> mTasks; ///< Those that may have been at work there.
  std::string mUpstream;      ///< Its key.
  /// The start of the process that may have crashed, if it named one. Whoever reaches the upstream
  /// later can tell from it whether that process has ended.
  std::optional<UnixMs> mBornMs;
  /// Whether the tasks had begun for certain. Otherwise the crash is never proof against them.
  bool mBegan = true;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

} // namespace pollenwall
