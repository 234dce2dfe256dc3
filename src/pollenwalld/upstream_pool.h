#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <pollenwall/job.h>
#include <pollenwall/net/stream.h>

/// A pool of persistent connections to one upstream. This is the daemon's hottest path, so it uses
/// plain Asio callbacks: a fiber per connection would cost two context switches per request and a
/// stack for each of tens of thousands of connections.
namespace pollenwall::daemon {

enum class RequestKind
{
  Run,
  Stop,
  Slots,
};

/// A request to an upstream. mDone is called exactly once, never from within Send. For Stop and
/// Slots the outcome's result is the body of a 200 response.
struct UpstreamRequest
{
  RequestKind mKind = RequestKind::Run;
  TaskId mTask;
  UnixMs mNotAfterMs = 0; ///< Run: the upstream refuses the start after this time.
  std::shared_ptr<const std::string> mPayload;
  std::function<void(TaskOutcome)> mDone;
};

struct UpstreamLimits
{
  std::size_t mMaxConnections = 64; ///< Further requests wait for a connection.
  std::size_t mMaxResultBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mControlTimeout{ 2000 }; ///< For responses to Stop and Slots.
  std::chrono::milliseconds mStopTimeout{ 5000 };    ///< From a Stop to the task's own response.
  std::chrono::milliseconds mIdleTimeout{ 60000 };   ///< Idle connections are closed after this.
};

struct UpstreamConnection;

struct UpstreamPool : std::enable_shared_from_this<UpstreamPool>
{
  UpstreamPool(boost::asio::io_context& aContext, UpstreamLimits aLimits)
    : mContext(aContext)
    , mLimits(aLimits)
  {
  }

  boost::asio::io_context& mContext;
  UpstreamLimits mLimits;
  std::string mAddress; ///< "IP:PORT".
  std::list<std::shared_ptr<UpstreamConnection>> mConnections;
  std::vector<UpstreamConnection*> mIdle; ///< The most recently used is at the back.
  std::deque<UpstreamRequest> mWaiting;   ///< Requests that wait for a connection.
  std::uint64_t mOpenedConnections = 0;   ///< Total since the pool was created.
};

/// Sends a request over an idle connection, a new one, or the first one that becomes idle.
void Send(const std::shared_ptr<UpstreamPool>& aPool, UpstreamRequest aRequest);

/// Stops a task. A request that has not been written ends at once as not run. For one that has been
/// written, a Stop request is sent, and the task ends with the upstream's response to the start
/// request.
void StopTaskOn(const std::shared_ptr<UpstreamPool>& aPool, const TaskId& aTask);

/// Uses another address for new connections; connections to the old address close once idle.
void SetAddress(UpstreamPool& aPool, const std::string& aAddress);

/// Closes connections whose timeout has passed. To be called a few times a second.
void Sweep(UpstreamPool& aPool);

/// Closes all connections. Requests in progress end as MayHaveRun if any of them was written, else
/// as NotRun.
void CloseAll(UpstreamPool& aPool);

} // namespace pollenwall::daemon
