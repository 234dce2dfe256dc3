#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <pollenwall/settings.h>
#include <pollenwall/verdict.h>

/// A small HTTP/1.1 client for one call at a time, with a connection for each.
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
/// sent or the server said so, and MayHaveRun otherwise.
Result<std::string> Send(const Call& aCall);

} // namespace pollenwall::tool
