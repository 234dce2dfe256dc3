#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>

#include <pollenwall/standin/fault.h>
#include <pollenwall/verdict.h>

/// A small single-threaded HTTP/1.1 server for the stand-ins. It injects the faults that do not
/// depend on the protocol; Refuse and Fail are left to the handler.
namespace pollenwall::standin {

struct Request
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery; ///< After the '?'.
  boost::beast::http::fields mFields;
  std::string mBody;
  std::string mLocalAddress;
  std::uint16_t mLocalPort = 0;
  FaultKind mFault = FaultKind::None; ///< Refuse or Fail when the handler has to apply it.
};

struct Response
{
  unsigned mStatus = 200;
  std::string mBody;
  std::string mHeaders; ///< Further header lines, each ending in CRLF.
};

using ResponseCallback = std::function<void(const Response&)>;

/// Called once for each request; must call the ResponseCallback at most once, then or later. The
/// call does nothing if the connection is closed.
using Handler = std::function<void(const Request&, ResponseCallback)>;

struct ListenerOptions
{
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::size_t mMaxConnections = 0; ///< Further ones are closed when accepted; 0 is no limit.
  bool mIsControlPort = false;     ///< No faults apply to its connections.
};

class Server;

/// Listens on all addresses and serves until the io_context stops. POST /fault is answered by the
/// server itself, and requests for which aIsExempt returns true are never affected by a fault.
/// Throws boost::system::system_error when an address cannot be bound.
std::shared_ptr<Server> StartServer(boost::asio::io_context& aContext,
                                    const std::vector<ListenerOptions>& aListeners,
                                    Handler aHandler,
                                    std::function<bool(const Request&)> aIsExempt);

/// Makes the JSON body and headers of a refusal or failure.
Response ErrorResponse(unsigned aStatus, Verdict aVerdict, ErrorCode aCode, std::string aMessage);

/// Returns the value of a query parameter without percent-decoding; empty when it is absent.
std::string_view QueryText(const Request& aRequest, std::string_view aName);

/// Returns the value of a query parameter, or the default when it is absent or not a number.
std::uint64_t QueryNumber(const Request& aRequest, std::string_view aName, std::uint64_t aDefault);

/// Reads the monotonic and the wall clock.
Now ReadClocks();

/// Runs the context until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& aContext);

} // namespace pollenwall::standin
