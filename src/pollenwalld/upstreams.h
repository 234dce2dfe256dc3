#pragma once

#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "node_loop.h"
#include "upstream_pool.h"

/// The service `upstreams`: executes the actions StartTask, StopTask and QuerySlots.
namespace pollenwall::daemon {

struct Upstreams
{
  Upstreams(DaemonContext& aDaemon, NodeLoop& aLoop)
    : mDaemon(aDaemon)
    , mLoop(aLoop)
    , mSweep(aDaemon.mContext)
  {
  }

  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  UpstreamLimits mLimits;
  std::vector<std::shared_ptr<UpstreamPool>> mPools; ///< By upstream index.
  boost::asio::steady_timer mSweep;
};

void RegisterUpstreams(DaemonContext& aDaemon);

/// Address, connection counts and number of waiting requests of each pool, as JSON for the dump.
std::string DescribeUpstreams(const Upstreams& aUpstreams);

} // namespace pollenwall::daemon
