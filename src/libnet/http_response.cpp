#include <pollenwall/net/http_server.h>

#include <boost/json.hpp>

namespace pollenwall::net {
namespace {

namespace http = boost::beast::http;

http::status StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BadRequest:
      return http::status::bad_request;
    case ErrorCode::TooLarge:
      return http::status::payload_too_large;
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownTeam:
    case ErrorCode::UnknownJob:
      return http::status::not_found;
    case ErrorCode::NeverRunnable:
    case ErrorCode::ClockAhead:
      return http::status::unprocessable_entity;
    case ErrorCode::IdConflict:
    case ErrorCode::Cancelled:
      return http::status::conflict;
    case ErrorCode::QuotaExceeded:
      return http::status::too_many_requests;
    case ErrorCode::DeadlineUnreachable:
    case ErrorCode::Overloaded:
    case ErrorCode::NotReady:
    case ErrorCode::Stopping:
    case ErrorCode::OwnerUnreachable:
    case ErrorCode::OwnerUnsettled:
      return http::status::service_unavailable;
    case ErrorCode::TaskFailed:
    case ErrorCode::UpstreamLost:
      return http::status::bad_gateway;
    case ErrorCode::Expired:
      return http::status::gateway_timeout;
    case ErrorCode::Internal:
      break;
  }
  return http::status::internal_server_error;
}

} // namespace

HttpResponse JsonResponse(http::status aStatus, std::string aBody)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

HttpResponse ErrorResponse(const Error& aError)
{
  boost::json::object body;
  body["verdict"] = ToString(aError.mVerdict);
  body["code"] = ToString(aError.mCode);
  body["message"] = aError.mMessage;
  if (aError.mRetryAfter) {
    body["retry_after_ms"] = aError.mRetryAfter->count();
  }
  auto response = JsonResponse(StatusOf(aError.mCode), boost::json::serialize(body));
  response.set("Pollenwall-Verdict", ToString(aError.mVerdict));
  if (aError.mRetryAfter) {
    // Retry-After takes whole seconds, rounded up here; the body has the exact time.
    const auto seconds = (aError.mRetryAfter->count() + 999) / 1000;
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  return response;
}

} // namespace pollenwall::net
