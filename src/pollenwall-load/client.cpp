#include "client.h"

#include <optional>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pollenwall::load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

} // namespace

class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  explicit HttpConnection(std::shared_ptr<Server> aServer)
    : mServer(std::move(aServer))
    , mSocket(mServer->mContext)
  {
    ++mServer->mConnectionCount;
  }

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection() { --mServer->mConnectionCount; }

  void Connect(std::string aRequest, OnAnswer aOnAnswer)
  {
    mRequestText = std::move(aRequest);
    mOnAnswer = std::move(aOnAnswer);
    mSocket.async_connect(mServer->mEndpoint, [self = shared_from_this()](error_code aEc) {
      if (aEc) {
        self->Finish({});
        return;
      }
      error_code ec;
      self->mSocket.set_option(tcp::no_delay(true), ec);
      self->Write();
    });
  }

  void Request(std::string aRequest, OnAnswer aOnAnswer)
  {
    mRequestText = std::move(aRequest);
    mOnAnswer = std::move(aOnAnswer);
    Write();
  }

  /// Whether the server has closed the idle connection or sent unexpected data.
  bool IsStale()
  {
    error_code ec;
    char buf = 0;
    mSocket.non_blocking(true, ec);
    mSocket.receive(asio::buffer(&buf, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
  }

private:
  void Write()
  {
    asio::async_write(mSocket,
                      asio::buffer(mRequestText),
                      [self = shared_from_this()](error_code aEc, std::size_t) {
                        if (aEc) {
                          self->Finish({});
                          return;
                        }
                        self->Read();
                      });
  }

  void Read()
  {
    mParser.emplace();
    mParser->body_limit(64 << 20);
    http::async_read(
      mSocket, mBuffer, *mParser, [self = shared_from_this()](error_code aEc, std::size_t) {
        if (aEc) {
          self->Finish({ false, true });
          return;
        }
        auto& message = self->mParser->get();
        self->mKeepAlive = message.keep_alive();
        self->Finish({ true, true, message.result_int(), std::move(message.body()) });
      });
  }

  void Finish(HttpAnswer aAnswer)
  {
    auto onAnswer = std::move(mOnAnswer);
    mOnAnswer = nullptr;
    const bool reusable = aAnswer.mOk && mKeepAlive;
    if (!reusable) {
      error_code ec;
      mSocket.close(ec);
    }
    if (reusable && !mServer->mPendingRequests.empty()) {
      auto next = std::move(mServer->mPendingRequests.front());
      mServer->mPendingRequests.pop_front();
      Request(std::move(next.mRequest), std::move(next.mOnAnswer));
    } else if (reusable) {
      mServer->mIdleConnections.push_back(shared_from_this());
    } else if (!mServer->mPendingRequests.empty()) {
      auto next = std::move(mServer->mPendingRequests.front());
      mServer->mPendingRequests.pop_front();
      std::make_shared<HttpConnection>(mServer)->Connect(std::move(next.mRequest),
                                                         std::move(next.mOnAnswer));
    }
    onAnswer(std::move(aAnswer));
  }

  std::shared_ptr<Server> mServer;
  tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::response_parser<http::string_body>> mParser;
  std::string mRequestText;
  OnAnswer mOnAnswer;
  bool mKeepAlive = true;
};

Server::Server(asio::io_context& aContext, tcp::endpoint aEndpoint, std::size_t aMaxConnections)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mName(mEndpoint.address().to_string() + ":" + std::to_string(mEndpoint.port()))
  , mMaxConnections(aMaxConnections)
{
}

void Send(Server& aServer, std::string aRequest, OnAnswer aOnAnswer)
{
  while (!aServer.mIdleConnections.empty()) {
    auto connection = std::move(aServer.mIdleConnections.back());
    aServer.mIdleConnections.pop_back();
    if (!connection->IsStale()) {
      connection->Request(std::move(aRequest), std::move(aOnAnswer));
      return;
    }
  }
  if (aServer.mConnectionCount < aServer.mMaxConnections) {
    std::make_shared<HttpConnection>(aServer.shared_from_this())
      ->Connect(std::move(aRequest), std::move(aOnAnswer));
    return;
  }
  ++aServer.mQueued;
  aServer.mPendingRequests.push_back({ std::move(aRequest), std::move(aOnAnswer) });
}

std::string RequestText(const Server& aServer,
                        std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aBody,
                        std::string_view aHeaders)
{
  std::string text;
  text.reserve(aBody.size() + aHeaders.size() + 200);
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: ");
  text.append(aServer.mName).append("\r\n").append(aHeaders);
  if (!aBody.empty()) {
    text.append("Content-Type: application/json\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(aBody.size())).append("\r\n\r\n");
  return text.append(aBody);
}

} // namespace pollenwall::load
