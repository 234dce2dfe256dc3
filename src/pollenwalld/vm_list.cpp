#include "vm_list.h"

#include <random>

#include <pollenwall/net/http_client.h>

#include "log_protocol.h"
#include "node_loop.h"

namespace pollenwall::daemon {
namespace {

constexpr std::chrono::milliseconds kTimeout{ 2000 };
constexpr std::size_t kMaxListBytes = 32 * 1024 * 1024;

struct VmListPoller
{
  Shell& mShell;
  NodeLoop& mLoop;
  net::HttpClient mClient;
  std::mt19937_64 mRandom;
  bool mStopped = false;
};

/// About once a second, with jitter so that the entries do not ask all at once.
void Poll(VmListPoller& aPoller)
{
  while (!aPoller.mStopped) {
    const auto reply = net::Fetch(
      aPoller.mClient, boost::beast::http::verb::get, "/v1/vms", "", kTimeout, kMaxListBytes);
    node::VmList list;
    if (reply.mStatus == 200) {
      list = ParseVmList(reply.mBody);
    }
    if (!list.mOk) {
      metrics::Add(aPoller.mShell.mMetrics, "vm_list_failures_total");
    }
    Post(aPoller.mLoop, std::move(list));
    std::uniform_int_distribution<int> wait(800, 1200);
    net::SleepFor(aPoller.mShell.mContext, std::chrono::milliseconds(wait(aPoller.mRandom)));
  }
}

} // namespace

void RegisterVmList(Shell& aShell)
{
  auto& loop = *kernel::Find<NodeLoop>(aShell.mKernel, "node");
  const auto address = *net::ParseEndpoint(settings::ToString(aShell.mSettings.mVmList));
  auto poller =
    std::make_shared<VmListPoller>(VmListPoller{ aShell,
                                                 loop,
                                                 net::HttpClient(aShell.mContext, address),
                                                 std::mt19937_64(std::random_device()()) });
  kernel::Register(aShell.mKernel,
                   { "vm_list",
                     { "node" },
                     [poller]() -> Result<void> {
                       net::Spawn([poller] { Poll(*poller); });
                       return {};
                     },
                     [poller] { poller->mStopped = true; },
                     poller.get() });
}

} // namespace pollenwall::daemon
