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

/// Kept HTTP/1.1 connections to one server for calls at a high rate, with plain Asio callbacks: a
/// fiber per connection would cost two context switches a call.
namespace pollenwall::net {

using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Feeds what has arrived to the parser until it is done or needs more. False: the bytes are no
/// valid response, and the connection cannot be used further.
bool FeedParser(boost::beast::flat_buffer& aBuffer, ResponseParser& aParser);

struct HttpCallResult
{
  unsigned mStatus = 0; ///< 0: there is no answer.
  std::string mBody;
  bool mSent = false; ///< Some byte of the request may have left this process.
};

/// One call. The function is called exactly once, never from within Call.
struct HttpCall
{
  std::string mRequest; ///< Header and body as they go on the wire.
  std::chrono::milliseconds mTimeout{ 1000 };
  std::function<void(HttpCallResult)> mDone;
};

struct HttpPoolLimits
{
  std::size_t mMaxConnections = 8; ///< Calls beyond wait for a connection.
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
  std::vector<HttpPoolConnection*> mIdle; ///< The one used last is at the back.
  std::deque<HttpCall> mWaiting;
  std::uint64_t mOpened = 0;
};

/// Makes a call over an idle connection, a new one, or the first that becomes free.
void Call(const std::shared_ptr<HttpPool>& aPool, HttpCall aCall);

/// Ends calls that have taken longer than their timeout, with their connections: an answer that
/// comes later could not be told from that of the next call. Due several times per timeout.
void Sweep(HttpPool& aPool);

/// Closes everything; calls on their way end without an answer.
void CloseAll(HttpPool& aPool);

} // namespace pollenwall::net
