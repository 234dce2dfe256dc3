#pragma once

#include <boost/asio/io_context.hpp>

#include <pollenwall/kernel.h>
#include <pollenwall/metrics.h>
#include <pollenwall/net/buffer_budget.h>
#include <pollenwall/node.h>
#include <pollenwall/settings.h>

namespace pollenwall::daemon {

/// State shared by all services of the process. Exists for the whole run.
struct DaemonContext
{
  explicit DaemonContext(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  boost::asio::io_context& mContext;
  metrics::Registry mMetrics;
  settings::Settings mSettings;
  kernel::Kernel mKernel;
  net::ResourceLimits mLimits;
  std::shared_ptr<net::BufferBudget> mHttpBudget = std::make_shared<net::BufferBudget>();
  /// Apart from that of the HTTP servers, so that callers cannot close the connections of peers.
  std::shared_ptr<net::BufferBudget> mPeerBudget = std::make_shared<net::BufferBudget>();
};

/// Reads both clocks, for an event that happens now.
Now ReadClocks();

/// Sets an offset that ReadClocks adds to the time of day from now on, for tests with clock
/// differences between machines.
void SetClockOffset(std::chrono::milliseconds aOffset);

} // namespace pollenwall::daemon
