#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <pollenwall/configuration_log.h>
#include <pollenwall/settings.h>
#include <pollenwall/verdict.h>

namespace pollenwall::tool {

/// A reader of the stream `configuration` that can append to it.
struct LogClient
{
  settings::Endpoint mServer;
  std::chrono::milliseconds mTimeout{ 5000 }; ///< Of one call.
  configuration::ConfigurationLog mLog;

  /// The first outcome of each change or restore id that was read, apart from Deferred.
  std::map<std::string, configuration::Outcome, std::less<>> mOutcomes;
};

/// Reads up to the end of the stream.
Result<void> CatchUp(LogClient& aClient);

/// Appends a record and returns its offset. When the error's verdict is not NotRun the record may
/// have been appended.
Result<std::uint64_t> Append(LogClient& aClient, std::string_view aRecord);

} // namespace pollenwall::tool
