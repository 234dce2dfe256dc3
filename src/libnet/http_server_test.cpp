#include "net_test.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <pollenwall/net/fiber.h>
#include <pollenwall/net/http_client.h>

namespace pollenwall::test {
namespace {

namespace http = boost::beast::http;

struct Fixture
{
  explicit Fixture(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
    mOptions.mName = "test";
    mOptions.mListen = *net::ParseEndpoint("127.0.0.1:0");
    mOptions.mMaxBodyBytes = 1000;
    mOptions.mMaxHeaderBytes = 2000;
  }

  /// Starts a server that echoes request bodies; /wait responds when mRelease is set.
  bool Start()
  {
    auto server = ValueOf([this] {
      return net::StartHttpServer(
        mContext,
        mOptions,
        [this](net::HttpRequest& aRequest, net::HttpConnection& aConnection) {
          ++mRequests;
          if (aRequest.target() == "/wait") {
            mWaiting.Set(true);
            net::DisconnectWatch watch(aConnection, [this] {
              ++mDisconnects;
              mRelease.Set("gone");
            });
            return net::JsonResponse(http::status::ok, mRelease.Wait());
          }
          if (aRequest.target() == "/throw") {
            throw std::runtime_error("expected by the test");
          }
          if (aRequest.target() == "/invalid") {
            return net::JsonResponse(http::status::no_content, "Writing this body throws.");
          }
          return net::JsonResponse(http::status::ok, aRequest.body());
        },
        mMetrics);
    });
    if (server) {
      mServer = *server;
    }
    return server.has_value();
  }

  Client Connect() { return { mContext, net::LocalEndpoint(*mServer) }; }

  /// Sends the bytes on a new connection and returns the response.
  std::optional<net::HttpResponse> ExchangeOne(const std::string& aBytes)
  {
    auto client = Connect();
    client.Write(aBytes);
    client.EndSending();
    return client.ReadResponse();
  }

  bool ServesRequests()
  {
    const auto answer = ExchangeOne("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
    return answer && answer->result_int() == 200 && answer->body() == "ok";
  }

  boost::asio::io_context& mContext;
  net::HttpServerOptions mOptions;
  metrics::Registry mMetrics;
  std::shared_ptr<net::HttpServer> mServer;
  int mRequests = 0;
  int mDisconnects = 0;
  net::OneShot<bool> mWaiting;
  net::OneShot<std::string> mRelease;
};

bool IsRefusal(const std::optional<net::HttpResponse>& aAnswer, unsigned aStatus, const char* aCode)
{
  if (!aAnswer || aAnswer->result_int() != aStatus ||
      (*aAnswer)["Pollenwall-Verdict"] != "not_run") {
    std::fprintf(
      stderr, "response status: %d\n", aAnswer ? static_cast<int>(aAnswer->result_int()) : 0);
    return false;
  }
  const auto body = boost::json::parse(aAnswer->body());
  return body.at("code").as_string() == aCode && !body.at("message").as_string().empty();
}

/// Guards against malformed input that blocks a connection, gets no error response, or affects
/// others.
bool BadRequestsAreAnsweredWithAnError(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  struct Case
  {
    const char* mWhat;
    std::string mBytes;
    unsigned mStatus;
    const char* mCode;
  };
  const std::vector<Case> cases{
    { "not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, "bad_request" },
    { "unsupported version", "GET / HTTP/9.9\r\n\r\n", 400, "bad_request" },
    { "invalid header line", "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "bad_request" },
    { "invalid Content-Length",
      "POST / HTTP/1.1\r\nContent-Length: 2x\r\n\r\nab",
      400,
      "bad_request" },
    { "two Content-Length headers",
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      400,
      "bad_request" },
    { "invalid chunk",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      400,
      "bad_request" },
    { "declared body too large",
      "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
      413,
      "too_large" },
    { "chunked body too large",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + std::string(0x800, 'x') +
        "\r\n0\r\n\r\n",
      413,
      "too_large" },
    { "header too large",
      "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
      413,
      "too_large" },
    { "truncated header", "GET / HTTP/1.1\r\nHost: a", 400, "bad_request" },
    { "truncated body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", 400, "bad_request" },
  };
  bool passed = true;
  for (const auto& it : cases) {
    passed &= Expect(IsRefusal(fixture.ExchangeOne(it.mBytes), it.mStatus, it.mCode), it.mWhat);
  }
  passed &= Expect(fixture.mRequests == 0, "no bad request reached the handler");
  passed &= Expect(fixture.ServesRequests(), "others are served");
  passed &=
    Expect(metrics::CounterValue(fixture.mMetrics, "http_bad_requests_total{listener=\"test\"}") ==
             cases.size(),
           "all bad requests are counted");
  return passed;
}

/// Guards against a sender that occupies a connection indefinitely with half a request, and against
/// an idle connection that is treated as one.
bool SlowSendersTimeOut(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  fixture.mOptions.mRequestTimeout = std::chrono::milliseconds(50);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  auto idle = fixture.Connect();
  auto slow = fixture.Connect();
  slow.Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  bool passed = Expect(IsRefusal(slow.ReadResponse(), 408, "bad_request"),
                       "a slow sender gets a timeout response");
  idle.Write("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
  const auto answer = idle.ReadResponse();
  passed &= Expect(answer && answer->body() == "ok", "the idle connection is still served");
  return passed;
}

/// Guards against responses that are lost or out of order when a caller pipelines several requests,
/// sends one byte by byte, or waits for `100 Continue`.
bool SeveralRequestsOnOneConnection(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  auto client = fixture.Connect();
  std::string bytes;
  for (int n = 0; n < 5; ++n) {
    bytes += "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n" + std::to_string(n);
  }
  client.Write(bytes);
  bool passed = true;
  for (int n = 0; n < 5; ++n) {
    const auto answer = client.ReadResponse();
    passed &= Expect(answer && answer->body() == std::to_string(n), "responses in order");
  }
  for (const char byte : std::string("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n5")) {
    client.Write(std::string(1, byte));
  }
  const auto answer = client.ReadResponse();
  passed &= Expect(answer && answer->body() == "5", "a request sent byte by byte");
  client.Write("GET /throw HTTP/1.1\r\n\r\n");
  const auto failed = client.ReadResponse();
  passed &= Expect(failed && failed->result_int() == 500 &&
                     (*failed)["Pollenwall-Verdict"] == "may_have_run",
                   "a failing handler responds that the request may have run");
  client.Write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  const auto go = client.ReadResponse();
  passed &= Expect(go && go->result_int() == 100, "100 Continue is sent");
  client.Write("ok");
  const auto last = client.ReadResponse();
  passed &= Expect(last && last->body() == "ok", "the body sent after 100 Continue is answered");
  return passed;
}

/// Guards against a connection that ends with an exception outside its handler and stays in the
/// server's list: the next check of timeouts would use freed memory.
bool ConnectionsThatFailAreRemoved(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  auto client = fixture.Connect();
  client.Write("GET /invalid HTTP/1.1\r\n\r\n");
  bool passed = Expect(client.ReadAll().empty(), "the connection is closed");
  passed &= Expect(fixture.ServesRequests(), "others are served");
  return Expect(net::StopHttpServer(*fixture.mServer, std::chrono::milliseconds(100)) == 0,
                "no connection is left") &&
         passed;
}

/// Guards against a response that is dropped because the caller has half-closed the connection, and
/// against a handler that keeps waiting for a caller whose connection was reset.
bool HalfClosedAndDisconnectedCallers(boost::asio::io_context& aContext)
{
  bool passed = true;
  {
    Fixture fixture(aContext);
    passed &= Expect(fixture.Start(), "the server starts");
    auto client = fixture.Connect();
    client.Write("GET /wait HTTP/1.1\r\n\r\n");
    client.EndSending();
    fixture.mWaiting.Wait();
    passed &= Expect(fixture.ServesRequests(), "others are served meanwhile");
    fixture.mRelease.Set("late");
    const auto answer = client.ReadResponse();
    passed &= Expect(answer && answer->body() == "late", "a half-closed caller gets its response");
    passed &= Expect(fixture.mDisconnects == 0, "a half-close is not reported as a disconnect");
  }
  {
    Fixture fixture(aContext);
    passed &= Expect(fixture.Start(), "the server starts");
    auto client = fixture.Connect();
    client.Write("GET /wait HTTP/1.1\r\n\r\n");
    fixture.mWaiting.Wait();
    client.Reset();
    passed &= Expect(fixture.mRelease.Wait() == "gone", "a reset is detected");
    passed &= Expect(fixture.mDisconnects == 1, "once");
    passed &= Expect(fixture.ServesRequests(), "others are served");
  }
  return passed;
}

/// Guards against a request that is handled although its caller has left, and may have sent it
/// elsewhere since. Pattern: the process does not run while the caller connects, sends the request
/// and closes the connection.
bool AbandonedRequestsAreNotHandled(boost::asio::io_context& aContext,
                                    net::DisconnectCondition aCondition,
                                    bool aReset)
{
  Fixture fixture(aContext);
  fixture.mOptions.mDisconnect = aCondition;
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  // Blocking calls: the server's fibers don't run in between.
  boost::asio::ip::tcp::socket caller(aContext);
  caller.connect(net::LocalEndpoint(*fixture.mServer));
  boost::asio::write(
    caller, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok")));
  caller.set_option(boost::asio::socket_base::linger(aReset, 0));
  caller.close();
  net::SleepFor(aContext, std::chrono::milliseconds(20));
  const bool isHalfClose = aCondition == net::DisconnectCondition::Reset && !aReset;
  return Expect(fixture.mRequests == (isHalfClose ? 1 : 0),
                "only a request whose caller may still wait is handled") &&
         Expect(fixture.ServesRequests() == (aCondition == net::DisconnectCondition::Reset),
                "callers that half-close are served");
}

/// Guards against a caller that counts as connected although it has left: the end of its connection
/// stands behind unread input, or has not been read by the event loop.
bool EndedConnectionsAreFoundWithoutReading(boost::asio::io_context& aContext)
{
  boost::asio::ip::tcp::acceptor acceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 });
  using Socket = boost::asio::ip::tcp::socket;
  const auto connect = [&](Socket& aAccepted) {
    Socket caller(aContext);
    caller.connect(acceptor.local_endpoint());
    acceptor.accept(aAccepted);
    boost::asio::write(caller, boost::asio::buffer(std::string("unread")));
    return caller;
  };
  std::vector<Socket> accepted;
  std::vector<Socket> callers;
  std::vector<int> sockets;
  for (int n = 0; n < 4; ++n) {
    accepted.emplace_back(aContext);
    callers.push_back(connect(accepted.back()));
    sockets.push_back(accepted.back().native_handle());
  }
  boost::system::error_code ec;
  const bool none = net::FindClosed(sockets, ec).empty() && !ec;
  callers[0].close();
  callers[1].shutdown(Socket::shutdown_send);
  callers[2].set_option(boost::asio::socket_base::linger(true, 0));
  callers[2].close();
  const auto closed = net::FindClosed(sockets, ec);
  return Expect(none, "open connections are not reported") &&
         Expect(!ec && closed == std::vector<std::size_t>{ 0, 1, 2 },
                "closed, half-closed and reset connections are reported");
}

/// Guards against a flood of connections that exhausts the file descriptors and stops the service
/// for existing connections.
bool ConnectionsAreLimited(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  fixture.mOptions.mMaxConnections = 2;
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  const auto ask = [](Client& aClient) {
    aClient.Write("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
    const auto answer = aClient.ReadResponse();
    return answer && answer->result_int() == 200;
  };
  auto first = fixture.Connect();
  auto second = fixture.Connect();
  bool passed = Expect(ask(first) && ask(second), "connections within the limit");
  auto third = fixture.Connect();
  passed &= Expect(IsRefusal(third.ReadResponse(), 503, "overloaded"), "one too many is refused");
  passed &= Expect(ask(first) && ask(second), "the others are still served");
  return passed;
}

/// Guards against a planned stop that interrupts a request or that waits for idle connections.
bool StopCompletesRequestsInProgress(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  auto idle = fixture.Connect();
  auto busy = fixture.Connect();
  busy.Write("GET /wait HTTP/1.1\r\n\r\n");
  fixture.mWaiting.Wait();
  net::OneShot<std::size_t> stopped;
  net::Spawn([&] { stopped.Set(net::StopHttpServer(*fixture.mServer, std::chrono::seconds(60))); });
  bool passed = Expect(idle.ReadAll().empty(), "the idle connection is closed");
  fixture.mRelease.Set("late");
  const auto answer = busy.ReadResponse();
  passed &= Expect(answer && answer->body() == "late", "the request is answered");
  passed &= Expect(answer && !answer->keep_alive(), "the response announces the close");
  busy.EndSending();
  passed &= Expect(stopped.Wait() == 0, "no connection is closed forcibly");
  return passed;
}

/// Guards against a stop that resets connections which the load balancer still routes here.
bool StopWaitsForQuietPeriod(boost::asio::io_context& aContext)
{
  // The stop does not end within the test, so the fixture is kept until the process ends.
  static Fixture fixture(aContext);
  fixture.mOptions.mStopQuietPeriod = std::chrono::hours(1);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  auto kept = fixture.Connect();
  net::OneShot<bool> begun;
  net::Spawn([&begun] {
    begun.Set(true);
    net::StopHttpServer(*fixture.mServer, std::chrono::hours(3));
  });
  begun.Wait();
  bool passed = Expect(fixture.ServesRequests(), "a new connection is served");
  kept.Write("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
  const auto answer = kept.ReadResponse();
  passed &= Expect(answer && answer->body() == "ok" && !answer->keep_alive(),
                   "a persistent connection is served once more and told to close");
  return passed;
}

/// Guards against a client that fails on a persistent connection which the server has closed, or
/// that waits indefinitely for a response.
bool ClientReconnectsAndTimesOut(boost::asio::io_context& aContext)
{
  Fixture fixture(aContext);
  if (!Expect(fixture.Start(), "the server starts")) {
    return false;
  }
  const auto endpoint = net::LocalEndpoint(*fixture.mServer);
  net::HttpClient client(aContext, endpoint);
  const auto fetch = [&client](const char* aTarget, std::chrono::milliseconds aTimeout) {
    return net::Fetch(client, http::verb::post, aTarget, "\"x\"", aTimeout, 1000);
  };
  bool passed = Expect(fetch("/", std::chrono::seconds(60)).mStatus == 200, "answered");
  net::StopHttpServer(*fixture.mServer, std::chrono::seconds(60));
  passed &= Expect(fetch("/", std::chrono::seconds(60)).mStatus == 0, "refused");
  fixture.mOptions.mListen = endpoint;
  passed &= Expect(fixture.Start(), "the server starts again");
  passed &= Expect(fetch("/", std::chrono::seconds(60)).mStatus == 200, "answered again");
  passed &= Expect(fetch("/wait", std::chrono::milliseconds(20)).mStatus == 0, "timed out");
  passed &= Expect(fetch("/", std::chrono::seconds(60)).mBody == "\"x\"",
                   "a late response is not taken for the next one");
  return passed;
}

} // namespace

bool HttpServerTests(boost::asio::io_context& aContext)
{
  bool passed = BadRequestsAreAnsweredWithAnError(aContext);
  passed &= SlowSendersTimeOut(aContext);
  passed &= SeveralRequestsOnOneConnection(aContext);
  passed &= ConnectionsThatFailAreRemoved(aContext);
  passed &= HalfClosedAndDisconnectedCallers(aContext);
  for (const auto condition :
       { net::DisconnectCondition::Reset, net::DisconnectCondition::Closed }) {
    passed &= AbandonedRequestsAreNotHandled(aContext, condition, false);
    passed &= AbandonedRequestsAreNotHandled(aContext, condition, true);
  }
  passed &= EndedConnectionsAreFoundWithoutReading(aContext);
  passed &= ConnectionsAreLimited(aContext);
  passed &= StopCompletesRequestsInProgress(aContext);
  passed &= StopWaitsForQuietPeriod(aContext);
  passed &= ClientReconnectsAndTimesOut(aContext);
  return passed;
}

} // namespace pollenwall::test
