#include <pollenwall/verdict.h>

#include <algorithm>
#include <array>
#include <utility>

namespace pollenwall {
namespace {

constexpr std::array<std::pair<Verdict, std::string_view>, 3> kVerdictNames{ {
  { Verdict::NotRun, "not_run" },
  { Verdict::MayHaveRun, "may_have_run" },
  { Verdict::Ran, "ran" },
} };

constexpr std::array<std::pair<ErrorCode, std::string_view>, 20> kCodeNames{ {
  { ErrorCode::BadRequest, "bad_request" },
  { ErrorCode::TooLarge, "too_large" },
  { ErrorCode::UnknownService, "unknown_service" },
  { ErrorCode::UnknownTeam, "unknown_team" },
  { ErrorCode::UnknownJob, "unknown_job" },
  { ErrorCode::NeverRunnable, "never_runnable" },
  { ErrorCode::DeadlineUnreachable, "deadline_unreachable" },
  { ErrorCode::QuotaExceeded, "quota_exceeded" },
  { ErrorCode::Overloaded, "overloaded" },
  { ErrorCode::NotReady, "not_ready" },
  { ErrorCode::Stopping, "stopping" },
  { ErrorCode::OwnerUnreachable, "owner_unreachable" },
  { ErrorCode::OwnerUnsettled, "owner_unsettled" },
  { ErrorCode::IdConflict, "id_conflict" },
  { ErrorCode::ClockAhead, "clock_ahead" },
  { ErrorCode::Cancelled, "cancelled" },
  { ErrorCode::TaskFailed, "task_failed" },
  { ErrorCode::UpstreamLost, "upstream_lost" },
  { ErrorCode::Expired, "expired" },
  { ErrorCode::Internal, "internal" },
} };

template<typename Enum, std::size_t N>
std::string_view NameOf(const std::array<std::pair<Enum, std::string_view>, N>& aNames, Enum aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "internal";
}

template<typename Enum, std::size_t N>
std::optional<Enum> ValueOf(const std::array<std::pair<Enum, std::string_view>, N>& aNames,
                            std::string_view aText)
{
  for (const auto& [value, name] : aNames) {
    if (name == aText) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view ToString(Verdict aVerdict)
{
  return NameOf(kVerdictNames, aVerdict);
}

std::string_view ToString(ErrorCode aCode)
{
  return NameOf(kCodeNames, aCode);
}

std::optional<Verdict> ParseVerdict(std::string_view aText)
{
  return ValueOf(kVerdictNames, aText);
}

std::optional<ErrorCode> ParseErrorCode(std::string_view aText)
{
  return ValueOf(kCodeNames, aText);
}

Verdict Combine(Verdict aOne, Verdict aOther)
{
  return std::max(aOne, aOther);
}

} // namespace pollenwall
