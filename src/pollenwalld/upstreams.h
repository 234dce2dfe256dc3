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
  Upstreams(Shell& aShell, NodeLoop& aLoop)
    : mShell(aShell)
    , mLoop(aLoop)
    , mSweep(aShell.mContext)
  {
  }

  Shell& mShell;
  NodeLoop& mLoop;
  UpstreamLimits mLimits;
  std::vector<std::shared_ptr<UpstreamPool>> mPools; ///< By upstream index.
  boost::asio::steady_timer mSweep;
};

void RegisterUpstreams(Shell& aShell);

/// Address, connection counts and number of waiting requests of each pool, as JSON for the dump.
std::string DescribeUpstreams(const Upstreams& aUpstreams);

} // namespace pollenwall::daemon
