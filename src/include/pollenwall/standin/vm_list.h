#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/time.h>

/// The rules of the stand-in list of virtual machines, without I/O.
namespace pollenwall::standin {

struct VmEntry
{
  std::string mAddress;
  std::string mDataCentre;
  std::string mRole;  ///< "entry" or "worker".
  std::string mState; ///< "live" or "leaving".

  friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

/// A change of the list, shown to readers once the lag has passed.
struct VmChange
{
  bool mReplace = false; ///< Forget all other machines first.
  std::vector<VmEntry> mPuts;
  std::vector<std::string> mDeletes;
  bool mAtOnce = false; ///< Skips the lag, together with all changes before it.
  std::optional<std::chrono::milliseconds> mLag; ///< Sets the lag of this and later changes.
};

struct VmTable
{
  std::chrono::milliseconds mLag{ 5000 };
  std::map<std::string, VmEntry> mShown;
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
