#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>

namespace pollenwall::net {

using Tcp = boost::asio::ip::tcp;
using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;

/// Parses "IP:PORT" or "[IP]:PORT". Returns nothing for names and any other text.
std::optional<Tcp::endpoint> ParseEndpoint(std::string_view aText);
std::string ToString(const Tcp::endpoint& aEndpoint);

/// Sets the options of every connection: no delay of small segments, and keep-alive probes and
/// timeouts by which the kernel reports an unresponsive peer within about five seconds, so that no
/// timer per request is needed.
void ConfigureSocket(Socket& aSocket);

/// A connection with or without TLS that meets the requirements of Beast's AsyncStream. Not
/// movable, because the TLS layer refers to the socket.
struct Stream
{
  using executor_type = Executor; // NOLINT(readability-identifier-naming)
  using next_layer_type = Socket; // NOLINT(readability-identifier-naming)
  using Tls = boost::asio::ssl::stream<Socket&>;

  explicit Stream(Socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  executor_type get_executor() { return mSocket.get_executor(); }

  template<typename Buffers, typename Token>
  auto async_read_some(const Buffers& aBuffers, Token&& aToken)
  {
    if (mTls) {
      return mTls->async_read_some(aBuffers, std::forward<Token>(aToken));
    }
    return mSocket.async_read_some(aBuffers, std::forward<Token>(aToken));
  }

  template<typename Buffers, typename Token>
  auto async_write_some(const Buffers& aBuffers, Token&& aToken)
  {
    if (mTls) {
      return mTls->async_write_some(aBuffers, std::forward<Token>(aToken));
    }
    return mSocket.async_write_some(aBuffers, std::forward<Token>(aToken));
  }

  Socket mSocket;
  std::unique_ptr<Tls> mTls;
  /// Keeps the context alive: a reload may replace it while connections still use it.
  std::shared_ptr<boost::asio::ssl::context> mTlsContext;
};

/// Adds TLS to a connected stream and runs the handshake in the calling fiber.
boost::system::error_code Handshake(Stream& aStream,
                                    std::shared_ptr<boost::asio::ssl::context> aContext,
                                    boost::asio::ssl::stream_base::handshake_type aType);

/// The indexes of those connected sockets whose peers have closed, half-closed or reset the
/// connection, also behind unread input. Makes one system call, with whose error aEc is set; the
/// result is empty then.
std::vector<std::size_t> FindClosed(const std::vector<int>& aSockets,
                                    boost::system::error_code& aEc);

/// Closes at once, without a TLS close_notify. Outstanding operations end with an error.
void Close(Stream& aStream);

} // namespace pollenwall::net
