#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// HTTP/1.1 client over persistent connections, with one request at a time on each.
namespace pollenwall::load {

struct HttpAnswer
{
  bool mOk = false;   ///< A complete answer arrived.
  bool mSent = false; ///< A byte of the request may have reached the server.
  unsigned mStatus = 0;
  std::string mBody;
};

using OnAnswer = std::function<void(HttpAnswer)>;

class HttpConnection;

/// Pool of connections to one server; requests in progress keep it alive.
struct Server : std::enable_shared_from_this<Server>
{
  Server(boost::asio::io_context& aContext,
         boost::asio::ip::tcp::endpoint aEndpoint,
         std::size_t aMaxConnections);

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::endpoint mEndpoint;
  std::string mName; ///< "IP:PORT".
  std::size_t mMaxConnections;
  std::size_t mConnectionCount = 0;
  std::uint64_t mQueued = 0; ///< Count of requests that had to wait for a connection.
  std::vector<std::shared_ptr<HttpConnection>> mIdleConnections;
  struct PendingRequest
  {
    std::string mRequest;
    OnAnswer mOnAnswer;
  };
  std::deque<PendingRequest> mPendingRequests;
};

/// Sends one request, given with its headers, and calls aOnAnswer once. mOk is false if the
/// connection failed or broke. A request whose persistent connection is closed by the server is not
/// sent again.
void Send(Server& aServer, std::string aRequest, OnAnswer aOnAnswer);

/// Formats a request with an optional JSON body.
std::string RequestText(const Server& aServer,
                        std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aBody,
                        std::string_view aHeaders = {});

} // namespace pollenwall::load
