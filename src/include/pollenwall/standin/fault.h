#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include <pollenwall/time.h>

/// Faults that the stand-ins of the platform inject on request.
namespace pollenwall::standin {

enum class FaultKind
{
  None,
  Delay,      ///< Waits `ms` before the request is handled.
  Refuse,     ///< Refuses the request without handling it.
  Drop,       ///< Closes the connection without handling the request.
  Stall,      ///< Neither handles nor answers the request, and keeps the connection.
  Late,       ///< Handles the request at once and sends the answer `ms` late.
  Fail,       ///< Handles the request and answers that it failed.
  LoseAnswer, ///< Handles the request and closes the connection instead of answering.
  Outage,     ///< Closes idle connections and drops every request.
};

std::optional<FaultKind> ParseFaultKind(std::string_view aText);
std::string_view ToString(FaultKind aKind);

struct Fault
{
  FaultKind mKind = FaultKind::None;
  /// Delay and Late: how long. Stall and Outage: when the fault ends, 0 is never.
  std::chrono::milliseconds mMs{ 0 };
  std::uint64_t mCount = 0; ///< Requests that it affects; 0 is all until it is replaced.

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Where a fault applies. An empty address or port 0 stands for any. The address is the local one
/// that the client connected to: clients of one machine can be told apart by giving each group
/// another loopback address.
struct FaultScope
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  friend bool operator==(const FaultScope&, const FaultScope&) = default;
  friend bool operator<(const FaultScope& aOne, const FaultScope& aOther)
  {
    return std::tie(aOne.mAddress, aOne.mPort) < std::tie(aOther.mAddress, aOther.mPort);
  }
};

/// The faults in force, at most one for each scope.
struct FaultSwitches
{
  struct Active
  {
    Fault mFault;
    std::uint64_t mLeft = 0; ///< Used when mFault.mCount is not 0.
    Time mSet{};
  };
  std::map<FaultScope, Active> mActive;
};

/// Puts a fault in force, replacing that of the same scope. Kind None removes it; None for any
/// address and port removes all.
void SetFault(FaultSwitches& aSwitches, const FaultScope& aScope, const Fault& aFault, Time aNow);

/// Returns the fault for one request and counts the request. The most exact scope wins: address
/// and port, then address, then port, then any.
Fault TakeFault(FaultSwitches& aSwitches, const FaultScope& aAt, Time aNow);

/// Returns the fault in force without counting a request.
Fault CurrentFault(const FaultSwitches& aSwitches, const FaultScope& aAt, Time aNow);

/// Parses the body of POST /fault: {"kind", "ms", "count", "port", "address"}. Returns nothing and
/// sets aProblem when it is not valid.
struct FaultCommand
{
  FaultScope mScope;
  Fault mFault;
};
std::optional<FaultCommand> ParseFaultCommand(std::string_view aBody, std::string& aProblem);

} // namespace pollenwall::standin
