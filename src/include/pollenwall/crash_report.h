#pragma once

#include <cstdint>
#include <vector>

#include <pollenwall/ids.h>

namespace pollenwall {

enum class CrashState
{
  Suspected, ///< The upstream is silent and its runs have lapsed; they may have crashed it.
  Refused,   ///< Its machine has closed its connections and refuses new ones.
  Confirmed, ///< Another process has taken its place.
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

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

} // namespace pollenwall
