#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <pollenwall/settings.h>
#include <pollenwall/verdict.h>

/// A blocking HTTP/1.1 client that opens a connection for each call.
namespace pollenwall::tool {

struct Call
{
  settings::Endpoint mServer;
  settings::Tls mTls; ///< Plain TCP when it is off.
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 5000 }; ///< For the whole call.
};

/// Returns the body of a 2xx answer. The error's verdict is NotRun when no byte of the request was
/// sent, the server's own verdict when its answer has one, and MayHaveRun otherwise.
Result<std::string> Send(const Call& aCall);

} // namespace pollenwall::tool
