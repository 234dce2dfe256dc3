#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <pollenwall/net/stream.h>
#include <pollenwall/time.h>

/// A pool of persistent HTTP/1.1 connections to one server, for calls at a high rate. Uses plain
/// Asio callbacks: a fiber per connection would cost two context switches per call.
namespace pollenwall::net {

using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Feeds the buffered input to the parser until it is done or needs more. Returns false if the
/// input is not a valid response or has a longer header, chunk extension or trailers than 32 KiB;
/// the connection must then be closed.
bool FeedParser(boost::beast::flat_buffer& aBuffer, ResponseParser& aParser);

struct HttpCallResult
{
  unsigned mStatus = 0; ///< 0: no response was received.
  std::string mBody;
  bool mSent = false; ///< A byte of the request may have been sent.
  /// The server's process has likely ended: the connections that there were have been closed and
  /// new ones are refused. A cut of the network may do both, too.
  bool mServerGone = false;
};

/// A request to send. mDone is called exactly once, never from within Call.
struct HttpCall
{
  std::string mRequest; ///< Header and body as sent on the wire.
  /// Longest wait for a connection of the pool, and then longest time to connect if necessary and
  /// to receive the response. Nothing is sent later than that.
  std::chrono::milliseconds mTimeout{ 1000 };
  std::function<void(HttpCallResult)> mDone;
};

/// A call for which no connection is available yet.
struct WaitingCall
{
  HttpCall mCall;
  Time mDeadline{};
};

struct HttpPoolLimits
{
  std::size_t mMaxConnections = 8; ///< Further calls wait for a connection.
  std::size_t mMaxBodyBytes = 1024 * 1024;
};

struct HttpPoolConnection;

struct HttpPool : std::enable_shared_from_this<HttpPool>
{
  HttpPool(boost::asio::io_context& aContext, Tcp::endpoint aServer, HttpPoolLimits aLimits)
    : mContext(aContext)
    , mServer(std::move(aServer))
    , mLimits(aLimits)
  {
  }

  boost::asio::io_context& mContext;
  Tcp::endpoint mServer;
  HttpPoolLimits mLimits;
  std::list<std::shared_ptr<HttpPoolConnection>> mConnections;
  std::vector<HttpPoolConnection*> mIdle; ///< The most recently used is at the back.
  std::deque<WaitingCall> mWaiting;
  std::uint64_t mOpenedConnections = 0;
  /// The server has closed a connection since the last answer or timeout of a call.
  bool mClosedByServer = false;
};

/// Makes a call over an idle connection, a new one, or the first one that becomes idle.
void Call(const std::shared_ptr<HttpPool>& aPool, HttpCall aCall);

/// Ends calls that have exceeded their timeout, without sending those that wait for a connection,
/// and closes their connections, on which a late response would be taken for that of the next call.
/// To be called several times per timeout.
void Sweep(HttpPool& aPool);

/// Closes all connections; calls in progress end without a response.
void CloseAll(HttpPool& aPool);

} // namespace pollenwall::net
