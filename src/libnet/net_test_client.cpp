#include "net_test.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <pollenwall/net/fiber.h>

namespace pollenwall::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

Client::Client(asio::io_context& aContext, const net::Tcp::endpoint& aServer)
  : mSocket(aContext)
{
  boost::system::error_code ec;
  mSocket.async_connect(aServer, net::Await(ec));
}

void Client::Write(const std::string& aBytes)
{
  boost::system::error_code ec;
  asio::async_write(mSocket, asio::buffer(aBytes), net::Await(ec));
}

void Client::EndSending()
{
  boost::system::error_code ec;
  mSocket.shutdown(net::Socket::shutdown_send, ec);
}

void Client::Reset()
{
  boost::system::error_code ec;
  mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  mSocket.close(ec);
}

std::string Client::ReadAll()
{
  std::string text = std::move(mInput);
  boost::system::error_code ec;
  asio::async_read(mSocket, asio::dynamic_buffer(text), net::Await(ec));
  return text;
}

std::optional<net::HttpResponse> Client::ReadResponse()
{
  boost::system::error_code ec;
  http::response_parser<http::string_body> parser;
  auto buffer = asio::dynamic_buffer(mInput);
  http::async_read(mSocket, buffer, parser, net::Await(ec));
  if (ec) {
    return std::nullopt;
  }
  return parser.release();
}

} // namespace pollenwall::test
