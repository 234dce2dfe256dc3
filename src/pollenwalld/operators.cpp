#include "operators.h"

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>
#include <pollenwall/net/http_server.h>

#include "callers.h"
#include "node_loop.h"
#include "peers.h"
#include "process_metrics.h"
#include "resource_limits.h"
#include "upstreams.h"

namespace pollenwall::daemon {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kStopTimeout{ 2000 };
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxConnections = 100;

struct Operators
{
  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  std::shared_ptr<net::TlsKeys> mTls;
  std::shared_ptr<net::HttpServer> mServer;
};

net::HttpResponse RefusalResponse(http::status aStatus, std::string aMessage)
{
  auto response =
    net::ErrorResponse({ ErrorCode::BadRequest, Verdict::NotRun, std::move(aMessage), {} });
  response.result(aStatus);
  return response;
}

net::HttpResponse HandleRequest(Operators& aOperators, const net::HttpRequest& aRequest)
{
  const std::string_view target(aRequest.target().data(), aRequest.target().size());
  const auto path = target.substr(0, target.find('?'));
  if (path == "/v1/drain") {
    if (aRequest.method() != http::verb::post) {
      return RefusalResponse(http::status::method_not_allowed, "use POST for this path");
    }
    log::Info("drain_requested", { { "source", std::string("operators") } });
    BeginDrain(aOperators.mLoop);
    return net::JsonResponse(http::status::accepted, "{\"draining\":true}");
  }
  if (path.starts_with("/v1/jobs")) {
    return RefusalResponse(http::status::forbidden,
                           "this call is available on the callers' port only");
  }
  if (path != "/metrics" && path != "/dump" && path != "/v1/status" && path != "/healthz" &&
      path != "/v1/configuration") {
    return RefusalResponse(http::status::not_found, "there is no such path");
  }
  if (aRequest.method() != http::verb::get) {
    return RefusalResponse(http::status::method_not_allowed, "use GET for this path");
  }
  if (path == "/metrics") {
    const auto& state = *aOperators.mLoop.mState;
    metrics::Readings readings{ node::Counters(state), node::Gauges(state) };
    const auto* callers = kernel::Find<Callers>(aOperators.mDaemon.mKernel, "callers");
    net::AddBufferReadings({ callers->mServer, aOperators.mServer }, readings);
    return MetricsResponse(aOperators.mDaemon, std::move(readings));
  }
  if (path == "/dump") {
    return net::JsonResponse(http::status::ok, DumpText(aOperators.mDaemon));
  }
  if (path == "/v1/configuration") {
    auto snapshot = node::ConfigurationSnapshot(*aOperators.mLoop.mState);
    return snapshot ? net::JsonResponse(http::status::ok, std::move(*snapshot))
                    : RefusalResponse(http::status::service_unavailable,
                                      "the entry has no configuration yet");
  }
  if (path == "/healthz") {
    return net::JsonResponse(http::status::ok, "{\"alive\":true}");
  }
  return net::JsonResponse(http::status::ok,
                           node::StatusText(*aOperators.mLoop.mState, ReadClocks()));
}

Result<void> Start(Operators& aOperators)
{
  const auto& settings = aOperators.mDaemon.mSettings;
  auto options = MakeHttpOptions(aOperators.mDaemon, "operators", settings.mOperators);
  options.mMaxBodyBytes = kMaxBodyBytes;
  options.mMaxConnections = kMaxConnections;
  options.mTls = aOperators.mTls;
  BOOST_LEAF_ASSIGN(aOperators.mServer,
                    net::StartHttpServer(
                      aOperators.mDaemon.mContext,
                      std::move(options),
                      [&aOperators](net::HttpRequest& aRequest, net::HttpConnection&) {
                        return HandleRequest(aOperators, aRequest);
                      },
                      aOperators.mDaemon.mMetrics));
  log::Info("listening",
            { { "listener", std::string("operators") },
              { "address", net::ToString(net::LocalEndpoint(*aOperators.mServer)) } });
  return {};
}

} // namespace

void RegisterOperators(DaemonContext& aDaemon, std::shared_ptr<net::TlsKeys> aTls)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  auto operators =
    std::make_shared<Operators>(Operators{ aDaemon, loop, std::move(aTls), nullptr });
  kernel::Register(aDaemon.mKernel,
                   { "operators",
                     { "node", "upstreams", "peers" },
                     [operators] { return Start(*operators); },
                     [operators] { net::StopHttpServer(*operators->mServer, kStopTimeout); },
                     operators.get() });
}

std::string DumpText(const DaemonContext& aDaemon)
{
  const auto* loop = kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  const auto* upstreams = kernel::Find<Upstreams>(aDaemon.mKernel, "upstreams");
  const auto* peers = kernel::Find<Peers>(aDaemon.mKernel, "peers");
  const auto* callers = kernel::Find<Callers>(aDaemon.mKernel, "callers");
  std::string text = "{\"draining\":";
  text += loop->mStopping ? "true" : "false";
  text += ",\"waiting_calls\":" + std::to_string(callers->mWaiting.size());
  text += ",\"fibers\":" + std::to_string(net::RunningFibers());
  text += ",\"peers\":" + DescribePeers(*peers);
  text += ",\"upstream_pools\":" + DescribeUpstreams(*upstreams);
  text += ",\"node\":" + node::Dump(*loop->mState, ReadClocks());
  return text + "}";
}

} // namespace pollenwall::daemon
