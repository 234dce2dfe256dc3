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

#include "http_reader.h"
#include "tcp_progress.h"

namespace pollenwall::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

namespace {

enum class Phase
{
  Idle,   ///< No byte of the next request has arrived.
  Header, ///< The header has not been read completely. TLS handshakes also count as this phase.
  Body,
  Handling,
  Writing,
  Lingering,
};

} // namespace

struct HttpConnection
{
  HttpConnection(Socket aSocket, const HttpServerOptions& aOptions)
    : mStream(std::move(aSocket))
    , mBuffer(MaxBufferBytes(aOptions.mMaxHeaderBytes, aOptions.mMaxTrailerBytes))
    , mAccount(aOptions.mBudget, [this] { Abort("memory"); })
  {
  }

  /// Ends outstanding input and output. The connection's fiber then closes the connection.
  void Abort(const char* aReason)
  {
    mAbortReason = aReason;
    boost::system::error_code ec;
    mStream.mSocket.cancel(ec);
  }

  Stream mStream;
  beast::flat_buffer mBuffer;
  BufferAccount mAccount;
  Phase mPhase = Phase::Idle;
  /// Start of the phase or, if that is later, the last time that the caller read of a response.
  Clock::time_point mWaitStart = Clock::now();
  std::uint64_t mAcknowledgedBytes = 0;
  Clock::time_point mCloseAt = Clock::time_point::max(); ///< The sweep cancels I/O after this.
  const char* mAbortReason = nullptr; ///< Set when the server ends the connection.
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
    if (!mOptions.mBudget) {
      mOptions.mBudget = std::make_shared<BufferBudget>();
    }
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
  std::size_t mClosesDue = 0;     ///< Connections that are to close with their next response.
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
/// For a request that is being handled: its handler bounds the time.
constexpr std::chrono::hours kUnlimited{ 24 * 365 };
/// A delay within which a refused caller finds that unfinished requests have been closed.
constexpr std::chrono::milliseconds kRetryAfter{ 500 };
/// Memory of a TLS session during its handshake, with a message of the largest size.
constexpr std::size_t kTlsBytes = 140 * 1024;

void SetPhase(HttpConnection& aConnection, Phase aPhase, std::chrono::milliseconds aTimeout)
{
  aConnection.mPhase = aPhase;
  aConnection.mWaitStart = Clock::now();
  aConnection.mCloseAt = aConnection.mWaitStart + aTimeout;
  aConnection.mAccount.mUse.mClosable = aPhase != Phase::Handling;
}

const char* TimeoutReason(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Idle:
      return "idle";
    case Phase::Header:
      return "header_timeout";
    case Phase::Body:
      return "request_timeout";
    case Phase::Writing:
      return "write_timeout";
    case Phase::Handling:
    case Phase::Lingering:
      break;
  }
  return "linger";
}

void CountClosed(HttpServer& aServer, const char* aReason)
{
  metrics::Add(aServer.mMetrics,
               "http_connections_closed_total{listener=\"" + aServer.mOptions.mName +
                 "\",reason=\"" + aReason + "\"}");
}

/// Sets the memory that the connection holds, in addition to its buffer. Returns false if the
/// connection is to be closed.
bool ChargeConnection(HttpConnection& aConnection, std::size_t aBytes)
{
  const auto tls = aConnection.mStream.mTls ? kTlsBytes : 0;
  if (!Charge(aConnection.mAccount, aConnection.mBuffer.capacity() + tls + aBytes)) {
    aConnection.mAbortReason = "memory";
  }
  return aConnection.mAbortReason == nullptr;
}

Error InputError(ErrorCode aCode, std::string aMessage)
{
  return { aCode, Verdict::NotRun, std::move(aMessage), {} };
}

/// The error to send for a request that could not be read, or nothing if the connection ended.
std::optional<Error> ReadError(const HttpConnection& aConnection,
                               const boost::system::error_code& aEc)
{
  if (aConnection.mAccount.mClosing) {
    return Error{
      ErrorCode::Overloaded, Verdict::NotRun, "too many unfinished requests", kRetryAfter
    };
  }
  if (aConnection.mAbortReason != nullptr) {
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

bool HasInput(Socket& aSocket)
{
  int n = 0;
  return ::ioctl(aSocket.native_handle(), FIONREAD, &n) == 0 && n > 0;
}

/// Records whether the caller has read more of the response since the last call.
void UpdateProgress(HttpConnection& aConnection, Clock::time_point aNow)
{
  if (aConnection.mPhase != Phase::Writing) {
    return;
  }
  const auto bytes = AcknowledgedBytes(aConnection.mStream.mSocket.native_handle());
  if (std::exchange(aConnection.mAcknowledgedBytes, bytes) != bytes) {
    aConnection.mWaitStart = aNow;
  }
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
      UpdateProgress(*connection, now);
      // A request that has arrived in time is read, even if the process was too slow to see it.
      if (connection->mCloseAt > now ||
          (connection->mPhase == Phase::Idle && HasInput(connection->mStream.mSocket))) {
        continue;
      }
      connection->mCloseAt = Clock::time_point::max();
      connection->Abort(TimeoutReason(connection->mPhase));
    }
    Sweep(aServer);
  });
}

bool Write(HttpServer& aServer, HttpConnection& aConnection, HttpResponse& aResponse)
{
  aResponse.prepare_payload();
  SetPhase(aConnection, Phase::Writing, aServer.mOptions.mWriteTimeout);
  if (!ChargeConnection(aConnection, aResponse.body().capacity())) {
    CountClosed(aServer, aConnection.mAbortReason);
    return false;
  }
  boost::system::error_code ec;
  http::async_write(aConnection.mStream, aResponse, Await(ec));
  if (aConnection.mAbortReason != nullptr) {
    CountClosed(aServer, aConnection.mAbortReason);
    return false;
  }
  return !ec;
}

/// Shuts down sending and discards input until the caller closes. Closing with unread input would
/// reset the connection, and the caller could lose the response.
void Linger(HttpConnection& aConnection)
{
  boost::system::error_code ec;
  SetPhase(aConnection, Phase::Lingering, kLingerTimeout);
  if (aConnection.mStream.mTls) {
    aConnection.mStream.mTls->async_shutdown(Await(ec));
  }
  aConnection.mStream.mSocket.shutdown(Socket::shutdown_send, ec);
  std::array<char, 4096> buf;
  while (!ec && aConnection.mAbortReason == nullptr) {
    aConnection.mStream.mSocket.async_read_some(asio::buffer(buf), Await(ec));
  }
}

/// Frees the input of a request that is refused, so that the refusal costs no memory.
void DropInput(HttpConnection& aConnection, RequestParser& aParser)
{
  aConnection.mBuffer.clear();
  aConnection.mBuffer.shrink_to_fit();
  std::string().swap(aParser.get().body());
  aParser.get().clear();
  ChargeConnection(aConnection, 0);
}

/// Waits for the first byte of a request. Returns false if none arrives.
bool AwaitRequest(HttpServer& aServer, HttpConnection& aConnection)
{
  if (aConnection.mBuffer.size() > 0) {
    return true;
  }
  if (aConnection.mBuffer.capacity() > kReadBytes) {
    aConnection.mBuffer.shrink_to_fit();
  }
  SetPhase(aConnection, Phase::Idle, aServer.mOptions.mIdleTimeout);
  boost::system::error_code ec;
  const auto buf = aConnection.mBuffer.prepare(kReadBytes);
  const auto n = ChargeConnection(aConnection, 0)
                   ? aConnection.mStream.async_read_some(buf, Await(ec))
                   : std::size_t{ 0 };
  aConnection.mBuffer.commit(n);
  if (n == 0 && aConnection.mAbortReason != nullptr) {
    CountClosed(aServer, aConnection.mAbortReason);
  }
  return n > 0;
}

/// Reads one request. Returns false if the connection is to be closed; an error response has then
/// been written if one is due.
bool Read(HttpServer& aServer, HttpConnection& aConnection, RequestParser& aParser)
{
  if (!AwaitRequest(aServer, aConnection)) {
    return false;
  }
  const auto& options = aServer.mOptions;
  aServer.mLastArrival = Clock::now();
  const auto start = aServer.mLastArrival;
  SetPhase(aConnection, Phase::Header, std::min(options.mHeaderTimeout, options.mRequestTimeout));
  aParser.header_limit(static_cast<std::uint32_t>(options.mMaxHeaderBytes));
  aParser.body_limit(options.mMaxBodyBytes);
  std::size_t fields = 0;
  const auto charge = [&] {
    if (aConnection.mPhase == Phase::Header && aParser.is_header_done()) {
      aConnection.mPhase = Phase::Body;
      aConnection.mCloseAt = start + options.mRequestTimeout;
      fields = FieldMemory(aParser.get());
    }
    return ChargeConnection(aConnection, fields + aParser.get().body().capacity());
  };
  RequestReader reader{
    aConnection.mStream, aConnection.mBuffer, aParser, options.mMaxTrailerBytes, charge
  };
  boost::system::error_code ec;
  const auto status = ReadRequest(reader, ec);
  aConnection.mCloseAt = Clock::time_point::max();
  if (status == ReadStatus::Complete && aConnection.mAbortReason == nullptr) {
    return true;
  }
  const auto error =
    status == ReadStatus::TrailersTooLong
      ? InputError(ErrorCode::TooLarge, "the trailers and chunk extensions exceed the limit")
      : ReadError(aConnection, ec);
  if (aConnection.mAbortReason != nullptr || status == ReadStatus::TrailersTooLong) {
    CountClosed(aServer,
                status == ReadStatus::TrailersTooLong ? "trailers" : aConnection.mAbortReason);
  }
  DropInput(aConnection, aParser);
  if (error) {
    metrics::Add(aServer.mMetrics, "http_bad_requests_total" + aServer.mLabel);
    auto response = ErrorResponse(*error);
    if (aConnection.mAbortReason != nullptr && !aConnection.mAccount.mClosing) {
      response.result(http::status::request_timeout);
    }
    response.keep_alive(false);
    aConnection.mAbortReason = nullptr;
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

/// Whether the connection has to close with its response, because others were refused at the limit.
/// Otherwise connections with a request at all times would keep others out for good.
bool TakeDueClose(HttpServer& aServer)
{
  if (aServer.mClosesDue == 0 || aServer.mConnections.size() < aServer.mOptions.mMaxConnections) {
    return false;
  }
  --aServer.mClosesDue;
  CountClosed(aServer, "connections");
  return true;
}

void Serve(HttpServer& aServer, HttpConnection& aConnection)
{
  if (aServer.mOptions.mTls) {
    SetPhase(aConnection, Phase::Header, aServer.mOptions.mRequestTimeout);
    if (!Charge(aConnection.mAccount, kTlsBytes)) {
      CountClosed(aServer, "memory");
      return;
    }
    const auto ec = Handshake(
      aConnection.mStream, aServer.mOptions.mTls->mServer, asio::ssl::stream_base::server);
    if (ec) {
      metrics::Add(aServer.mMetrics, "tls_failures_total" + aServer.mLabel);
      if (aConnection.mAbortReason != nullptr) {
        CountClosed(aServer, aConnection.mAbortReason);
      }
      return;
    }
  }
  for (;;) {
    RequestParser parser;
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
    SetPhase(aConnection, Phase::Handling, kUnlimited);
    HttpResponse response;
    try {
      auto request = parser.release();
      response = aServer.mHandler(request, aConnection);
    } catch (const std::exception& error) {
      log::LogError("request_failed", { { "message", std::string(error.what()) } });
      response = ErrorResponse({ ErrorCode::Internal, Verdict::MayHaveRun, "internal error", {} });
    }
    response.keep_alive(keep && !aServer.mKeepAliveDisabled && !TakeDueClose(aServer));
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
  auto response =
    ErrorResponse({ ErrorCode::Overloaded, Verdict::NotRun, "too many connections", kRetryAfter });
  response.keep_alive(false);
  response.prepare_payload();
  boost::system::error_code ec;
  // The whole response fits into the empty send buffer of a new connection, so this does not block.
  http::write(aSocket, response, ec);
  aSocket.shutdown(Socket::shutdown_send, ec);
}

/// The order in which connections are replaced by new ones, lowest first; nothing while a request
/// is being handled.
std::optional<int> ReplacementRank(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Lingering:
      return 0; // Its last response has been written.
    case Phase::Idle:
    case Phase::Header:
      return 1;
    case Phase::Body:
      return 2; // May take some time.
    case Phase::Writing:
      return 3; // Without the rest of the response, the caller has to assume that the job ran.
    case Phase::Handling:
      break;
  }
  return std::nullopt;
}

/// Whether one connection is replaced rather than another. Both must have a rank.
bool IsReplacedFirst(const HttpConnection& aOne, const HttpConnection& aOther)
{
  return std::pair(ReplacementRank(aOne.mPhase), aOne.mWaitStart) <
         std::pair(ReplacementRank(aOther.mPhase), aOther.mWaitStart);
}

/// Whether the next step is the caller's: it has sent nothing that could be read, does not read the
/// response, or does not close.
bool WaitsForCaller(HttpConnection& aConnection)
{
  return aConnection.mPhase == Phase::Writing || aConnection.mPhase == Phase::Lingering ||
         !HasInput(aConnection.mStream.mSocket);
}

/// Closes a connection that has waited for its caller for some time, so that callers that neither
/// complete their requests nor read the responses cannot keep others out. Returns false if there is
/// none.
bool MakeRoom(HttpServer& aServer)
{
  HttpConnection* chosen = nullptr;
  const auto latest = Clock::now() - aServer.mOptions.mMinWaitToReplace;
  for (auto* connection : aServer.mConnections) {
    if (!ReplacementRank(connection->mPhase) || connection->mAbortReason != nullptr ||
        connection->mWaitStart > latest) {
      continue;
    }
    const bool isFirst = chosen == nullptr || IsReplacedFirst(*connection, *chosen);
    if (isFirst && WaitsForCaller(*connection)) {
      chosen = connection;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  chosen->mAbortReason = "connections";
  Close(chosen->mStream);
  return true;
}

/// Serves the connection in a fiber of its own. It is in mConnections until the fiber ends, also by
/// an exception.
void StartConnection(const std::shared_ptr<HttpServer>& aServer, Socket aSocket)
{
  auto connection = std::make_shared<HttpConnection>(std::move(aSocket), aServer->mOptions);
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
    if (aServer->mConnections.size() >= aServer->mOptions.mMaxConnections && !MakeRoom(*aServer)) {
      metrics::Add(aServer->mMetrics, "http_connections_refused_total" + aServer->mLabel);
      aServer->mClosesDue = std::min(aServer->mClosesDue + 1, aServer->mOptions.mMaxConnections);
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

/// Limits what the kernel holds for a connection: input during the handling of a request, and
/// responses that nobody reads. Accepted sockets inherit the options.
void SetSocketBuffers(HttpServer& aServer, boost::system::error_code& aEc)
{
  const auto bytes = static_cast<int>(aServer.mOptions.mSocketBufferBytes);
  if (bytes == 0) {
    return;
  }
  aServer.mAcceptor.set_option(asio::socket_base::receive_buffer_size(bytes), aEc);
  if (!aEc) {
    aServer.mAcceptor.set_option(asio::socket_base::send_buffer_size(bytes), aEc);
  }
}

} // namespace

int NativeSocket(HttpConnection& aConnection)
{
  return aConnection.mStream.mSocket.native_handle();
}

void ReleaseRequest(HttpRequest& aRequest, HttpConnection& aConnection)
{
  aRequest = HttpRequest{};
  if (aConnection.mBuffer.capacity() > kReadBytes) {
    aConnection.mBuffer.shrink_to_fit();
  }
  ChargeConnection(aConnection, 0);
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
    SetSocketBuffers(*server, ec);
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

void AddBufferReadings(const std::vector<std::shared_ptr<HttpServer>>& aServers,
                       metrics::Readings& aReadings)
{
  for (const auto& server : aServers) {
    if (!server) {
      continue;
    }
    std::size_t bytes = 0;
    for (const auto* connection : server->mConnections) {
      bytes += connection->mAccount.mUse.mBytes;
    }
    aReadings.mGauges.emplace_back("http_buffered_bytes" + server->mLabel,
                                   static_cast<double>(bytes));
  }
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
      if (connection->mPhase == Phase::Idle && !HasInput(connection->mStream.mSocket)) {
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
