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

/// Calls to the operators' ports of entries.
namespace pollenwall::tool {

/// Returns the value of a call. On failure passes the error to aOnError and returns nothing.
template<typename T>
std::optional<T> Try(const std::function<Result<T>()>& aCall,
                     const std::function<void(const Error&)>& aOnError)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, aCall());
      return std::optional<T>(std::move(value));
    },
    [&](const Error& aError) -> std::optional<T> {
      aOnError(aError);
      return std::nullopt;
    },
    [&]() -> std::optional<T> {
      aOnError(Error{ ErrorCode::Internal, Verdict::MayHaveRun, "unknown failure", {} });
      return std::nullopt;
    });
}

/// Writes "pollenwall: MESSAGE" to standard error.
void PrintFailure(const std::string& aMessage);

/// Builds a call to an entry's operators' port. Its timeout is at most 5 s.
Call MakeEntryCall(const Arguments& aArguments,
                   const settings::Endpoint& aEntry,
                   std::string aMethod,
                   std::string aTarget);

/// State of an entry as received by another entry in heartbeats.
struct PeerStatus
{
  std::string mName;
  std::string mIncarnation;
  bool mReady = false;
  configuration::Version mVersion = 0;
};

/// The answer to GET /v1/status.
struct EntryStatus
{
  bool mReady = false;
  configuration::Version mVersion = 0;
  std::string mIncarnation;
  std::vector<PeerStatus> mPeers;
  boost::json::value mDocument; ///< The whole answer.
};

Result<EntryStatus> GetStatus(const Arguments& aArguments, const settings::Endpoint& aEntry);

/// The snapshot record that GET /v1/configuration returns.
Result<std::string> GetSnapshot(const Arguments& aArguments, const settings::Endpoint& aEntry);

} // namespace pollenwall::tool
