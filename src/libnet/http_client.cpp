#include <pollenwall/net/http_client.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <pollenwall/net/fiber.h>

namespace pollenwall::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

boost::system::error_code Connect(HttpClient& aClient)
{
  boost::system::error_code ec;
  aClient.mBuffer.clear();
  auto stream = std::make_shared<Stream>(Socket(aClient.mContext));
  aClient.mStream = stream;
  stream->mSocket.async_connect(aClient.mServer, Await(ec));
  if (ec) {
    return ec;
  }
  ConfigureSocket(stream->mSocket);
  return aClient.mTls ? Handshake(*stream, aClient.mTls->mClient, asio::ssl::stream_base::client)
                      : ec;
}

HttpReply Failed(HttpClient& aClient, const char* aStep, const boost::system::error_code& aEc)
{
  if (aClient.mStream) {
    Close(*aClient.mStream);
    aClient.mStream.reset();
  }
  return { 0, "", std::string(aStep) + " " + ToString(aClient.mServer) + ": " + aEc.message() };
}

HttpReply Exchange(HttpClient& aClient,
                   http::request<http::string_body>& aRequest,
                   std::size_t aMaxBodyBytes)
{
  boost::system::error_code ec;
  if (aClient.mStream && IsStale(aClient.mStream->mSocket)) {
    Close(*aClient.mStream);
    aClient.mStream.reset();
  }
  if (!aClient.mStream) {
    ec = Connect(aClient);
    if (ec) {
      return Failed(aClient, "connect to", ec);
    }
  }
  const auto stream = aClient.mStream;
  http::async_write(*stream, aRequest, Await(ec));
  if (ec) {
    return Failed(aClient, "write to", ec);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(aMaxBodyBytes);
  http::async_read(*stream, aClient.mBuffer, parser, Await(ec));
  if (ec) {
    return Failed(aClient, "read from", ec);
  }
  if (!parser.keep_alive()) {
    Close(*stream);
    aClient.mStream.reset();
  }
  auto& response = parser.get();
  return { response.result_int(), std::move(response.body()), "" };
}

} // namespace

bool IsStale(Socket& aSocket)
{
  char byte = 0;
  const auto n = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpReply Fetch(HttpClient& aClient,
                http::verb aMethod,
                const std::string& aTarget,
                std::string aBody,
                std::chrono::milliseconds aTimeout,
                std::size_t aMaxBodyBytes)
{
  http::request<http::string_body> request(aMethod, aTarget, 11);
  request.set(http::field::host, ToString(aClient.mServer));
  if (!aBody.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(aBody);
  }
  request.prepare_payload();
  // The handler may run after this call has returned, so it checks the flag first.
  const auto active = std::make_shared<bool>(true);
  asio::basic_waitable_timer<std::chrono::steady_clock,
                             asio::wait_traits<std::chrono::steady_clock>,
                             Executor>
    timer(aClient.mContext, aTimeout);
  timer.async_wait([active, &aClient](const boost::system::error_code& aEc) {
    if (!aEc && *active && aClient.mStream) {
      Close(*aClient.mStream);
    }
  });
  auto reply = Exchange(aClient, request, aMaxBodyBytes);
  *active = false;
  return reply;
}

} // namespace pollenwall::net
