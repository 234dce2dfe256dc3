#include "log_client.h"

#include <optional>

#include <boost/json.hpp>

#include "http_client.h"

namespace pollenwall::tool {
namespace {

namespace json = boost::json;

constexpr int kPageRecords = 100;

std::string Target()
{
  return "/v1/streams/" + std::string(configuration::kStream) + "/records";
}

boost::leaf::error_id MalformedAnswer(const LogClient& aClient)
{
  return boost::leaf::new_error(
    Error{ ErrorCode::Internal,
           Verdict::MayHaveRun,
           settings::ToString(aClient.mServer) + ": the answer is not that of a log service",
           {} });
}

std::optional<std::uint64_t> GetNumber(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  json::error_code ec;
  const auto n = value ? value->to_number<std::uint64_t>(ec) : 0;
  return value && !ec ? std::optional(n) : std::nullopt;
}

/// Applies the records of a page. Returns their number, or nothing when the page is malformed.
std::optional<std::size_t> ApplyPage(LogClient& aClient, const std::string& aBody)
{
  json::error_code ec;
  const auto page = json::parse(aBody, ec);
  const auto* object = ec ? nullptr : page.if_object();
  const auto first = object ? GetNumber(*object, "first") : std::nullopt;
  const auto* records = object ? object->if_contains("records") : nullptr;
  if (!first || !records || !records->is_array()) {
    return std::nullopt;
  }
  configuration::NoteOldestOffset(aClient.mLog, *first);
  for (const auto& value : records->get_array()) {
    const auto* record = value.if_object();
    const auto offset = record ? GetNumber(*record, "offset") : std::nullopt;
    const auto at = record ? GetNumber(*record, "at_ms") : std::nullopt;
    const auto* data = record ? record->if_contains("data") : nullptr;
    if (!offset || !at || !data) {
      return std::nullopt;
    }
    // Log services may return a record as a JSON value or as a string that holds its JSON text.
    const auto text = data->is_string() ? std::string(data->get_string()) : json::serialize(*data);
    auto outcome =
      configuration::ApplyRecord(aClient.mLog, *offset, static_cast<UnixMs>(*at), text);
    if (!outcome.mId.empty() && outcome.mKind != configuration::OutcomeKind::Deferred) {
      const auto id = outcome.mId;
      aClient.mOutcomes.emplace(id, std::move(outcome));
    }
  }
  return records->get_array().size();
}

} // namespace

Result<void> CatchUp(LogClient& aClient)
{
  for (;;) {
    const auto from = aClient.mLog.mNext;
    Call call;
    call.mServer = aClient.mServer;
    call.mTls.mEnabled = false;
    call.mTimeout = aClient.mTimeout;
    call.mTarget = Target() + "?from=" + std::to_string(from) +
                   "&max=" + std::to_string(kPageRecords) + "&wait_ms=0";
    BOOST_LEAF_AUTO(body, Send(call));
    const auto n = ApplyPage(aClient, body);
    if (!n) {
      return MalformedAnswer(aClient);
    }
    // Stops when a page brings no new record, so that a service that repeats pages can't cause an
    // endless loop.
    if (*n == 0 || aClient.mLog.mNext <= from) {
      return {};
    }
  }
}

Result<std::uint64_t> Append(LogClient& aClient, std::string_view aRecord)
{
  Call call;
  call.mServer = aClient.mServer;
  call.mTls.mEnabled = false;
  call.mTimeout = aClient.mTimeout;
  call.mMethod = "POST";
  call.mTarget = Target();
  call.mBody = aRecord;
  BOOST_LEAF_AUTO(body, Send(call));
  json::error_code ec;
  const auto answer = json::parse(body, ec);
  const auto offset =
    !ec && answer.is_object() ? GetNumber(answer.get_object(), "offset") : std::nullopt;
  if (!offset) {
    return MalformedAnswer(aClient);
  }
  return *offset;
}

} // namespace pollenwall::tool
