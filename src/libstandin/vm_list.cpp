#include <pollenwall/standin/vm_list.h>

#include <boost/json.hpp>

namespace pollenwall::standin {
namespace {

std::string TextOf(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<VmEntry> ParseVm(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto& object = aValue.get_object();
  VmEntry vm{ TextOf(object, "address"),
              TextOf(object, "data_centre"),
              TextOf(object, "role"),
              TextOf(object, "state") };
  if (vm.mState.empty()) {
    vm.mState = "live";
  }
  const bool valid = !vm.mAddress.empty() && (vm.mRole == "entry" || vm.mRole == "worker") &&
                     (vm.mState == "live" || vm.mState == "leaving");
  return valid ? std::optional(vm) : std::nullopt;
}

void ApplyChange(std::map<std::string, VmEntry>& aVisible, const VmChange& aChange)
{
  if (aChange.mReplaceAll) {
    aVisible.clear();
  }
  for (const auto& vm : aChange.mPuts) {
    aVisible[vm.mAddress] = vm;
  }
  for (const auto& address : aChange.mDeletes) {
    aVisible.erase(address);
  }
}

void ApplyDueChanges(VmTable& aTable, UnixMs aNowMs)
{
  while (!aTable.mPending.empty() && aTable.mPending.front().mDueMs <= aNowMs) {
    ApplyChange(aTable.mVisible, aTable.mPending.front().mChange);
    aTable.mPending.pop_front();
  }
}

} // namespace

std::optional<VmChange> ParseVmChange(std::string_view aBody, std::string& aProblem)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    aProblem = "the body is not a JSON object";
    return std::nullopt;
  }
  const auto& object = value.get_object();
  VmChange change;
  for (const auto& member : object) {
    const std::string_view key = member.key();
    const auto& item = member.value();
    if ((key == "vms" || key == "put") && item.is_array()) {
      change.mReplaceAll = key == "vms";
      for (const auto& element : item.get_array()) {
        auto vm = ParseVm(element);
        if (!vm) {
          aProblem = "a machine needs an address, role entry or worker, and state live or leaving";
          return std::nullopt;
        }
        change.mPuts.push_back(std::move(*vm));
      }
    } else if (key == "delete" && item.is_array()) {
      for (const auto& element : item.get_array()) {
        if (!element.is_string()) {
          aProblem = "delete: allowed is a list of addresses";
          return std::nullopt;
        }
        change.mDeletes.emplace_back(element.get_string());
      }
    } else if (key == "at_once" && item.is_bool()) {
      change.mAtOnce = item.get_bool();
    } else if (key == "lag_ms" && item.is_int64() && item.get_int64() >= 0) {
      change.mLag = std::chrono::milliseconds(item.get_int64());
    } else {
      aProblem = std::string(key) + ": allowed are vms, put, delete, at_once and lag_ms";
      return std::nullopt;
    }
  }
  return change;
}

void ChangeVms(VmTable& aTable, VmChange aChange, UnixMs aNowMs)
{
  aTable.mLag = aChange.mLag.value_or(aTable.mLag);
  if (aChange.mAtOnce) {
    for (auto& pending : aTable.mPending) {
      pending.mDueMs = aNowMs;
    }
  }
  // A shorter lag does not let a change overtake an earlier one.
  const auto lastDue = aTable.mPending.empty() ? aNowMs : aTable.mPending.back().mDueMs;
  const auto due = aChange.mAtOnce ? aNowMs : std::max(lastDue, aNowMs + aTable.mLag.count());
  aTable.mPending.push_back({ due, std::move(aChange) });
  ApplyDueChanges(aTable, aNowMs);
}

std::string ListVms(VmTable& aTable, UnixMs aNowMs)
{
  ApplyDueChanges(aTable, aNowMs);
  boost::json::array vms;
  for (const auto& [address, vm] : aTable.mVisible) {
    vms.push_back(boost::json::object{ { "address", vm.mAddress },
                                       { "data_centre", vm.mDataCentre },
                                       { "role", vm.mRole },
                                       { "state", vm.mState } });
  }
  const auto asOf = aNowMs - aTable.mLag.count();
  return boost::json::serialize(boost::json::object{ { "as_of_ms", asOf }, { "vms", vms } });
}

} // namespace pollenwall::standin
