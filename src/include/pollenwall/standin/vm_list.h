#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/time.h>

/// State and logic of the stand-in list of virtual machines, without I/O.
namespace pollenwall::standin {

struct VmEntry
{
  std::string mAddress;
  std::string mDataCentre;
  std::string mRole;  ///< "entry" or "worker".
  std::string mState; ///< "live" or "leaving".

  friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

/// A change of the list, visible to readers once the lag has passed.
struct VmChange
{
  bool mReplaceAll = false; ///< Removes all machines from the list first.
  std::vector<VmEntry> mPuts;
  std::vector<std::string> mDeletes;
  bool mAtOnce = false; ///< Applies this and all earlier changes without the lag.
  std::optional<std::chrono::milliseconds> mLag; ///< Sets the lag of this and later changes.
};

struct VmTable
{
  std::chrono::milliseconds mLag{ 5000 };
  std::map<std::string, VmEntry> mVisible;
  struct Pending
  {
    UnixMs mDueMs = 0;
    VmChange mChange;
  };
  std::deque<Pending> mPending;
};

/// Parses {"vms": [...]} (the whole list) or {"put": [...], "delete": ["ADDRESS"]}, both with the
/// optional keys "at_once" and "lag_ms". Returns nothing and sets aProblem when it is not valid.
std::optional<VmChange> ParseVmChange(std::string_view aBody, std::string& aProblem);

void ChangeVms(VmTable& aTable, VmChange aChange, UnixMs aNowMs);

/// Applies the changes that are due and returns {"as_of_ms", "vms": [...]}.
std::string ListVms(VmTable& aTable, UnixMs aNowMs);

} // namespace pollenwall::standin
