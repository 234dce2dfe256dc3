#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <pollenwall/metrics.h>
#include <pollenwall/net/buffer_budget.h>
#include <pollenwall/net/stream.h>
#include <pollenwall/net/tls.h>
#include <pollenwall/verdict.h>

/// An HTTP/1.1 server with one fiber per connection, persistent connections, and limits on the size
/// and duration of all input.
namespace pollenwall::net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The condition under which a caller counts as disconnected.
enum class DisconnectCondition
{
  Reset,  ///< The connection was reset. A caller that only half-closed it may still wait.
  Closed, ///< The connection was closed, half-closed or reset: for callers that never half-close.
};

struct HttpServerOptions
{
  std::string mName; ///< Label of the server's metrics, for example "callers".
  Tcp::endpoint mListen;
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxTrailerBytes = 16 * 1024; ///< Trailers and chunk extensions of one request.
  std::size_t mMaxConnections = 2000;
  /// Of the kernel for each direction of a connection; 0: as the system decides.
  std::size_t mSocketBufferBytes = 0;
  /// At the limit, a connection that has waited for its caller for this time makes room for a new
  /// one: for a request or the rest of one, or for the response to be read.
  std::chrono::milliseconds mMinWaitToReplace{ 1000 };
  std::chrono::milliseconds mIdleTimeout{ 75000 }; ///< Between two requests.
  /// From a request's first byte to the end of its header.
  std::chrono::milliseconds mHeaderTimeout{ 10000 };
  /// From a request's first byte to its last; also the limit for a TLS handshake.
  std::chrono::milliseconds mRequestTimeout{ 10000 };
  std::chrono::milliseconds mWriteTimeout{ 10000 }; ///< For the caller to read a response.
  /// A stop keeps serving until no connection or request has arrived for this long, so that load
  /// balancers have noticed that the process is not ready.
  std::chrono::milliseconds mStopQuietPeriod{ 0 };
  std::shared_ptr<TlsKeys> mTls; ///< Null: no TLS.
  /// A request whose caller has disconnected before it is read is not passed to the handler.
  DisconnectCondition mDisconnect = DisconnectCondition::Reset;
  std::shared_ptr<BufferBudget> mBudget; ///< Null: no bound on the bytes of all connections.
};

/// An accepted connection, opaque to request handlers.
struct HttpConnection;

/// The connection's socket, for FindClosed. The number may be used again once the connection's
/// fiber has ended.
int NativeSocket(HttpConnection& aConnection);

/// Calls the function once if the caller disconnects during the lifetime of this object.
struct DisconnectWatch
{
  DisconnectWatch(HttpConnection& aConnection,
                  std::function<void()> aFunction,
                  DisconnectCondition aCondition = DisconnectCondition::Reset);
  ~DisconnectWatch();
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

private:
  HttpConnection& mConnection;
  std::shared_ptr<std::function<void()>> mFunction;
};

/// Frees a request that its handler no longer needs, before the handler waits. Until the response
/// is written, the bytes of a request count in the budget and its connection cannot be closed.
void ReleaseRequest(HttpRequest& aRequest, HttpConnection& aConnection);

/// Runs in the connection's fiber and may suspend it.
using HttpHandler = std::function<HttpResponse(HttpRequest&, HttpConnection&)>;

struct HttpServer;

/// Starts to listen. Returns an error if the address cannot be bound.
Result<std::shared_ptr<HttpServer>> StartHttpServer(boost::asio::io_context& aContext,
                                                    HttpServerOptions aOptions,
                                                    HttpHandler aHandler,
                                                    metrics::Registry& aMetrics);

/// The bound address, with the port that the system assigned if port 0 was requested.
Tcp::endpoint LocalEndpoint(const HttpServer& aServer);

/// Adds the gauge of buffered bytes of each server. Null stands for one that has not started.
void AddBufferReadings(const std::vector<std::shared_ptr<HttpServer>>& aServers,
                       metrics::Readings& aReadings);

/// Stops gracefully: waits for the quiet period (at most half of the limit), stops listening,
/// closes idle connections, and lets requests in progress complete. Returns when all connections
/// are closed or the limit has passed, with the number of connections that were closed forcibly.
std::size_t StopHttpServer(HttpServer& aServer, std::chrono::milliseconds aLimit);

/// Sends `Connection: close` with all further responses, so that callers reconnect elsewhere.
void DisableKeepAlive(HttpServer& aServer);

/// A response with a JSON body.
HttpResponse JsonResponse(boost::beast::http::status aStatus, std::string aBody);

/// An error as a JSON response, with the headers Pollenwall-Verdict and, if the error has a
/// retry delay, Retry-After.
HttpResponse ErrorResponse(const Error& aError);

} // namespace pollenwall::net
