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
  Fail,       ///< Answers that it failed; a worker counts the start, others don't handle it.
  LoseAnswer, ///< Handles the request and closes the connection instead of answering.
  Outage,     ///< Closes idle connections and drops every request.
};

std::optional<FaultKind> ParseFaultKind(std::string_view aText);
std::string_view ToString(FaultKind aKind);

struct Fault
{
  FaultKind mKind = FaultKind::None;
  /// Delay and Late: the delay. Stall and Outage: time after which the fault ends, 0 is never.
  std::chrono::milliseconds mDuration{ 0 };
  std::uint64_t mCount = 0; ///< Requests that it affects; 0 is all, until the fault is replaced.

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Where a fault applies. An empty address or port 0 matches any. The address is the local one
/// that the client connected to: clients on one machine can be told apart if each group connects to
/// a loopback address of its own.
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

/// The active faults, at most one for each scope.
struct ActiveFaults
{
  struct ActiveFault
  {
    Fault mFault;
    std::uint64_t mRemaining = 0; ///< Requests left to affect, if mFault.mCount is not 0.
    Time mSetTime{};
  };
  std::map<FaultScope, ActiveFault> mByScope;
};

/// Activates a fault and replaces that of the same scope. Kind None removes that fault; None with
/// the scope of any address and port removes all faults.
void SetFault(ActiveFaults& aFaults, const FaultScope& aScope, const Fault& aFault, Time aNow);

/// Returns the fault that applies to a request and counts the request. The most specific scope
/// wins: address and port, then address, then port, then any.
Fault TakeFault(ActiveFaults& aFaults, const FaultScope& aEndpoint, Time aNow);

/// Returns the fault that applies to an endpoint without counting a request.
Fault CurrentFault(const ActiveFaults& aFaults, const FaultScope& aEndpoint, Time aNow);

struct FaultCommand
{
  FaultScope mScope;
  Fault mFault;
};

/// Parses the body of POST /fault: {"kind", "ms", "count", "port", "address"}. Returns nothing and
/// sets aProblem when it is not valid.
std::optional<FaultCommand> ParseFaultCommand(std::string_view aBody, std::string& aProblem);

} // namespace pollenwall::standin
