#include "net_test.h"

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>
#include <boost/beast/core/ostream.hpp>

#include <pollenwall/net/buffer_budget.h>
#include <pollenwall/net/fiber.h>
#include <pollenwall/net/http_client.h>
#include <pollenwall/net/http_pool.h>

namespace pollenwall::test {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kHeaderBytes = 16384;
constexpr std::size_t kBodyBytes = 262144;
constexpr std::size_t kTrailerBytes = 16384;

/// A server that echoes request bodies, with the limits of the operators' configuration. /wait
/// frees the body and answers when mRelease is set.
struct LimitedServer
{
  explicit LimitedServer(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
    mOptions.mName = "limited";
    mOptions.mListen = *net::ParseEndpoint("127.0.0.1:0");
    mOptions.mMaxHeaderBytes = kHeaderBytes;
    mOptions.mMaxBodyBytes = kBodyBytes;
    mOptions.mMaxTrailerBytes = kTrailerBytes;
    mOptions.mBudget = std::make_shared<net::BufferBudget>();
  }

  bool Start()
  {
    auto server = ValueOf([this] {
      return net::StartHttpServer(
        mContext,
        mOptions,
        [this](net::HttpRequest& aRequest, net::HttpConnection& aConnection) {
          ++mRequests;
          if (aRequest.target() == "/wait") {
            net::ReleaseRequest(aRequest, aConnection);
            mBytesWhileWaiting = mOptions.mBudget->mBytes;
            mWaiting.Set(true);
            return net::JsonResponse(http::status::ok, mRelease.Wait());
          }
          return net::JsonResponse(http::status::ok, aRequest.body());
        },
        mMetrics);
    });
    mServer = server.value_or(nullptr);
    return server.has_value();
  }

  Client Connect() { return { mContext, net::LocalEndpoint(*mServer) }; }

  unsigned StatusOf(const std::string& aBytes)
  {
    auto client = Connect();
    client.Write(aBytes);
    const auto response = client.ReadResponse();
    return response ? response->result_int() : 0;
  }

  std::uint64_t Closed(const std::string& aReason)
  {
    return metrics::CounterValue(
      mMetrics, "http_connections_closed_total{listener=\"limited\",reason=\"" + aReason + "\"}");
  }

  boost::asio::io_context& mContext;
  net::HttpServerOptions mOptions;
  metrics::Registry mMetrics;
  std::shared_ptr<net::HttpServer> mServer;
  int mRequests = 0;
  std::size_t mBytesWhileWaiting = 0;
  net::OneShot<bool> mWaiting;
  net::OneShot<std::string> mRelease;
};

std::string Head(const std::string& aFields, std::size_t aBytes = 0)
{
  std::string text = "POST / HTTP/1.1\r\n" + aFields;
  if (aBytes > 0) {
    const std::string name = "X-Pad: ";
    text += name + std::string(aBytes - text.size() - name.size() - 4, 'p') + "\r\n";
  }
  return text + "\r\n";
}

std::string Chunked(const std::string& aExtension, const std::string& aTrailers)
{
  return Head("Transfer-Encoding: chunked\r\n") + "2" + aExtension + "\r\nok\r\n0\r\n" + aTrailers +
         "\r\n";
}

/// A trailer that takes this number of bytes on the wire.
std::string Trailer(std::size_t aBytes)
{
  return "T:" + std::string(aBytes - 4, 't') + "\r\n";
}

/// Guards against a bound that refuses a request inside the limits of the operators' configuration:
/// the largest header and body, the body in chunks of one byte.
bool LargestRequestIsServed(boost::asio::io_context& aContext)
{
  static LimitedServer server(aContext); // Its connections end after the test.
  bool passed = Expect(server.Start(), "the server starts");
  auto request = Head("Transfer-Encoding: chunked\r\n", kHeaderBytes);
  passed &= Expect(request.size() == kHeaderBytes, "the header has the largest size");
  for (std::size_t n = 0; n < kBodyBytes; ++n) {
    request += "1\r\nb\r\n";
  }
  auto client = server.Connect();
  client.Write(request + "0\r\n" + Trailer(kTrailerBytes) + "\r\n");
  const auto response = client.ReadResponse();
  passed &=
    Expect(response && response->body().size() == kBodyBytes, "the largest request is served");
  // Beast does not count the request line.
  passed &= Expect(server.StatusOf(Head("", kHeaderBytes + sizeof "POST / HTTP/1.1\r\n")) == 413,
                   "a header above the limit");
  return passed;
}

/// Guards against trailers and chunk extensions without a bound, each and together.
bool TrailersAndExtensionsAreBounded(boost::asio::io_context& aContext)
{
  static LimitedServer server(aContext); // Its connections end after the test.
  bool passed = Expect(server.Start(), "the server starts");
  const auto extension = [](std::size_t aBytes) { return ";n=" + std::string(aBytes - 3, 'e'); };
  struct Case
  {
    const char* mWhat;
    std::string mRequest;
    unsigned mStatus;
  };
  std::string manyChunks = Head("Transfer-Encoding: chunked\r\n");
  for (std::size_t n = 0; n <= kTrailerBytes / 4; ++n) {
    manyChunks += "1;n=1\r\nb\r\n";
  }
  const std::vector<Case> cases{
    { "trailers at the limit", Chunked("", Trailer(kTrailerBytes)), 200 },
    { "trailers above it", Chunked("", Trailer(kTrailerBytes + 1)), 413 },
    { "an extension at the limit", Chunked(extension(kTrailerBytes), ""), 200 },
    { "an extension above it", Chunked(extension(kTrailerBytes + 1), ""), 413 },
    { "both at the limit", Chunked(extension(kTrailerBytes / 2), Trailer(kTrailerBytes / 2)), 200 },
    { "both above it", Chunked(extension(kTrailerBytes / 2), Trailer(kTrailerBytes / 2 + 1)), 413 },
    { "extensions of many chunks", manyChunks, 413 },
    { "trailers that never end",
      Head("Transfer-Encoding: chunked\r\n") + "0\r\n" + Trailer(8 * kTrailerBytes),
      413 },
  };
  for (const auto& it : cases) {
    passed &= Expect(server.StatusOf(it.mRequest) == it.mStatus, it.mWhat);
  }
  return passed && Expect(server.Closed("trailers") == 5, "refusals are counted");
}

/// Guards against a choice that depends on the order of the connections, closes a request that is
/// being handled, or closes a connection that frees nothing.
bool MostIsClosedFirst()
{
  using Uses = std::vector<net::BufferUse>;
  const auto choose = [](const Uses& aUses) { return net::ChooseToClose(aUses); };
  bool passed = Expect(!choose({}), "no connection");
  passed &= Expect(choose({ { 5, 1 }, { 7, 2 }, { 6, 3 } }) == 1, "the one that uses most");
  passed &= Expect(choose({ { 7, 3 }, { 7, 1 }, { 7, 2 } }) == 1, "among equals the oldest");
  passed &= Expect(choose({ { 9, 1, false }, { 2, 2 } }) == 1, "not one that is being handled");
  passed &= Expect(!choose({ { 0, 1 }, { 9, 2, false } }), "not one without bytes");
  Uses uses{ { 1, 1 }, { 3, 2 }, { 3, 3 }, { 4, 4, false }, { 0, 5 } };
  std::sort(uses.begin(), uses.end());
  do {
    const auto chosen = choose(uses);
    passed &= Expect(chosen && uses[*chosen].mNumber == 2, "in any order");
  } while (std::next_permutation(uses.begin(), uses.end()));
  return passed;
}

/// Guards against a budget that loses or keeps bytes of connections that have ended.
bool BudgetFollowsItsAccounts()
{
  auto budget = std::make_shared<net::BufferBudget>();
  budget->mMaxBytes = 100;
  int closed = 0;
  net::BufferAccount first(budget, [&closed] { ++closed; });
  bool passed = Expect(net::Charge(first, 60), "within the budget");
  {
    net::BufferAccount second(budget, [] {});
    passed &= Expect(net::Charge(second, 40) && closed == 0, "at the bound");
    passed &= Expect(net::Charge(second, 41) && closed == 1 && budget->mBytes == 41,
                     "above it the first is closed and no longer counts");
    passed &= Expect(!net::Charge(second, 101), "an account that exceeds the budget alone");
  }
  passed &= Expect(budget->mBytes == 0 && net::Charge(first, 10) && budget->mBytes == 0,
                   "a closed account counts no more");
  const auto limits = net::DeriveLimits({ .mMemoryMb = 120, .mMaxDescriptors = 3075 });
  passed &= Expect(limits.mBufferBytes == std::size_t{ 30 } << 20 && limits.mMaxConnections == 1437,
                   "the smallest machine");
  return passed && Expect(net::DeriveLimits({ 120, 8192 }).mMaxConnections == 2560, "by memory");
}

/// Guards against unfinished requests without a bound, against a refusal of the wrong connection,
/// and against a 503 for a request that is being handled.
bool UnfinishedRequestsShareABudget(boost::asio::io_context& aContext)
{
  static LimitedServer server(aContext); // Its connections end after the test.
  server.mOptions.mBudget->mMaxBytes = 400'000;
  bool passed = Expect(server.Start(), "the server starts");
  const auto body = [](std::size_t aBytes) {
    return "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
  };
  auto waiting = server.Connect();
  waiting.Write("POST /wait HTTP/1.1\r\n" + body(kBodyBytes) + std::string(kBodyBytes, 'w'));
  server.mWaiting.Wait();
  passed &= Expect(server.mBytesWhileWaiting < 20'000, "a body that is not needed is freed");
  auto large = server.Connect();
  large.Write("POST / HTTP/1.1\r\n" + body(kBodyBytes) + "unfinished");
  auto small = server.Connect();
  small.Write("POST / HTTP/1.1\r\n" + body(150'000) + "unfinished");
  const auto refusal = large.ReadResponse();
  passed &= Expect(refusal && refusal->result_int() == 503 && (*refusal)["Retry-After"] == "1" &&
                     (*refusal)["Pollenwall-Verdict"] == "not_run",
                   "the largest unfinished request is refused");
  passed &= Expect(server.Closed("memory") == 1 && server.mRequests == 1, "it was not handled");
  small.Write(std::string(150'000 - 10, 's'));
  const auto answer = small.ReadResponse();
  passed &= Expect(answer && answer->body().size() == 150'000, "the other request is served");
  server.mRelease.Set("late");
  const auto late = waiting.ReadResponse();
  return passed && Expect(late && late->body() == "late", "the handled request is answered");
}

/// Guards against responses that nobody reads.
bool UnreadResponsesShareTheBudget(boost::asio::io_context& aContext)
{
  constexpr std::size_t kLargeBody = std::size_t{ 16 } << 20;
  static LimitedServer server(aContext); // Its connections end after the test.
  server.mOptions.mMaxBodyBytes = kLargeBody;
  server.mOptions.mBudget->mMaxBytes = 2 * kLargeBody + 65536;
  bool passed = Expect(server.Start(), "the server starts");
  const auto head = Head("Content-Length: " + std::to_string(kLargeBody) + "\r\n");
  auto first = server.Connect();
  first.Write(head + std::string(kLargeBody, 'r'));
  auto second = server.Connect();
  second.Write(head + std::string(kLargeBody, 'r'));
  while (server.mRequests < 2) {
    net::SleepFor(aContext, std::chrono::milliseconds(1));
  }
  auto third = server.Connect();
  third.Write(Head("Content-Length: " + std::to_string(kLargeBody / 2) + "\r\n") + "unfinished");
  const auto answer = first.ReadAll();
  passed &= Expect(answer.size() < kLargeBody, "the oldest response is broken off");
  return passed && Expect(server.Closed("memory") == 1, "no other connection is closed");
}

/// Guards against a slow sender that extends its time with each byte, and against connections
/// without requests that are kept.
bool EachPhaseHasATimeout(boost::asio::io_context& aContext)
{
  static LimitedServer server(aContext); // Its connections end after the test.
  server.mOptions.mHeaderTimeout = std::chrono::milliseconds(50);
  server.mOptions.mRequestTimeout = std::chrono::hours(1);
  server.mOptions.mIdleTimeout = std::chrono::milliseconds(50);
  bool passed = Expect(server.Start(), "the server starts");
  auto header = server.Connect();
  auto body = server.Connect();
  auto idle = server.Connect();
  header.Write("POST / HTTP/1.1\r\n");
  body.Write(Head("Content-Length: 2\r\n") + "o");
  const auto refusal = header.ReadResponse();
  passed &= Expect(refusal && refusal->result_int() == 408, "an unfinished header");
  passed &= Expect(idle.ReadAll().empty(), "a connection without a request is closed");
  body.Write("k");
  const auto answer = body.ReadResponse();
  passed &= Expect(answer && answer->body() == "ok", "a body has the time of the request");
  return passed && Expect(server.Closed("header_timeout") == 1 && server.Closed("idle") >= 1,
                          "both are counted");
}

/// Guards against connections without complete requests that keep callers out.
bool WaitingConnectionsMakeRoom(boost::asio::io_context& aContext)
{
  static LimitedServer server(aContext); // Its connections end after the test.
  server.mOptions.mMaxConnections = 2;
  server.mOptions.mMinWaitToReplace = std::chrono::milliseconds(0);
  bool passed = Expect(server.Start(), "the server starts");
  auto busy = server.Connect();
  busy.Write("POST /wait HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  server.mWaiting.Wait();
  auto idle = server.Connect();
  passed &= Expect(server.StatusOf(Head("Content-Length: 0\r\n")) == 200, "a new caller is served");
  passed &= Expect(idle.ReadAll().empty(), "the idle connection is closed");
  auto body = server.Connect();
  body.Write(Head("Content-Length: 2\r\n") + "o");
  // Until the server has read it, the connection has input and is kept.
  unsigned status = 0;
  for (int n = 0; n < 1000 && status != 200; ++n) {
    status = server.StatusOf(Head("Content-Length: 0\r\n"));
  }
  passed &= Expect(status == 200 && body.ReadAll().empty(), "so is one that stops in a body");
  server.mRelease.Set("late");
  const auto late = busy.ReadResponse();
  return passed && Expect(late && late->body() == "late", "a handled request is not");
}

/// Guards against a server whose response has trailers or a chunk extension without a bound.
bool ResponsesAreBounded(boost::asio::io_context& aContext)
{
  const auto feed = [](const std::string& aText) {
    boost::beast::flat_buffer buffer;
    net::ResponseParser parser;
    parser.eager(true);
    boost::beast::ostream(buffer) << aText;
    return net::FeedParser(buffer, parser);
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  bool passed = Expect(feed(head + "0\r\n" + Trailer(30 * 1024)), "unfinished trailers");
  passed &= Expect(!feed(head + "0\r\n" + Trailer(33 * 1024)), "trailers above the limit");
  passed &= Expect(!feed(head + "1;n=" + std::string(33 * 1024, 'e')), "an extension above it");
  boost::asio::ip::tcp::acceptor acceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 });
  net::Spawn([&] {
    boost::system::error_code ec;
    boost::asio::ip::tcp::socket socket(aContext);
    acceptor.async_accept(socket, net::Await(ec));
    const auto text = head + "0\r\n" + Trailer(std::size_t{ 1 } << 20);
    boost::asio::async_write(socket, boost::asio::buffer(text), net::Await(ec));
  });
  net::HttpClient client(aContext, acceptor.local_endpoint());
  const auto reply = net::Fetch(client, http::verb::get, "/", "", std::chrono::seconds(60), 1000);
  return passed && Expect(reply.mStatus == 0 && client.mBuffer.capacity() <= 65536,
                          "the client gives up endless trailers");
}

} // namespace

bool LimitTests(boost::asio::io_context& aContext)
{
  bool passed = LargestRequestIsServed(aContext);
  passed &= TrailersAndExtensionsAreBounded(aContext);
  passed &= MostIsClosedFirst();
  passed &= BudgetFollowsItsAccounts();
  passed &= UnfinishedRequestsShareABudget(aContext);
  passed &= UnreadResponsesShareTheBudget(aContext);
  passed &= EachPhaseHasATimeout(aContext);
  passed &= WaitingConnectionsMakeRoom(aContext);
  passed &= ResponsesAreBounded(aContext);
  return passed;
}

} // namespace pollenwall::test
