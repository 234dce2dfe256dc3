#include <pollenwall/net/http_server.h>

#include <array>
#include <list>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>

namespace pollenwall::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

struct HttpConnection
{
  explicit HttpConnection(Socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  Stream mStream;
  beast::flat_buffer mBuffer;
  Clock::time_point mCloseAt = Clock::time_point::max(); ///< The sweep cancels I/O after this.
  bool mTimedOut = false;
  bool mIdle = false; ///< No byte of the next request has arrived.
};

struct HttpServer
{
  HttpServer(asio::io_context& aContext,
             HttpServerOptions aOptions,
             HttpHandler aHandler,
             metrics::Registry& aMetrics)
    : mContext(aContext)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mMetrics(aMetrics)
    , mAcceptor(aContext)
    , mSweep(aContext)
    , mLabel("{listener=\"" + mOptions.mName + "\"}")
  {
  }

  asio::io_context& mContext;
  HttpServerOptions mOptions;
  HttpHandler mHandler;
  metrics::Registry& mMetrics;
  asio::basic_socket_acceptor<Tcp, Executor> mAcceptor;
  asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor> mSweep;
  std::string mLabel; ///< Label of this listener's metrics.
  std::list<HttpConnection*> mConnections;
  Clock::time_point mLastArrival; ///< Time of the last new connection or request.
  bool mSweeping = false;
  bool mKeepAliveDisabled = false;
};

namespace {

/// Interval at which timeouts are checked. One timer for all connections costs less than one for
/// each read.
constexpr std::chrono::milliseconds kSweepInterval{ 250 };
/// Time for which a closing connection discards input, so that a reset does not overtake the
/// response.
constexpr std::chrono::milliseconds kLingerTimeout{ 2000 };
constexpr std::chrono::milliseconds kStopPoll{ 20 };

Error InputError(ErrorCode aCode, std::string aMessage)
{
  return { aCode, Verdict::NotRun, std::move(aMessage), {} };
}

/// The error to send for a request that could not be read, or nothing if the connection ended.
std::optional<Error> ReadError(const HttpConnection& aConnection,
                               const boost::system::error_code& aEc)
{
  if (aConnection.mTimedOut) {
    return InputError(ErrorCode::BadRequest, "the request did not arrive within the time allowed");
  }
  if (aEc == http::error::body_limit) {
    return InputError(ErrorCode::TooLarge, "the request body exceeds the limit");
  }
  if (aEc == http::error::header_limit || aEc == http::error::buffer_overflow) {
    return InputError(ErrorCode::TooLarge, "the request header exceeds the limit");
  }
  if (aEc == http::error::end_of_stream) {
    return std::nullopt;
  }
  if (aEc == http::error::partial_message) {
    return InputError(ErrorCode::BadRequest, "the request ended before its last byte");
  }
  if (aEc.category() == make_error_code(http::error::bad_method).category()) {
    return InputError(ErrorCode::BadRequest, "the request is not valid HTTP/1.1: " + aEc.message());
  }
  return std::nullopt;
}

void Sweep(const std::shared_ptr<HttpServer>& aServer)
{
  aServer->mSweeping = !aServer->mConnections.empty();
  if (!aServer->mSweeping) {
    return;
  }
  aServer->mSweep.expires_after(kSweepInterval);
  aServer->mSweep.async_wait([aServer](const boost::system::error_code&) {
    const auto now = Clock::now();
    for (auto* connection : aServer->mConnections) {
      if (connection->mCloseAt > now) {
        continue;
      }
      connection->mCloseAt = Clock::time_point::max();
      connection->mTimedOut = true;
      boost::system::error_code ec;
      connection->mStream.mSocket.cancel(ec);
    }
    Sweep(aServer);
  });
}

bool Write(HttpServer& aServer, HttpConnection& aConnection, HttpResponse& aResponse)
{
  aResponse.prepare_payload();
  aConnection.mTimedOut = false;
  aConnection.mCloseAt = Clock::now() + aServer.mOptions.mWriteTimeout;
  boost::system::error_code ec;
  http::async_write(aConnection.mStream, aResponse, Await(ec));
  return !ec;
}

/// Shuts down sending and discards input until the caller closes. Closing with unread input would
/// reset the connection, and the caller could lose the response.
void Linger(HttpConnection& aConnection)
{
  boost::system::error_code ec;
  aConnection.mTimedOut = false;
  aConnection.mCloseAt = Clock::now() + kLingerTimeout;
  if (aConnection.mStream.mTls) {
    aConnection.mStream.mTls->async_shutdown(Await(ec));
  }
  aConnection.mStream.mSocket.shutdown(Socket::shutdown_send, ec);
  std::array<char, 4096> buf;
  while (!ec && !aConnection.mTimedOut) {
    aConnection.mStream.mSocket.async_read_some(asio::buffer(buf), Await(ec));
  }
}

/// Reads one request. Returns false if the connection is to be closed; an error response has then
/// been written if one is due.
bool Read(HttpServer& aServer,
          HttpConnection& aConnection,
          http::request_parser<http::string_body>& aParser)
{
  boost::system::error_code ec;
  auto& stream = aConnection.mStream;
  if (aConnection.mBuffer.size() == 0) {
    aConnection.mIdle = true;
    aConnection.mCloseAt = Clock::now() + aServer.mOptions.mIdleTimeout;
    const auto n = stream.async_read_some(aConnection.mBuffer.prepare(4096), Await(ec));
    aConnection.mIdle = false;
    if (ec || n == 0) {
      return false;
    }
    aConnection.mBuffer.commit(n);
  }
  aServer.mLastArrival = Clock::now();
  aConnection.mCloseAt = Clock::now() + aServer.mOptions.mRequestTimeout;
  aParser.header_limit(static_cast<std::uint32_t>(aServer.mOptions.mMaxHeaderBytes));
  aParser.body_limit(aServer.mOptions.mMaxBodyBytes);
  http::async_read_header(stream, aConnection.mBuffer, aParser, Await(ec));
  if (!ec && !aParser.is_done()) {
    if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed(http::status::continue_, 11);
      http::async_write(stream, proceed, Await(ec));
    }
    if (!ec) {
      http::async_read(stream, aConnection.mBuffer, aParser, Await(ec));
    }
  }
  aConnection.mCloseAt = Clock::time_point::max();
  if (!ec) {
    return true;
  }
  const auto error = ReadError(aConnection, ec);
  if (error) {
    metrics::Add(aServer.mMetrics, "http_bad_requests_total" + aServer.mLabel);
    auto response = ErrorResponse(*error);
    if (aConnection.mTimedOut) {
      response.result(http::status::request_timeout);
    }
    response.keep_alive(false);
    if (Write(aServer, aConnection, response)) {
      Linger(aConnection);
    }
  }
  return false;
}

/// Whether the caller of a request that has been read has disconnected meanwhile. A close behind
/// further input is not detected.
bool HasDisconnected(Socket& aSocket, DisconnectCondition aCondition)
{
  char byte = 0;
  const auto n = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 ? aCondition == DisconnectCondition::Closed
                : n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

void Serve(HttpServer& aServer, HttpConnection& aConnection)
{
  if (aServer.mOptions.mTls) {
    aConnection.mCloseAt = Clock::now() + aServer.mOptions.mRequestTimeout;
    const auto ec = Handshake(
      aConnection.mStream, aServer.mOptions.mTls->mServer, asio::ssl::stream_base::server);
    if (ec) {
      metrics::Add(aServer.mMetrics, "tls_failures_total" + aServer.mLabel);
      return;
    }
  }
  for (;;) {
    http::request_parser<http::string_body> parser;
    if (!Read(aServer, aConnection, parser)) {
      return;
    }
    metrics::Add(aServer.mMetrics, "http_requests_total" + aServer.mLabel);
    // A request may have waited in the socket while the process was slow or paused. Its caller may
    // have left long ago and sent it elsewhere.
    if (HasDisconnected(aConnection.mStream.mSocket, aServer.mOptions.mDisconnect)) {
      metrics::Add(aServer.mMetrics, "http_requests_abandoned_total" + aServer.mLabel);
      return;
    }
    const bool keep = parser.keep_alive();
    HttpResponse response;
    try {
      auto request = parser.release();
      response = aServer.mHandler(request, aConnection);
    } catch (const std::exception& error) {
      log::LogError("request_failed", { { "message", std::string(error.what()) } });
      response = ErrorResponse({ ErrorCode::Internal, Verdict::MayHaveRun, "internal error", {} });
    }
    response.keep_alive(keep && !aServer.mKeepAliveDisabled);
    if (!Write(aServer, aConnection, response)) {
      return;
    }
    if (!response.keep_alive()) {
      Linger(aConnection);
      return;
    }
  }
}

void Refuse(Socket aSocket)
{
  auto response = ErrorResponse({ ErrorCode::Overloaded,
                                  Verdict::NotRun,
                                  "too many connections",
                                  std::chrono::milliseconds(500) });
  response.keep_alive(false);
  response.prepare_payload();
  boost::system::error_code ec;
  // The whole response fits into the empty send buffer of a new connection, so this does not block.
  http::write(aSocket, response, ec);
  aSocket.shutdown(Socket::shutdown_send, ec);
}

/// Serves the connection in a fiber of its own. It is in mConnections until the fiber ends, also by
/// an exception.
void StartConnection(const std::shared_ptr<HttpServer>& aServer, Socket aSocket)
{
  auto connection = std::make_shared<HttpConnection>(std::move(aSocket));
  aServer->mConnections.push_front(connection.get());
  const auto position = aServer->mConnections.begin();
  try {
    Spawn([aServer, connection, position] {
      try {
        Serve(*aServer, *connection);
      } catch (const std::exception& error) {
        log::LogError("connection_failed", { { "message", std::string(error.what()) } });
      }
      aServer->mConnections.erase(position);
    });
  } catch (const std::exception&) {
    aServer->mConnections.erase(position);
    throw;
  }
  if (!aServer->mSweeping) {
    Sweep(aServer);
  }
}

void Accept(const std::shared_ptr<HttpServer>& aServer)
{
  for (;;) {
    boost::system::error_code ec;
    Socket socket(aServer->mContext);
    aServer->mAcceptor.async_accept(socket, Await(ec));
    if (!aServer->mAcceptor.is_open()) {
      return;
    }
    if (ec) {
      // File descriptors or memory are exhausted; connections wait in the backlog until the retry.
      log::Warning("accept_failed", { { "message", ec.message() } });
      SleepFor(aServer->mContext, std::chrono::milliseconds(100));
      continue;
    }
    ConfigureSocket(socket);
    aServer->mLastArrival = Clock::now();
    if (aServer->mConnections.size() >= aServer->mOptions.mMaxConnections) {
      metrics::Add(aServer->mMetrics, "http_connections_refused_total" + aServer->mLabel);
      if (!aServer->mOptions.mTls) {
        Refuse(std::move(socket));
      }
      continue;
    }
    bool failed = false; // A fiber must not suspend inside a catch block.
    try {
      StartConnection(aServer, std::move(socket));
    } catch (const std::exception& error) {
      // No memory for the connection or its stack; later connections are still accepted.
      log::Warning("accept_failed", { { "message", std::string(error.what()) } });
      failed = true;
    }
    if (failed) {
      SleepFor(aServer->mContext, std::chrono::milliseconds(100));
    }
  }
}

bool HasInput(Socket& aSocket)
{
  int n = 0;
  return ::ioctl(aSocket.native_handle(), FIONREAD, &n) == 0 && n > 0;
}

} // namespace

int NativeSocket(HttpConnection& aConnection)
{
  return aConnection.mStream.mSocket.native_handle();
}

DisconnectWatch::DisconnectWatch(HttpConnection& aConnection,
                                 std::function<void()> aFunction,
                                 DisconnectCondition aCondition)
  : mConnection(aConnection)
  , mFunction(std::make_shared<std::function<void()>>(std::move(aFunction)))
{
  if (aCondition == DisconnectCondition::Closed) {
    auto& socket = mConnection.mStream.mSocket;
    // Readable without input means that the caller has closed. Input is a pipelined request.
    socket.async_wait(Socket::wait_read,
                      [&socket, function = mFunction](const boost::system::error_code& aEc) {
                        if (!aEc && *function && !HasInput(socket)) {
                          std::exchange(*function, nullptr)();
                        }
                      });
  }
  // A half-close only makes the socket readable; a reset sets the error condition.
  mConnection.mStream.mSocket.async_wait(
    Socket::wait_error, [function = mFunction](const boost::system::error_code& aEc) {
      if (!aEc && *function) {
        std::exchange(*function, nullptr)();
      }
    });
}

DisconnectWatch::~DisconnectWatch()
{
  *mFunction = nullptr;
  boost::system::error_code ec;
  mConnection.mStream.mSocket.cancel(ec);
}

Result<std::shared_ptr<HttpServer>> StartHttpServer(asio::io_context& aContext,
                                                    HttpServerOptions aOptions,
                                                    HttpHandler aHandler,
                                                    metrics::Registry& aMetrics)
{
  auto server =
    std::make_shared<HttpServer>(aContext, std::move(aOptions), std::move(aHandler), aMetrics);
  const auto& listen = server->mOptions.mListen;
  boost::system::error_code ec;
  server->mAcceptor.open(listen.protocol(), ec);
  if (!ec) {
    server->mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    server->mAcceptor.bind(listen, ec);
  }
  if (!ec) {
    server->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return boost::leaf::new_error(Error{ ErrorCode::Internal,
                                         Verdict::NotRun,
                                         "cannot listen on " + ToString(listen) + " (" +
                                           server->mOptions.mName + "): " + ec.message(),
                                         {} });
  }
  Spawn([server] { Accept(server); });
  return server;
}

Tcp::endpoint LocalEndpoint(const HttpServer& aServer)
{
  boost::system::error_code ec;
  return aServer.mAcceptor.local_endpoint(ec);
}

void DisableKeepAlive(HttpServer& aServer)
{
  aServer.mKeepAliveDisabled = true;
}

std::size_t StopHttpServer(HttpServer& aServer, std::chrono::milliseconds aLimit)
{
  const auto start = Clock::now();
  const auto end = start + aLimit;
  aServer.mKeepAliveDisabled = true;
  const auto quiet = aServer.mOptions.mStopQuietPeriod;
  while (Clock::now() < start + std::min(quiet, aLimit / 2) ||
         (Clock::now() < aServer.mLastArrival + quiet && Clock::now() < start + aLimit / 2)) {
    SleepFor(aServer.mContext, kStopPoll);
  }
  boost::system::error_code ec;
  aServer.mAcceptor.close(ec);
  for (;;) {
    for (auto* connection : aServer.mConnections) {
      // A request that has already arrived is still read and served.
      if (connection->mIdle && !HasInput(connection->mStream.mSocket)) {
        connection->mStream.mSocket.cancel(ec);
      }
    }
    if (aServer.mConnections.empty() || Clock::now() >= end) {
      break;
    }
    SleepFor(aServer.mContext, kStopPoll);
  }
  const auto left = aServer.mConnections.size();
  for (auto* connection : aServer.mConnections) {
    Close(connection->mStream);
  }
  return left;
}

} // namespace pollenwall::net
