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

/// A small HTTP/1.1 server on one thread for the stand-ins. It injects the faults that do not
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

using Respond = std::function<void(const Response&)>;

/// Called once for each request; must call the Respond at most once, at any time. A Respond whose
/// connection is gone does nothing.
using Handler = std::function<void(const Request&, Respond)>;

struct Listen
{
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::size_t mMaxConnections = 0; ///< More are closed at once when accepted; 0 is no limit.
  bool mControl = false;           ///< No faults apply to its connections.
};

class Server;

/// Listens on all addresses and serves until the io_context stops. POST /fault is answered by the
/// server itself, and paths for which aExempt is true are never affected by a fault. Throws
/// boost::system::system_error when an address cannot be bound.
std::shared_ptr<Server> Serve(boost::asio::io_context& aContext,
                              const std::vector<Listen>& aListens,
                              Handler aHandler,
                              std::function<bool(const Request&)> aExempt);

/// Makes the JSON body and headers of a refusal or failure.
Response ErrorResponse(unsigned aStatus, Verdict aVerdict, ErrorCode aCode, std::string aMessage);

/// Returns the value of a query parameter, as it stands in the request; empty when it is absent.
std::string_view QueryText(const Request& aRequest, std::string_view aName);

/// Returns the value of a query parameter, or the default when it is absent or not a number.
std::uint64_t QueryNumber(const Request& aRequest, std::string_view aName, std::uint64_t aDefault);

/// Reads the two clocks.
Now ReadClocks();

/// Runs the context until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& aContext);

} // namespace pollenwall::standin
