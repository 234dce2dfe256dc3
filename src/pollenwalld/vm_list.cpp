#include "vm_list.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <pollenwall/net/http_client.h>

#include "log_protocol.h"
#include "node_loop.h"

namespace pollenwall::daemon {
namespace {

constexpr std::chrono::milliseconds kRequestTimeout{ 2000 };
constexpr std::size_t kMaxListBytes = 32 * 1024 * 1024;
/// Limit for reading the VM list, out of the 28 KB/s allowed for all control traffic. Heartbeats
/// need most of that at the design size.
constexpr double kMaxBytesPerSecond = 6000;

struct VmListPoller
{
  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  net::HttpClient mClient;
  std::mt19937_64 mRandom;
  bool mStopped = false;
};

/// Returns the time until the next request: about a second, with jitter so that the entries do not
/// all send requests at once, and longer for a long list, to stay within kMaxBytesPerSecond. A long
/// interval is acceptable because the list lags anyway, and refusals and closed connections
/// indicate earlier that an upstream is leaving.
std::chrono::milliseconds PollInterval(VmListPoller& aPoller, std::size_t aBytes)
{
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  const double seconds = std::max(1.0, static_cast<double>(aBytes) / kMaxBytesPerSecond);
  return std::chrono::milliseconds(std::llround(1000 * seconds * jitter(aPoller.mRandom)));
}

void Poll(VmListPoller& aPoller)
{
  while (!aPoller.mStopped) {
    const auto reply = net::Fetch(aPoller.mClient,
                                  boost::beast::http::verb::get,
                                  "/v1/vms",
                                  "",
                                  kRequestTimeout,
                                  kMaxListBytes);
    node::VmList list;
    if (reply.mStatus == 200) {
      list = ParseVmList(reply.mBody);
    }
    if (!list.mOk) {
      metrics::Add(aPoller.mDaemon.mMetrics, "vm_list_failures_total");
    }
    Post(aPoller.mLoop, std::move(list));
    net::SleepFor(aPoller.mDaemon.mContext, PollInterval(aPoller, reply.mBody.size()));
  }
}

} // namespace

void RegisterVmList(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  const auto address = *net::ParseEndpoint(settings::ToString(aDaemon.mSettings.mVmList));
  auto poller =
    std::make_shared<VmListPoller>(VmListPoller{ aDaemon,
                                                 loop,
                                                 net::HttpClient(aDaemon.mContext, address),
                                                 std::mt19937_64(std::random_device()()) });
  kernel::Register(aDaemon.mKernel,
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
