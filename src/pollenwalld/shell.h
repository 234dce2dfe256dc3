#pragma once

#include <boost/asio/io_context.hpp>

#include <pollenwall/kernel.h>
#include <pollenwall/metrics.h>
#include <pollenwall/node.h>
#include <pollenwall/settings.h>

namespace pollenwall::daemon {

/// What all services of the process share. Lives in main for the whole run.
struct Shell
{
  explicit Shell(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  boost::asio::io_context& mContext;
  metrics::Registry mMetrics;
  settings::Settings mSettings;
  kernel::Kernel mKernel;
};

/// Both clocks, for an event that happens now.
Now ReadClocks();

/// Adds this to the time of day that ReadClocks returns from now on, for trials of clocks that
/// differ.
void SetClockOffset(std::chrono::milliseconds aOffset);

} // namespace pollenwall::daemon
