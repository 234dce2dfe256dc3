#include "upstream_protocol.h"

#include <boost/json.hpp>

namespace pollenwall::daemon {
namespace {

/// The error code of a refusal, from the header or otherwise from the JSON body.
std::optional<ErrorCode> RefusalCode(std::string_view aHeader, std::string_view aBody)
{
  if (const auto code = ParseErrorCode(aHeader)) {
    return code;
  }
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  const auto* code = value.get_object().if_contains("code");
  if (code == nullptr || !code->is_string()) {
    return std::nullopt;
  }
  return ParseErrorCode({ code->get_string().data(), code->get_string().size() });
}

} // namespace

std::string RunHeader(std::string_view aHost,
                      const TaskId& aTask,
                      UnixMs aNotAfterMs,
                      std::size_t aPayloadBytes)
{
  std::string text;
  text.reserve(256);
  text += "POST /v1/run HTTP/1.1\r\nHost: ";
  text += aHost;
  text += "\r\nPollenwall-Task: ";
  text += aTask.mJob;
  text += '/';
  text += std::to_string(aTask.mIndex);
  text += "\r\nPollenwall-Not-After: ";
  text += std::to_string(aNotAfterMs);
  text += "\r\nContent-Length: ";
  text += std::to_string(aPayloadBytes);
  text += "\r\n\r\n";
  return text;
}

std::string StopRequest(std::string_view aHost, const TaskId& aTask)
{
  const auto id = ToString(aTask);
  return "POST /v1/stop HTTP/1.1\r\nHost: " + std::string(aHost) + "\r\nPollenwall-Task: " + id +
         "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

std::string SlotsRequest(std::string_view aHost)
{
  return "GET /v1/slots HTTP/1.1\r\nHost: " + std::string(aHost) + "\r\n\r\n";
}

TaskOutcome OutcomeFromResponse(unsigned aStatus,
                                std::string_view aVerdict,
                                std::string_view aCode,
                                std::string aBody)
{
  TaskOutcome outcome;
  switch (aStatus) {
    case 200:
      outcome.mVerdict = Verdict::Ran;
      outcome.mResult = std::move(aBody);
      return outcome;
    case 500:
      outcome.mVerdict = Verdict::Ran;
      outcome.mCode = ErrorCode::TaskFailed;
      return outcome;
    case 409: {
      if (ParseVerdict(aVerdict) != Verdict::NotRun) {
        return LostOutcome(true);
      }
      outcome.mVerdict = Verdict::NotRun;
      const auto code = RefusalCode(aCode, aBody);
      const bool known =
        code == ErrorCode::Overloaded || code == ErrorCode::Stopping || code == ErrorCode::Expired;
      outcome.mCode = known ? *code : ErrorCode::Overloaded;
      return outcome;
    }
    default:
      return LostOutcome(true);
  }
}

TaskOutcome LostOutcome(bool aWritten)
{
  TaskOutcome outcome;
  outcome.mVerdict = aWritten ? Verdict::MayHaveRun : Verdict::NotRun;
  outcome.mCode = ErrorCode::UpstreamLost;
  return outcome;
}

std::optional<std::uint32_t> ParseBusySlots(std::string_view aBody)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  const auto* busy = value.get_object().if_contains("busy");
  if (busy == nullptr || !busy->is_number()) {
    return std::nullopt;
  }
  const auto n = busy->to_number<std::uint32_t>(ec);
  return ec ? std::nullopt : std::optional<std::uint32_t>(n);
}

} // namespace pollenwall::daemon
