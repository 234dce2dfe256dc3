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

/// Reads the stream `configuration` of the log service and appends to it.
struct LogClient
{
  settings::Endpoint mServer;
  std::chrono::milliseconds mTimeout{ 5000 }; ///< For each call.
  configuration::ConfigurationLog mLog;

  /// The first outcome other than Deferred of each change or restore id that was read.
  std::map<std::string, configuration::Outcome, std::less<>> mOutcomes;
};

/// Applies all records up to the end of the stream.
Result<void> CatchUp(LogClient& aClient);

/// Appends a record and returns its offset. When the error's verdict is not NotRun the record may
/// have been appended.
Result<std::uint64_t> Append(LogClient& aClient, std::string_view aRecord);

} // namespace pollenwall::tool
