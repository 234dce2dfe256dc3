#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <pollenwall/metrics.h>
#include <pollenwall/net/stream.h>
#include <pollenwall/net/tls.h>
#include <pollenwall/verdict.h>

/// An HTTP/1.1 server: one fiber per connection, several requests on one connection, every input
/// bounded.
namespace pollenwall::net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct HttpServerOptions
{
  std::string mName; ///< Label of its metrics, for example "callers".
  Tcp::endpoint mListen;
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxConnections = 2000;
  std::chrono::milliseconds mIdleTimeout{ 75000 };    ///< Between two requests.
  std::chrono::milliseconds mRequestTimeout{ 10000 }; ///< From a request's first byte to its last.
  std::chrono::milliseconds mWriteTimeout{ 10000 };   ///< For the caller to read an answer.
  /// A stop goes on serving until no connection or request has arrived for this long, so that a
  /// balancer which still sends callers here has seen that the process is not ready.
  std::chrono::milliseconds mQuietBeforeStop{ 0 };
  std::shared_ptr<TlsKeys> mTls; ///< Null: no TLS.
};

/// One connection as the request handler sees it.
struct HttpConnection;

/// What tells that a caller is gone.
enum class GoneSign
{
  Reset,  ///< Its connection was reset. A caller that closed its sending side may still wait.
  Closed, ///< It closed its sending side or was reset: for callers that never half-close.
};

/// Calls the function once if the caller goes before the watch ends.
struct GoneWatch
{
  GoneWatch(HttpConnection& aConnection,
            std::function<void()> aFunction,
            GoneSign aSign = GoneSign::Reset);
  ~GoneWatch();
  GoneWatch(const GoneWatch&) = delete;
  GoneWatch& operator=(const GoneWatch&) = delete;

private:
  HttpConnection& mConnection;
  std::shared_ptr<std::function<void()>> mFunction;
};

/// Runs in the connection's fiber and may suspend it.
using HttpHandler = std::function<HttpResponse(HttpRequest&, HttpConnection&)>;

struct HttpServer;

/// Starts to listen. Fails with the reason when the address cannot be bound.
Result<std::shared_ptr<HttpServer>> StartHttpServer(boost::asio::io_context& aContext,
                                                    HttpServerOptions aOptions,
                                                    HttpHandler aHandler,
                                                    metrics::Registry& aMetrics);

/// The address in use, with the port that the system chose when port 0 was asked for.
Tcp::endpoint LocalEndpoint(const HttpServer& aServer);

/// Waits for quiet for at most half of the limit, stops listening, lets requests that have begun
/// end, closes idle connections, and returns when all connections are closed or the limit has
/// passed. Returns the number of connections cut off.
std::size_t StopHttpServer(HttpServer& aServer, std::chrono::milliseconds aLimit);

/// Answers from now on tell callers to close their connections, so that they reconnect elsewhere.
void CloseAfterAnswers(HttpServer& aServer);

/// An answer with a JSON body.
HttpResponse JsonResponse(boost::beast::http::status aStatus, std::string aBody);

/// A refusal or failure as JSON, with the verdict and retry-after headers.
HttpResponse ErrorResponse(const Error& aError);

} // namespace pollenwall::net
