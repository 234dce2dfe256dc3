#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <pollenwall/configuration.h>
#include <pollenwall/configuration_log.h>

#include "commands.h"
#include "http_client.h"

/// Calls to the operators' port of entries.
namespace pollenwall::tool {

/// The value of a call, or nothing after the error was passed to aFailed.
template<typename T>
std::optional<T> Try(const std::function<Result<T>()>& aCall,
                     const std::function<void(const Error&)>& aFailed)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aCall());
      return std::optional<T>(std::move(value));
    },
    [&](const Error& aError) -> std::optional<T> {
      aFailed(aError);
      return std::nullopt;
    },
    [&]() -> std::optional<T> {
      aFailed(Error{ ErrorCode::Internal, Verdict::MayHaveRun, "unknown failure", {} });
      return std::nullopt;
    });
}

/// Writes "pollenwall: MESSAGE" to standard error.
void PrintFailure(const std::string& aMessage);

/// A call to an entry's operators' port.
Call EntryCall(const Arguments& aArguments,
               const settings::Endpoint& aEntry,
               std::string aMethod,
               std::string aTarget);

/// What an entry's heartbeats told the entry that was asked.
struct PeerStatus
{
  std::string mName;
  std::string mIncarnation;
  bool mReady = false;
  configuration::Version mVersion = 0;
};

/// What GET /v1/status says.
struct EntryStatus
{
  bool mReady = false;
  configuration::Version mVersion = 0;
  std::string mIncarnation;
  std::vector<PeerStatus> mPeers;
  boost::json::value mWhole;
};

Result<EntryStatus> GetStatus(const Arguments& aArguments, const settings::Endpoint& aEntry);

/// The snapshot record that GET /v1/configuration returns.
Result<std::string> GetSnapshot(const Arguments& aArguments, const settings::Endpoint& aEntry);

} // namespace pollenwall::tool
