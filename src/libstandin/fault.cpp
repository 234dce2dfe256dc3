#include <pollenwall/standin/fault.h>

#include <array>

#include <boost/json.hpp>

namespace pollenwall::standin {
namespace {

struct KindName
{
  FaultKind mKind;
  std::string_view mName;
};

constexpr std::array<KindName, 9> kKindNames{ {
  { FaultKind::None, "none" },
  { FaultKind::Delay, "delay" },
  { FaultKind::Refuse, "refuse" },
  { FaultKind::Drop, "drop" },
  { FaultKind::Stall, "stall" },
  { FaultKind::Late, "late" },
  { FaultKind::Fail, "fail" },
  { FaultKind::LoseAnswer, "lose_answer" },
  { FaultKind::Outage, "outage" },
} };

bool HasExpired(const ActiveFaults::ActiveFault& aActive, Time aNow)
{
  const auto kind = aActive.mFault.mKind;
  const bool timed = kind == FaultKind::Stall || kind == FaultKind::Outage;
  return (timed && aActive.mFault.mDuration.count() > 0 &&
          aNow >= aActive.mSetTime + aActive.mFault.mDuration) ||
         (aActive.mFault.mCount > 0 && aActive.mRemaining == 0);
}

template<typename Faults>
auto FindActive(Faults& aFaults, const FaultScope& aEndpoint, Time aNow)
{
  const std::array<FaultScope, 4> scopes{
    { aEndpoint, { aEndpoint.mAddress, 0 }, { "", aEndpoint.mPort }, { "", 0 } }
  };
  for (const auto& scope : scopes) {
    const auto it = aFaults.mByScope.find(scope);
    if (it != aFaults.mByScope.end() && !HasExpired(it->second, aNow)) {
      return it;
    }
  }
  return aFaults.mByScope.end();
}

/// Returns the number under the key, or 0 when it is absent; nothing when it is negative or of
/// another type.
std::optional<std::int64_t> NumberOf(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return value->get_int64();
}

} // namespace

std::optional<FaultKind> ParseFaultKind(std::string_view aText)
{
  for (const auto& [kind, name] : kKindNames) {
    if (name == aText) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string_view ToString(FaultKind aKind)
{
  for (const auto& [kind, name] : kKindNames) {
    if (kind == aKind) {
      return name;
    }
  }
  return "none";
}

void SetFault(ActiveFaults& aFaults, const FaultScope& aScope, const Fault& aFault, Time aNow)
{
  if (aFault.mKind != FaultKind::None) {
    aFaults.mByScope[aScope] = { aFault, aFault.mCount, aNow };
  } else if (aScope == FaultScope{}) {
    aFaults.mByScope.clear();
  } else {
    aFaults.mByScope.erase(aScope);
  }
}

Fault TakeFault(ActiveFaults& aFaults, const FaultScope& aEndpoint, Time aNow)
{
  if (aFaults.mByScope.empty()) {
    return {};
  }
  const auto it = FindActive(aFaults, aEndpoint, aNow);
  if (it == aFaults.mByScope.end()) {
    return {};
  }
  if (it->second.mFault.mCount > 0) {
    --it->second.mRemaining;
  }
  return it->second.mFault;
}

Fault CurrentFault(const ActiveFaults& aFaults, const FaultScope& aEndpoint, Time aNow)
{
  const auto it = FindActive(aFaults, aEndpoint, aNow);
  return it == aFaults.mByScope.end() ? Fault{} : it->second.mFault;
}

std::optional<FaultCommand> ParseFaultCommand(std::string_view aBody, std::string& aProblem)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    aProblem = "the body is not a JSON object";
    return std::nullopt;
  }
  const auto& object = value.get_object();
  const auto* kindText = object.if_contains("kind");
  const auto kind = kindText != nullptr && kindText->is_string()
                      ? ParseFaultKind(std::string_view(kindText->get_string()))
                      : std::nullopt;
  if (!kind) {
    aProblem =
      "kind: allowed are none, delay, refuse, drop, stall, late, fail, lose_answer, outage";
    return std::nullopt;
  }
  const auto ms = NumberOf(object, "ms");
  const auto count = NumberOf(object, "count");
  const auto port = NumberOf(object, "port");
  if (!ms || !count || !port || *port > 65535) {
    aProblem = "ms, count and port: allowed are integers from 0, port at most 65535";
    return std::nullopt;
  }
  FaultCommand command;
  command.mFault = { *kind, std::chrono::milliseconds(*ms), static_cast<std::uint64_t>(*count) };
  command.mScope.mPort = static_cast<std::uint16_t>(*port);
  if (const auto* address = object.if_contains("address"); address != nullptr) {
    if (!address->is_string()) {
      aProblem = "address: allowed is an IP number as text";
      return std::nullopt;
    }
    command.mScope.mAddress = address->get_string();
  }
  return command;
}

} // namespace pollenwall::standin
