#pragma once

#include <cstdint>
#include <vector>

#include <pollenwall/ids.h>

namespace pollenwall {

/// The process of an upstream has ended without notice. A task under which this happens repeatedly
/// is likely to be the cause.
struct CrashReport
{
  Incarnation mReporter;      ///< The entry that held the upstream.
  std::uint64_t mNumber = 0;  ///< Unique among the reports of the reporter.
  std::vector<TaskId> mTasks; ///< Those that may have been at work there.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

} // namespace pollenwall
