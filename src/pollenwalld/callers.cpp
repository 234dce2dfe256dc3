#include "callers.h"

#include <algorithm>
#include <charconv>

#include <boost/leaf/handle_errors.hpp>
#include <boost/url/parse.hpp>

#include <pollenwall/log.h>

#include "core_loop.h"
#include "resource_limits.h"

namespace pollenwall::daemon {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kJobsPath = "/v1/jobs";
/// Optional request header that is echoed in the answer, so that a caller can match the two.
constexpr std::string_view kRequestIdHeader = "Pollenwall-Request";
constexpr std::size_t kMaxRequestIdBytes = 128;
/// Longer waits would hold connections that the caller may have abandoned.
constexpr std::int64_t kMaxWaitMs = 300'000;
constexpr std::chrono::milliseconds kStopTimeout{ 10000 };
/// Longer than the interval of about a second at which load balancers commonly poll readiness.
constexpr std::chrono::milliseconds kQuietBeforeStop{ 1500 };

net::HttpResponse RefusalResponse(ErrorCode aCode, std::string aMessage)
{
  return net::ErrorResponse({ aCode, Verdict::NotRun, std::move(aMessage), {} });
}

net::HttpResponse MethodNotAllowed(std::string_view aAllowed)
{
  auto response = RefusalResponse(ErrorCode::BadRequest, "the method is not allowed for this path");
  response.result(http::status::method_not_allowed);
  response.set(http::field::allow, { aAllowed.data(), aAllowed.size() });
  return response;
}

/// Posts the event and suspends the connection's fiber until the node answers the request.
node::AnswerCaller PostAndWait(Callers& aCallers,
                               net::HttpConnection& aConnection,
                               dispatch::RequestId aRequest,
                               node::Event aEvent)
{
  net::OneShot<node::AnswerCaller> answer;
  aCallers.mWaiting[aRequest] = &answer;
  Post(aCallers.mLoop, std::move(aEvent));
  net::DisconnectWatch watch(aConnection, [&aCallers, &answer, aRequest] {
    // The answer can no longer be delivered; the job continues.
    aCallers.mWaiting.erase(aRequest);
    Post(aCallers.mLoop, node::CallerDisconnected{ aRequest });
    metrics::Add(aCallers.mDaemon.mMetrics, "callers_gone_total");
    answer.Set({ aRequest,
                 std::nullopt,
                 Error{ ErrorCode::Internal, Verdict::MayHaveRun, "the caller is gone", {} } });
  });
  return std::move(answer.Wait());
}

net::HttpResponse ToResponse(const node::AnswerCaller& aAnswer, bool aSubmitted)
{
  if (aAnswer.mError) {
    return net::ErrorResponse(*aAnswer.mError);
  }
  if (!aAnswer.mAnswer) {
    return net::ErrorResponse(
      { ErrorCode::Internal, Verdict::MayHaveRun, "the answer is missing", {} });
  }
  const auto& answer = *aAnswer.mAnswer;
  if (answer.mState == JobState::Running && aSubmitted) {
    std::string body = "{\"id\":";
    AppendJsonString(body, answer.mId);
    return net::JsonResponse(http::status::accepted, body + "}");
  }
  auto response = net::JsonResponse(http::status::ok, EncodeAnswer(answer));
  response.set("Pollenwall-Verdict", ToString(answer.mVerdict));
  return response;
}

net::HttpResponse SubmitJob(Callers& aCallers,
                            net::HttpRequest& aRequest,
                            net::HttpConnection& aConnection)
{
  Error error;
  // Decoding must not suspend the fiber: LEAF keeps its handlers in thread-local storage, which
  // another fiber would change.
  auto submission = boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<Submission>> {
      BOOST_LEAF_AUTO(decoded, DecodeSubmission(aRequest.body(), aCallers.mLimits));
      return std::optional<Submission>(std::move(decoded));
    },
    [&error](const Error& aError) {
      error = aError;
      return std::optional<Submission>();
    },
    [] { return std::optional<Submission>(); });
  if (!submission) {
    metrics::Add(aCallers.mDaemon.mMetrics, "jobs_malformed_total");
    return net::ErrorResponse(error);
  }
  net::ReleaseRequest(aRequest, aConnection);
  const auto start = std::chrono::steady_clock::now();
  const bool wait = submission->mWait;
  const auto request = ++aCallers.mLoop.mLastRequestId;
  const auto answer = PostAndWait(aCallers,
                                  aConnection,
                                  request,
                                  node::CallerSubmit{ request, wait, std::move(submission->mJob) });
  metrics::Observe(aCallers.mDaemon.mMetrics,
                   wait ? "job_seconds{wait=\"true\"}" : "job_seconds{wait=\"false\"}",
                   std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  return ToResponse(answer, !wait);
}

/// The parameters of a status or cancel request.
struct JobQuery
{
  std::string mId;
  std::string mTeam;
  std::int64_t mWaitMs = 0;
  std::string mProblem; ///< Empty if the request is valid.
};

JobQuery ParseJobQuery(std::string_view aTarget)
{
  JobQuery query;
  const auto url = boost::urls::parse_origin_form(aTarget);
  if (!url) {
    query.mProblem = "the request target is not valid";
    return query;
  }
  const auto path = url->path();
  query.mId = path.substr(std::min(path.size(), kJobsPath.size() + 1));
  if (query.mId.empty() || query.mId.size() > 512) {
    query.mProblem = "the path has no valid job id";
  }
  for (const auto& param : url->params()) {
    if (param.key == "team" && !param.value.empty()) {
      query.mTeam = param.value;
    } else if (param.key == "wait_ms") {
      const auto* end = param.value.data() + param.value.size();
      const auto [last, ec] = std::from_chars(param.value.data(), end, query.mWaitMs);
      if (ec != std::errc() || last != end || query.mWaitMs < 0 || query.mWaitMs > kMaxWaitMs) {
        query.mProblem = "wait_ms is not an integer from 0 to " + std::to_string(kMaxWaitMs);
      }
    } else {
      query.mProblem = "the query has the unknown or empty parameter " + param.key.substr(0, 64);
    }
  }
  if (query.mTeam.empty() && query.mProblem.empty()) {
    query.mProblem = "the query parameter team is missing";
  }
  return query;
}

net::HttpResponse QueryOrCancelJob(Callers& aCallers,
                                   net::HttpRequest& aRequest,
                                   net::HttpConnection& aConnection)
{
  auto query = ParseJobQuery({ aRequest.target().data(), aRequest.target().size() });
  const bool cancel = aRequest.method() == http::verb::delete_;
  if (query.mProblem.empty() && cancel && query.mWaitMs != 0) {
    query.mProblem = "wait_ms is not allowed with DELETE";
  }
  if (!query.mProblem.empty()) {
    // The requested job may have run.
    return net::ErrorResponse({ ErrorCode::BadRequest, Verdict::MayHaveRun, query.mProblem, {} });
  }
  net::ReleaseRequest(aRequest, aConnection);
  const auto request = ++aCallers.mLoop.mLastRequestId;
  node::Event event;
  if (cancel) {
    event = node::CallerCancel{ request, std::move(query.mId), std::move(query.mTeam) };
  } else {
    event = node::CallerStatus{ request,
                                std::move(query.mId),
                                std::move(query.mTeam),
                                std::chrono::milliseconds(query.mWaitMs) };
  }
  return ToResponse(PostAndWait(aCallers, aConnection, request, std::move(event)), false);
}

bool IsOperatorsPath(std::string_view aPath)
{
  return aPath == "/metrics" || aPath == "/dump" || aPath == "/v1/status" || aPath == "/v1/drain";
}

net::HttpResponse Route(Callers& aCallers,
                        net::HttpRequest& aRequest,
                        net::HttpConnection& aConnection)
{
  const std::string_view target(aRequest.target().data(), aRequest.target().size());
  const auto path = target.substr(0, target.find('?'));
  if (path == kJobsPath) {
    return aRequest.method() == http::verb::post ? SubmitJob(aCallers, aRequest, aConnection)
                                                 : MethodNotAllowed("POST");
  }
  if (path.starts_with("/v1/jobs/")) {
    const bool allowed =
      aRequest.method() == http::verb::get || aRequest.method() == http::verb::delete_;
    return allowed ? QueryOrCancelJob(aCallers, aRequest, aConnection)
                   : MethodNotAllowed("GET, DELETE");
  }
  if (path == "/healthz") {
    return net::JsonResponse(http::status::ok, "{\"alive\":true}");
  }
  if (path == "/readyz") {
    const bool ready = !aCallers.mLoop.mStopping && node::IsReady(*aCallers.mLoop.mState);
    return net::JsonResponse(ready ? http::status::ok : http::status::service_unavailable,
                             ready ? "{\"ready\":true}" : "{\"ready\":false}");
  }
  if (IsOperatorsPath(path)) {
    auto response =
      RefusalResponse(ErrorCode::BadRequest, "this call is available on the operators' port only");
    response.result(http::status::forbidden);
    return response;
  }
  auto response = RefusalResponse(ErrorCode::BadRequest, "there is no such path");
  response.result(http::status::not_found);
  return response;
}

void Stop(Callers& aCallers)
{
  const auto left = net::StopHttpServer(*aCallers.mServer, kStopTimeout);
  if (left > 0) {
    log::Warning("connections_cut_off", { { "count", static_cast<std::int64_t>(left) } });
  }
}

} // namespace

Result<void> StartCallers(Callers& aCallers)
{
  aCallers.mLoop.mHandlers.mAnswerCaller = [&aCallers](node::AnswerCaller& aAction) {
    WakeCaller(aCallers.mWaiting, aAction);
  };
  const auto& settings = aCallers.mDaemon.mSettings;
  auto options = MakeHttpOptions(aCallers.mDaemon, "callers", settings.mCallers);
  options.mMaxBodyBytes = settings.mHttp.mMaxBodyBytes;
  options.mMaxHeaderBytes = settings.mHttp.mMaxHeaderBytes;
  options.mMaxConnections =
    std::min(settings.mHttp.mMaxConnections, aCallers.mDaemon.mLimits.mMaxConnections);
  options.mStopQuietPeriod = kQuietBeforeStop;
  aCallers.mLimits.mMaxTasks = settings.mNode.mDispatch.mMaxTasksPerJob;
  BOOST_LEAF_ASSIGN(aCallers.mServer,
                    net::StartHttpServer(
                      aCallers.mDaemon.mContext,
                      std::move(options),
                      [&aCallers](net::HttpRequest& aRequest, net::HttpConnection& aConnection) {
                        return HandleCallerRequest(aCallers, aRequest, aConnection);
                      },
                      aCallers.mDaemon.mMetrics));
  log::Info("listening",
            { { "listener", std::string("callers") },
              { "address", net::ToString(net::LocalEndpoint(*aCallers.mServer)) } });
  return {};
}

net::HttpResponse HandleCallerRequest(Callers& aCallers,
                                      net::HttpRequest& aRequest,
                                      net::HttpConnection& aConnection)
{
  std::string id(aRequest[kRequestIdHeader.data()].data(),
                 aRequest[kRequestIdHeader.data()].size());
  auto response = Route(aCallers, aRequest, aConnection);
  if (aCallers.mLoop.mStopping) {
    // Makes callers reconnect through the load balancer to another entry.
    net::DisableKeepAlive(*aCallers.mServer);
  }
  if (!id.empty() && id.size() <= kMaxRequestIdBytes) {
    response.set(kRequestIdHeader.data(), id);
  }
  return response;
}

void RegisterCallers(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  auto callers = std::make_shared<Callers>(aDaemon, loop);
  kernel::Register(aDaemon.mKernel,
                   { "callers",
                     { "node", "upstreams", "peers", "log", "vm_list" },
                     [callers] { return StartCallers(*callers); },
                     [callers] { Stop(*callers); },
                     callers.get() });
}

} // namespace pollenwall::daemon
