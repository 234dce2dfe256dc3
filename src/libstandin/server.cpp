#include <pollenwall/standin/server.h>

#include <charconv>
#include <csignal>
#include <list>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <pollenwall/log.h>

namespace pollenwall::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxBodyBytes = 4 << 20;

struct Connection;

} // namespace

class Server : public std::enable_shared_from_this<Server>
{
public:
  struct Listener
  {
    ListenerOptions mOptions;
    tcp::acceptor mAcceptor;
    std::size_t mConnections = 0;
  };

  Server(asio::io_context& aContext,
         Handler aHandler,
         std::function<bool(const Request&)> aIsExempt)
    : mContext(aContext)
    , mHandler(std::move(aHandler))
    , mIsExempt(std::move(aIsExempt))
  {
  }

  void AddListener(const ListenerOptions& aOptions);
  void Accept(Listener& aListener);
  void ApplyFaultCommand(const FaultCommand& aCommand);
  /// Closes idle or stalled connections of a scope. Closing the connection ends a stalled request.
  void CloseConnections(const FaultScope& aScope, bool aIdle, bool aStalled);

  asio::io_context& mContext;
  Handler mHandler;
  std::function<bool(const Request&)> mIsExempt;
  ActiveFaults mFaults;
  std::list<Listener> mListeners;
  std::list<Connection*> mConnections;
};

namespace {

/// One client connection; handles one request at a time.
struct Connection : std::enable_shared_from_this<Connection>
{
  Connection(std::shared_ptr<Server> aServer, Server::Listener& aListener, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mListener(aListener)
    , mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
    ++mListener.mConnections;
    mListPosition = mServer->mConnections.insert(mServer->mConnections.end(), this);
    error_code ec;
    mSocket.set_option(tcp::no_delay(true), ec);
    mRequest.mLocalAddress = mSocket.local_endpoint(ec).address().to_string();
    mRequest.mLocalPort = mListener.mOptions.mPort;
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection()
  {
    --mListener.mConnections;
    mServer->mConnections.erase(mListPosition);
  }

  FaultScope Scope() const { return { mRequest.mLocalAddress, mRequest.mLocalPort }; }

  void Close()
  {
    error_code ec;
    mSocket.shutdown(tcp::socket::shutdown_both, ec);
    mSocket.close(ec);
    mTimer.cancel();
  }

  void Read()
  {
    mIdle = true;
    mParser.emplace();
    mParser->body_limit(kMaxBodyBytes);
    http::async_read(mSocket, mBuffer, *mParser, [self = shared_from_this()](error_code aEc, auto) {
      self->mIdle = false;
      if (!aEc) {
        self->OnRequest();
      }
    });
  }

  void OnRequest()
  {
    auto& message = mParser->get();
    mKeepAlive = message.keep_alive();
    const std::string_view target = message.target();
    const auto queryStart = target.find('?');
    mRequest.mMethod = message.method_string();
    mRequest.mPath = target.substr(0, queryStart);
    mRequest.mQuery = queryStart == std::string_view::npos ? "" : target.substr(queryStart + 1);
    mRequest.mBody = std::move(message.body());
    mRequest.mFields = std::move(message.base());
    mRequest.mFault = FaultKind::None;
    mFault = {};
    if (mRequest.mPath == "/fault" && mRequest.mMethod == "POST") {
      HandleFaultCommand();
      return;
    }
    if (!mServer->mFaults.mByScope.empty() && !mListener.mOptions.mIsControlPort &&
        !mServer->mIsExempt(mRequest)) {
      mFault = TakeFault(mServer->mFaults, Scope(), ReadClocks().mTime);
    }
    switch (mFault.mKind) {
      case FaultKind::Drop:
      case FaultKind::Outage:
        Close();
        return;
      case FaultKind::Stall:
        // The server holds the connection until the fault ends or the client closes.
        mStalled = true;
        WaitForClose();
        return;
      case FaultKind::Delay:
        RunAfter(mFault.mDuration, [self = shared_from_this()] { self->Handle(); });
        return;
      case FaultKind::Refuse:
      case FaultKind::Fail:
        mRequest.mFault = mFault.mKind;
        break;
      default:
        break;
    }
    Handle();
  }

  void WaitForClose()
  {
    mSocket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->mStalled = false;
      self->Close();
    });
  }

  template<typename Function>
  void RunAfter(std::chrono::milliseconds aWait, Function aFunction)
  {
    mTimer.expires_after(aWait);
    mTimer.async_wait([aFunction, self = shared_from_this()](error_code aEc) {
      if (!aEc) {
        aFunction();
      }
    });
  }

  void HandleFaultCommand()
  {
    std::string problem;
    const auto command = ParseFaultCommand(mRequest.mBody, problem);
    if (!command) {
      Write(ErrorResponse(400, Verdict::NotRun, ErrorCode::BadRequest, problem));
      return;
    }
    mServer->ApplyFaultCommand(*command);
    Write({ 200, "{}", "" });
  }

  void Handle()
  {
    mServer->mHandler(mRequest, [self = shared_from_this()](const Response& aResponse) {
      self->OnResponse(aResponse);
    });
  }

  void OnResponse(const Response& aResponse)
  {
    if (mFault.mKind == FaultKind::LoseAnswer) {
      Close();
      return;
    }
    if (mFault.mKind == FaultKind::Late) {
      RunAfter(mFault.mDuration,
               [self = shared_from_this(), aResponse] { self->Write(aResponse); });
      return;
    }
    Write(aResponse);
  }

  void Write(const Response& aResponse)
  {
    if (!mSocket.is_open()) {
      return;
    }
    mWriteBuffer = "HTTP/1.1 ";
    mWriteBuffer += std::to_string(aResponse.mStatus);
    mWriteBuffer += ' ';
    const auto reason = http::obsolete_reason(static_cast<http::status>(aResponse.mStatus));
    mWriteBuffer.append(reason.data(), reason.size());
    mWriteBuffer += "\r\nContent-Type: application/json\r\nContent-Length: ";
    mWriteBuffer += std::to_string(aResponse.mBody.size());
    mWriteBuffer += "\r\n";
    mWriteBuffer += aResponse.mHeaders;
    mWriteBuffer += mKeepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    mWriteBuffer += aResponse.mBody;
    asio::async_write(mSocket,
                      asio::buffer(mWriteBuffer),
                      [self = shared_from_this()](error_code aEc, std::size_t) {
                        if (aEc || !self->mKeepAlive) {
                          self->Close();
                          return;
                        }
                        self->Read();
                      });
  }

  std::shared_ptr<Server> mServer;
  Server::Listener& mListener;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::list<Connection*>::iterator mListPosition;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  Request mRequest;
  Fault mFault;
  std::string mWriteBuffer;
  bool mKeepAlive = true;
  bool mIdle = false;
  bool mStalled = false;
};

} // namespace

void Server::AddListener(const ListenerOptions& aOptions)
{
  const tcp::endpoint endpoint(asio::ip::make_address(aOptions.mAddress), aOptions.mPort);
  auto& listener = mListeners.emplace_back(Listener{ aOptions, tcp::acceptor(mContext, endpoint) });
  Accept(listener);
}

void Server::Accept(Listener& aListener)
{
  aListener.mAcceptor.async_accept(
    [this, self = shared_from_this(), &aListener](error_code aEc, tcp::socket aSocket) {
      if (aEc == asio::error::operation_aborted) {
        return;
      }
      const auto maxConnections = aListener.mOptions.mMaxConnections;
      if (!aEc && (maxConnections == 0 || aListener.mConnections < maxConnections)) {
        std::make_shared<Connection>(self, aListener, std::move(aSocket))->Read();
      }
      Accept(aListener);
    });
}

void Server::ApplyFaultCommand(const FaultCommand& aCommand)
{
  SetFault(mFaults, aCommand.mScope, aCommand.mFault, ReadClocks().mTime);
  log::Info("fault_set",
            { { "kind", std::string(ToString(aCommand.mFault.mKind)) },
              { "ms", std::int64_t{ aCommand.mFault.mDuration.count() } },
              { "count", static_cast<std::int64_t>(aCommand.mFault.mCount) },
              { "address", aCommand.mScope.mAddress },
              { "port", std::int64_t{ aCommand.mScope.mPort } } });
  CloseConnections(aCommand.mScope, aCommand.mFault.mKind == FaultKind::Outage, true);
  if (aCommand.mFault.mKind == FaultKind::Stall && aCommand.mFault.mDuration.count() > 0) {
    auto timer = std::make_shared<asio::steady_timer>(mContext, aCommand.mFault.mDuration);
    timer->async_wait([self = shared_from_this(), timer, scope = aCommand.mScope](error_code) {
      self->CloseConnections(scope, false, true);
    });
  }
}

void Server::CloseConnections(const FaultScope& aScope, bool aIdle, bool aStalled)
{
  // Closing a socket runs no handler synchronously, so the list does not change during the loop.
  for (auto* connection : mConnections) {
    const auto connectionScope = connection->Scope();
    const bool inScope = (aScope.mAddress.empty() || aScope.mAddress == connectionScope.mAddress) &&
                         (aScope.mPort == 0 || aScope.mPort == connectionScope.mPort);
    if (!inScope || connection->mListener.mOptions.mIsControlPort) {
      continue;
    }
    if ((aIdle && connection->mIdle) || (aStalled && connection->mStalled)) {
      connection->Close();
    }
  }
}

std::shared_ptr<Server> StartServer(asio::io_context& aContext,
                                    const std::vector<ListenerOptions>& aListeners,
                                    Handler aHandler,
                                    std::function<bool(const Request&)> aIsExempt)
{
  auto server = std::make_shared<Server>(aContext, std::move(aHandler), std::move(aIsExempt));
  for (const auto& options : aListeners) {
    server->AddListener(options);
  }
  return server;
}

Response ErrorResponse(unsigned aStatus, Verdict aVerdict, ErrorCode aCode, std::string aMessage)
{
  Response response;
  response.mStatus = aStatus;
  response.mBody = boost::json::serialize(boost::json::object{
    { "verdict", ToString(aVerdict) }, { "code", ToString(aCode) }, { "message", aMessage } });
  response.mHeaders = "Pollenwall-Verdict: " + std::string(ToString(aVerdict)) +
                      "\r\nPollenwall-Code: " + std::string(ToString(aCode)) + "\r\n";
  return response;
}

std::string_view QueryText(const Request& aRequest, std::string_view aName)
{
  std::string_view rest = aRequest.mQuery;
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
  }
  return "";
}

std::uint64_t QueryNumber(const Request& aRequest, std::string_view aName, std::uint64_t aDefault)
{
  std::uint64_t n = 0;
  const auto text = QueryText(aRequest, aName);
  const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && last == text.data() + text.size() ? n : aDefault;
}

Now ReadClocks()
{
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return { Time(std::chrono::duration_cast<Duration>(steady)),
           std::chrono::duration_cast<std::chrono::milliseconds>(wall).count() };
}

void RunUntilSignal(asio::io_context& aContext)
{
  asio::signal_set signals(aContext, SIGINT, SIGTERM);
  signals.async_wait([&aContext](error_code, int) { aContext.stop(); });
  aContext.run();
}

} // namespace pollenwall::standin
