#include "entries.h"

#include <iostream>

namespace pollenwall::tool {
namespace {

namespace json = boost::json;

std::string GetString(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Reads the peers of a status answer; leaves out those without a configuration version.
std::vector<PeerStatus> ParsePeers(const json::object& aStatus)
{
  std::vector<PeerStatus> peers;
  const auto* list = aStatus.if_contains("peers");
  if (!list || !list->is_array()) {
    return peers;
  }
  for (const auto& value : list->get_array()) {
    const auto* peer = value.if_object();
    const auto* version = peer ? peer->if_contains("configuration_version") : nullptr;
    json::error_code ec;
    const auto n = version ? version->to_number<std::uint64_t>(ec) : 0;
    if (version && !ec) {
      peers.push_back({ GetString(*peer, "name"),
                        GetString(*peer, "incarnation"),
                        GetString(*peer, "state") == "ready",
                        n });
    }
  }
  return peers;
}

} // namespace

void PrintFailure(const std::string& aMessage)
{
  std::cerr << "pollenwall: " << aMessage << "\n";
}

Call MakeEntryCall(const Arguments& aArguments,
                   const settings::Endpoint& aEntry,
                   std::string aMethod,
                   std::string aTarget)
{
  constexpr std::chrono::milliseconds kMaxTimeout{ 5000 };
  Call call;
  call.mServer = aEntry;
  call.mTls = aArguments.mTls;
  call.mMethod = std::move(aMethod);
  call.mTarget = std::move(aTarget);
  call.mTimeout = std::min(kMaxTimeout, aArguments.mTimeout);
  return call;
}

Result<EntryStatus> GetStatus(const Arguments& aArguments, const settings::Endpoint& aEntry)
{
  BOOST_LEAF_AUTO(body, Send(MakeEntryCall(aArguments, aEntry, "GET", "/v1/status")));
  boost::json::error_code ec;
  EntryStatus status;
  status.mDocument = boost::json::parse(body, ec);
  const auto* object = ec ? nullptr : status.mDocument.if_object();
  const auto* ready = object ? object->if_contains("ready") : nullptr;
  const auto* version = object ? object->if_contains("configuration_version") : nullptr;
  if (!ready || !ready->is_bool() || !version || !version->is_number()) {
    return boost::leaf::new_error(
      Error{ ErrorCode::Internal,
             Verdict::NotRun,
             settings::ToString(aEntry) + ": the status has no 'ready' and 'configuration_version'",
             {} });
  }
  status.mReady = ready->get_bool();
  status.mVersion = version->to_number<std::uint64_t>(ec);
  status.mIncarnation = GetString(*object, "incarnation");
  status.mPeers = ParsePeers(*object);
  return status;
}

Result<std::string> GetSnapshot(const Arguments& aArguments, const settings::Endpoint& aEntry)
{
  return Send(MakeEntryCall(aArguments, aEntry, "GET", "/v1/configuration"));
}

} // namespace pollenwall::tool
