#include <pollenwall/net/stream.h>

#include <charconv>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <pollenwall/net/fiber.h>

namespace pollenwall::net {
namespace {

void SetOption(Socket& aSocket, int aLevel, int aName, int aValue)
{
  // Errors are ignored: the default of the system is slower but correct.
  (void)::setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue);
}

} // namespace

std::optional<Tcp::endpoint> ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = aText.substr(0, colon);
  const auto port = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t number = 0;
  const auto [end, problem] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (problem != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, number);
}

std::string ToString(const Tcp::endpoint& aEndpoint)
{
  const auto host = aEndpoint.address().to_string();
  const auto port = std::to_string(aEndpoint.port());
  return aEndpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

void ConfigureSocket(Socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.set_option(Tcp::no_delay(true), ec);
  aSocket.non_blocking(true, ec);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, 2);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, 3);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, 5000);
}

boost::system::error_code Handshake(Stream& aStream,
                                    std::shared_ptr<boost::asio::ssl::context> aContext,
                                    boost::asio::ssl::stream_base::handshake_type aType)
{
  aStream.mTlsContext = std::move(aContext);
  aStream.mTls = std::make_unique<Stream::Tls>(aStream.mSocket, *aStream.mTlsContext);
  boost::system::error_code ec;
  aStream.mTls->async_handshake(aType, Await(ec));
  return ec;
}

std::vector<std::size_t> FindClosed(const std::vector<int>& aSockets,
                                    boost::system::error_code& aEc)
{
  aEc = {};
  std::vector<std::size_t> closed;
  if (aSockets.empty()) {
    return closed;
  }
  std::vector<pollfd> polled;
  polled.reserve(aSockets.size());
  for (const auto socket : aSockets) {
    polled.push_back({ socket, POLLRDHUP, 0 });
  }
  int n = 0;
  do {
    n = ::poll(polled.data(), polled.size(), 0);
  } while (n < 0 && errno == EINTR);
  if (n < 0) {
    aEc.assign(errno, boost::system::system_category());
    return closed;
  }
  for (std::size_t index = 0; index < polled.size(); ++index) {
    if (polled[index].revents != 0) {
      closed.push_back(index);
    }
  }
  return closed;
}

void Close(Stream& aStream)
{
  boost::system::error_code ec;
  aStream.mSocket.close(ec);
}

} // namespace pollenwall::net
