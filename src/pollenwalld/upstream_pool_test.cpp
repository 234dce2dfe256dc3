#include "upstream_pool.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <pollenwall/net/fiber.h>

#include "daemon_test.h"
#include "shell.h"

namespace pollenwall::test {
namespace {

using namespace daemon;
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// An upstream whose reply to each request is scripted by the test.
struct FakeUpstream : std::enable_shared_from_this<FakeUpstream>
{
  struct Reply
  {
    std::string mBytes;
    bool mReset = false;       ///< Reset the connection afterwards.
    bool mClose = false;       ///< Close the connection afterwards.
    bool mSingleWrite = false; ///< Send in one write, otherwise byte by byte.
  };
  using Script = std::function<Reply(const net::HttpRequest&)>;

  FakeUpstream(asio::io_context& aContext, Script aScript)
    : mContext(aContext)
    , mScript(std::move(aScript))
    , mAcceptor(aContext, *net::ParseEndpoint("127.0.0.1:0"))
  {
  }

  void Start()
  {
    net::Spawn([self = shared_from_this()] { self->Accept(); });
  }

  void Stop()
  {
    boost::system::error_code ec;
    mAcceptor.close(ec);
  }

  std::string Address() const { return net::ToString(mAcceptor.local_endpoint()); }

  void Accept()
  {
    for (;;) {
      boost::system::error_code ec;
      auto socket = std::make_shared<net::Socket>(mContext);
      mAcceptor.async_accept(*socket, net::Await(ec));
      if (ec) {
        return;
      }
      ++mConnections;
      mSockets.push_back(socket);
      net::Spawn([self = shared_from_this(), socket] { self->Serve(*socket); });
    }
  }

  void Serve(net::Socket& aSocket)
  {
    boost::beast::flat_buffer buffer;
    boost::system::error_code ec;
    for (;;) {
      net::HttpRequest request;
      http::async_read(aSocket, buffer, request, net::Await(ec));
      if (ec) {
        return;
      }
      mTargets.emplace_back(request.target());
      const auto reply = mScript(request);
      // Byte by byte, so that the input is incomplete in every parser state.
      const std::size_t step = reply.mSingleWrite ? reply.mBytes.size() : 1;
      for (std::size_t at = 0; at < reply.mBytes.size(); at += step) {
        asio::async_write(aSocket, asio::buffer(reply.mBytes.data() + at, step), net::Await(ec));
      }
      if (reply.mReset) {
        aSocket.set_option(asio::socket_base::linger(true, 0), ec);
      }
      if (reply.mReset || reply.mClose) {
        aSocket.close(ec);
        return;
      }
    }
  }

  asio::io_context& mContext;
  Script mScript;
  asio::basic_socket_acceptor<net::Tcp, net::Executor> mAcceptor;
  std::vector<std::shared_ptr<net::Socket>> mSockets;
  std::vector<std::string> mTargets; ///< Of all requests, in order.
  int mConnections = 0;
};

std::shared_ptr<FakeUpstream> MakeUpstream(asio::io_context& aContext, FakeUpstream::Script aScript)
{
  auto upstream = std::make_shared<FakeUpstream>(aContext, std::move(aScript));
  upstream->Start();
  return upstream;
}

std::string MakeResponse(const char* aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return std::string("HTTP/1.1 ") + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::shared_ptr<UpstreamPool> MakePool(asio::io_context& aContext, const std::string& aAddress)
{
  auto pool = std::make_shared<UpstreamPool>(aContext, UpstreamLimits());
  pool->mAddress = aAddress;
  return pool;
}

UpstreamRequest MakeRequest(net::OneShot<TaskOutcome>& aOutcome, std::uint32_t aIndex = 0)
{
  UpstreamRequest request;
  request.mTask = { "north:k1", aIndex };
  request.mNotAfterMs = ReadClocks().mUnixMs + 3600000;
  request.mPayload = std::make_shared<const std::string>("payload");
  request.mDone = [&aOutcome](TaskOutcome aResult) { aOutcome.Set(std::move(aResult)); };
  return request;
}

TaskOutcome RunOne(const std::shared_ptr<UpstreamPool>& aPool)
{
  net::OneShot<TaskOutcome> outcome;
  Send(aPool, MakeRequest(outcome));
  return outcome.Wait();
}

/// Guards against a verdict that does not match the upstream's response, close or reset.
bool VerdictMatchesResponse(asio::io_context& aContext)
{
  bool passed = true;
  const auto check = [&](const char* aWhat,
                         const FakeUpstream::Reply& aReply,
                         Verdict aVerdict,
                         std::optional<ErrorCode> aCode,
                         const char* aResult = "") {
    const auto upstream =
      MakeUpstream(aContext, [&aReply](const net::HttpRequest&) { return aReply; });
    const auto pool = MakePool(aContext, upstream->Address());
    const auto outcome = RunOne(pool);
    passed &= Expect(
      outcome.mVerdict == aVerdict && outcome.mCode == aCode && outcome.mResult == aResult, aWhat);
    passed &= Expect(upstream->mTargets.size() == 1, "the request is sent once");
    CloseAll(*pool);
    upstream->Stop();
  };
  const auto close = [](const char* aBytes) { return FakeUpstream::Reply{ aBytes, false, true }; };
  const std::string notRun = "Pollenwall-Verdict: not_run\r\n";
  const auto none = std::nullopt;
  const auto lost = ErrorCode::UpstreamLost;
  check("200", { MakeResponse("200 OK", "", "result") }, Verdict::Ran, none, "result");
  check("no Content-Length", close("HTTP/1.1 200 OK\r\n\r\nresult"), Verdict::Ran, none, "result");
  check("truncated 200",
        close("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nresu"),
        Verdict::MayHaveRun,
        lost);
  check("busy, code in the header",
        { MakeResponse("409 Conflict", notRun + "Pollenwall-Code: overloaded\r\n", "") },
        Verdict::NotRun,
        ErrorCode::Overloaded);
  check("stopping, code in the body",
        { MakeResponse("409 Conflict", notRun, R"({"code":"stopping"})") },
        Verdict::NotRun,
        ErrorCode::Stopping);
  check("expired, code in the body",
        { MakeResponse("409 Conflict", notRun, R"({"code":"expired"})") },
        Verdict::NotRun,
        ErrorCode::Expired);
  check("409 without the header",
        { MakeResponse("409 Conflict", "", R"({"code":"overloaded"})") },
        Verdict::MayHaveRun,
        lost);
  check("500", { MakeResponse("500 Oh", "", "") }, Verdict::Ran, ErrorCode::TaskFailed);
  check("503", { MakeResponse("503 No", "", "") }, Verdict::MayHaveRun, lost);
  check("invalid HTTP", { "hello\r\n\r\n" }, Verdict::MayHaveRun, lost);
  check("closed without a response", close(""), Verdict::MayHaveRun, lost);
  check("reset without a response", { "", true, false }, Verdict::MayHaveRun, lost);
  return passed;
}

/// Guards against a verdict of MayHaveRun for a task whose request was never written.
bool UnreachableUpstreamIsNotRun(asio::io_context& aContext)
{
  const auto upstream =
    MakeUpstream(aContext, [](const net::HttpRequest&) { return FakeUpstream::Reply(); });
  const auto pool = MakePool(aContext, upstream->Address());
  upstream->Stop();
  const auto outcome = RunOne(pool);
  return Expect(outcome.mVerdict == Verdict::NotRun && outcome.mCode == ErrorCode::UpstreamLost,
                "connection refused");
}

/// Guards against a request that is written to an idle connection after the upstream has closed it,
/// and against a new connection per task.
bool IdleConnectionsAreReusedUntilClosed(asio::io_context& aContext)
{
  const auto upstream = MakeUpstream(aContext, [](const net::HttpRequest&) {
    return FakeUpstream::Reply{ MakeResponse("200 OK", "", "") };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  bool passed = true;
  for (int n = 0; n < 5; ++n) {
    passed &= Expect(RunOne(pool).mVerdict == Verdict::Ran, "runs");
  }
  passed &= Expect(upstream->mConnections == 1, "one connection serves all");
  boost::system::error_code ec;
  upstream->mSockets.front()->close(ec);
  // Whether the close is detected by the outstanding read or only by the check before the write,
  // the task must run: nothing of its request was written to the old connection.
  const auto outcome = RunOne(pool);
  passed &= Expect(outcome.mVerdict == Verdict::Ran && !outcome.mCode, "runs on a new connection");
  passed &= Expect(upstream->mConnections == 2 && upstream->mTargets.size() == 6, "sent once");
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

/// Guards against a request that is sent again after a reset on a reused connection: it may have
/// run.
bool ResetOnAReusedConnectionIsNotRetried(asio::io_context& aContext)
{
  int requests = 0;
  const auto upstream = MakeUpstream(aContext, [&requests](const net::HttpRequest&) {
    return ++requests == 1 ? FakeUpstream::Reply{ MakeResponse("200 OK", "", "") }
                           : FakeUpstream::Reply{ "", true, false };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  bool passed = Expect(RunOne(pool).mVerdict == Verdict::Ran, "the first runs");
  const auto outcome = RunOne(pool);
  passed &= Expect(outcome.mVerdict == Verdict::MayHaveRun, "the second may have run");
  passed &= Expect(upstream->mTargets.size() == 2 && upstream->mConnections == 1, "sent once");
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

/// Guards against an unsolicited response that is taken for that of the next task.
bool UnsolicitedResponseIsDiscarded(asio::io_context& aContext)
{
  int requests = 0;
  const auto upstream = MakeUpstream(aContext, [&requests](const net::HttpRequest&) {
    const auto mine = MakeResponse("200 OK", "", std::to_string(++requests));
    return FakeUpstream::Reply{
      requests == 1 ? mine + MakeResponse("200 OK", "", "extra") : mine, false, false, true
    };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  bool passed = Expect(RunOne(pool).mResult == "1", "the first response");
  passed &= Expect(RunOne(pool).mResult == "2", "the second task gets its own response");
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

/// Guards against more connections than the limit, tasks that are lost while they wait for a
/// connection, and a start after the task's mNotAfterMs or after its cancellation.
bool WaitingTasksHonourLimitsAndStops(asio::io_context& aContext)
{
  const auto upstream = MakeUpstream(aContext, [](const net::HttpRequest&) {
    return FakeUpstream::Reply{ MakeResponse("200 OK", "", "") };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  pool->mLimits.mMaxConnections = 2;
  std::vector<net::OneShot<TaskOutcome>> outcomes(20);
  for (std::uint32_t n = 0; n < outcomes.size(); ++n) {
    auto request = MakeRequest(outcomes[n], n);
    if (n == 10) {
      request.mNotAfterMs = 1;
    }
    Send(pool, std::move(request));
  }
  StopTaskOn(pool, { "north:k1", 0 });
  StopTaskOn(pool, { "north:k1", 19 });
  bool passed = true;
  for (std::uint32_t n = 0; n < outcomes.size(); ++n) {
    const auto& outcome = outcomes[n].Wait();
    if (n == 0 || n == 19) {
      passed &= Expect(outcome.mVerdict == Verdict::NotRun && outcome.mCode == ErrorCode::Cancelled,
                       "a cancelled task that was not sent");
    } else if (n == 10) {
      passed &= Expect(outcome.mVerdict == Verdict::NotRun && outcome.mCode == ErrorCode::Expired,
                       "a task past its start window");
    } else {
      passed &= Expect(outcome.mVerdict == Verdict::Ran && !outcome.mCode, "runs");
    }
  }
  passed &= Expect(upstream->mConnections <= 2, "the connection limit holds");
  passed &= Expect(upstream->mTargets.size() == 17, "no other request was sent");
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

/// Guards against a stop that is not sent and against a stopped task whose verdict is lost.
bool StopReachesARunningTask(asio::io_context& aContext)
{
  net::OneShot<bool> started;
  net::OneShot<bool> stopped;
  const auto upstream = MakeUpstream(aContext, [&](const net::HttpRequest& aRequest) {
    if (aRequest.target() == "/v1/stop") {
      stopped.Set(aRequest["Pollenwall-Task"] == "north:k1/0");
      return FakeUpstream::Reply{ MakeResponse("200 OK", "", "{}") };
    }
    started.Set(true);
    stopped.Wait();
    return FakeUpstream::Reply{ MakeResponse("500 Stopped", "", "") };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  net::OneShot<TaskOutcome> outcome;
  Send(pool, MakeRequest(outcome));
  started.Wait();
  StopTaskOn(pool, { "north:k1", 0 });
  bool passed = Expect(outcome.Wait().mVerdict == Verdict::Ran, "the task did start");
  passed &= Expect(stopped.Wait(), "the stop has the task's ID");
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

/// Guards against a large payload that is truncated when the socket's send buffer is full.
bool LargePayloadArrivesWhole(asio::io_context& aContext)
{
  const auto upstream = MakeUpstream(aContext, [](const net::HttpRequest& aRequest) {
    return FakeUpstream::Reply{ MakeResponse(
      "200 OK", "", std::to_string(aRequest.body().size())) };
  });
  const auto pool = MakePool(aContext, upstream->Address());
  bool passed = true;
  for (int n = 0; n < 2; ++n) {
    net::OneShot<TaskOutcome> outcome;
    auto request = MakeRequest(outcome);
    // Beast's default limit for a request body is 1 MiB.
    request.mPayload = std::make_shared<const std::string>(1024 * 1024, 'x');
    Send(pool, std::move(request));
    passed &= Expect(outcome.Wait().mResult == "1048576", "all bytes arrive");
  }
  CloseAll(*pool);
  upstream->Stop();
  return passed;
}

} // namespace

bool UpstreamPoolTests(asio::io_context& aContext)
{
  bool passed = VerdictMatchesResponse(aContext);
  passed &= UnreachableUpstreamIsNotRun(aContext);
  passed &= IdleConnectionsAreReusedUntilClosed(aContext);
  passed &= ResetOnAReusedConnectionIsNotRetried(aContext);
  passed &= UnsolicitedResponseIsDiscarded(aContext);
  passed &= WaitingTasksHonourLimitsAndStops(aContext);
  passed &= StopReachesARunningTask(aContext);
  passed &= LargePayloadArrivesWhole(aContext);
  return passed;
}

} // namespace pollenwall::test
