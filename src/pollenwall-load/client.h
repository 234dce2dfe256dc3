#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// HTTP/1.1 requests over kept connections, one request at a time on each.
namespace pollenwall::load {

struct HttpAnswer
{
  bool mOk = false;   ///< An answer arrived completely.
  bool mSent = false; ///< A byte of the request may have reached the server.
  unsigned mStatus = 0;
  std::string mBody;
};

using OnAnswer = std::function<void(HttpAnswer)>;

class HttpConnection;

/// The connections to one server; requests in progress keep it alive.
struct Server : std::enable_shared_from_this<Server>
{
  Server(boost::asio::io_context& aContext,
         boost::asio::ip::tcp::endpoint aEndpoint,
         std::size_t aMaxConnections);

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::endpoint mEndpoint;
  std::string mName; ///< "IP:PORT".
  std::size_t mMaxConnections;
  std::size_t mConnections = 0;
  std::uint64_t mQueued = 0; ///< Requests that had to wait for a connection.
  std::vector<std::shared_ptr<HttpConnection>> mIdle;
  struct Waiting
  {
    std::string mRequest;
    OnAnswer mOnAnswer;
  };
  std::deque<Waiting> mWaiting;
};

/// Sends one request, complete with headers, and calls back once: with the answer, or without mOk
/// when the connection could not be made or broke. A request that finds its kept connection closed
/// by the server is not sent again.
void Send(Server& aServer, std::string aRequest, OnAnswer aOnAnswer);

/// Makes the text of a request with a JSON body.
std::string RequestText(const Server& aServer,
                        std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aBody,
                        std::string_view aHeaders = {});

} // namespace pollenwall::load
