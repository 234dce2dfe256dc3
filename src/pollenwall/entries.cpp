#include "entries.h"

#include <iostream>

namespace pollenwall::tool {
namespace {

namespace json = boost::json;

std::string TextOf(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::vector<PeerStatus> PeersOf(const json::object& aStatus)
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
      peers.push_back({ TextOf(*peer, "name"),
                        TextOf(*peer, "incarnation"),
                        TextOf(*peer, "state") == "ready",
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

Call EntryCall(const Arguments& aArguments,
               const settings::Endpoint& aEntry,
               std::string aMethod,
               std::string aTarget)
{
  constexpr std::chrono::milliseconds kMost{ 5000 };
  Call call;
  call.mServer = aEntry;
  call.mTls = aArguments.mTls;
  call.mMethod = std::move(aMethod);
  call.mTarget = std::move(aTarget);
  call.mTimeout = std::min(kMost, aArguments.mTimeout);
  return call;
}

Result<EntryStatus> GetStatus(const Arguments& aArguments, const settings::Endpoint& aEntry)
{
  BOOST_LEAF_AUTO(body, Send(EntryCall(aArguments, aEntry, "GET", "/v1/status")));
  boost::json::error_code ec;
  EntryStatus status;
  status.mWhole = boost::json::parse(body, ec);
  const auto* object = ec ? nullptr : status.mWhole.if_object();
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
  status.mIncarnation = TextOf(*object, "incarnation");
  status.mPeers = PeersOf(*object);
  return status;
}

Result<std::string> GetSnapshot(const Arguments& aArguments, const settings::Endpoint& aEntry)
{
  return Send(EntryCall(aArguments, aEntry, "GET", "/v1/configuration"));
}

} // namespace pollenwall::tool
