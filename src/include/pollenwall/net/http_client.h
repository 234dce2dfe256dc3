#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/verb.hpp>

#include <pollenwall/net/stream.h>
#include <pollenwall/net/tls.h>

namespace pollenwall::net {

/// A client with one persistent HTTP/1.1 connection, for calls at a low rate. Makes one call at a
/// time.
struct HttpClient
{
  HttpClient(boost::asio::io_context& aContext, Tcp::endpoint aServer)
    : mContext(aContext)
    , mServer(std::move(aServer))
  {
  }

  boost::asio::io_context& mContext;
  Tcp::endpoint mServer;
  std::shared_ptr<TlsKeys> mTls; ///< Null: no TLS.
  std::shared_ptr<Stream> mStream;
  /// Bounds a response's header, chunk extensions and trailers, which Beast keeps until they are
  /// complete.
  boost::beast::flat_buffer mBuffer{ 64 * 1024 };
};

struct HttpReply
{
  unsigned mStatus = 0; ///< 0: no response was received; mProblem has the reason.
  std::string mBody;
  std::string mProblem;
};

/// Sends one request in the calling fiber. A request is never retried: if the connection fails
/// after the request was written, the reply has status 0.
HttpReply Fetch(HttpClient& aClient,
                boost::beast::http::verb aMethod,
                const std::string& aTarget,
                std::string aBody,
                std::chrono::milliseconds aTimeout,
                std::size_t aMaxBodyBytes);

/// Whether the other side has closed an idle connection or has sent unsolicited bytes on it. Costs
/// one system call.
bool IsStale(Socket& aSocket);

} // namespace pollenwall::net
