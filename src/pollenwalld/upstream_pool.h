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

/// The kept connections to one upstream. This is the hottest path of the daemon, so it uses plain
/// Asio callbacks: a fiber per connection would cost two context switches and a stack for each of
/// tens of thousands of connections.
namespace pollenwall::daemon {

enum class RequestKind
{
  Run,
  Stop,
  Slots,
};

/// One request on its way to an upstream. The function is called exactly once, never from within
/// Send. For Stop and Slots the outcome's result is the body of a 200.
struct UpstreamRequest
{
  RequestKind mKind = RequestKind::Run;
  TaskId mTask;
  UnixMs mNotAfterMs = 0;
  std::shared_ptr<const std::string> mPayload;
  std::function<void(TaskOutcome)> mDone;
};

struct UpstreamLimits
{
  std::size_t mMaxConnections = 64; ///< Requests beyond wait for a connection.
  std::size_t mMaxResultBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mControlTimeout{ 2000 }; ///< For answers to Stop and Slots.
  std::chrono::milliseconds mStopTimeout{ 5000 };    ///< From a Stop to the task's own answer.
  std::chrono::milliseconds mIdleTimeout{ 60000 };   ///< An idle connection is closed after this.
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
  std::vector<UpstreamConnection*> mIdle; ///< The one used last is at the back.
  std::deque<UpstreamRequest> mWaiting;   ///< For a connection.
  std::uint64_t mOpened = 0;              ///< Connections opened so far.
};

/// Sends a request over an idle connection, a new one, or the first that becomes free.
void Send(const std::shared_ptr<UpstreamPool>& aPool, UpstreamRequest aRequest);

/// Stops a task. One that has not been written ends at once, not run; for one that has been
/// written, the upstream is told, and the task ends with the upstream's answer.
void StopTaskOn(const std::shared_ptr<UpstreamPool>& aPool, const TaskId& aTask);

/// Uses another address for new connections; connections to the old one close once idle.
void SetAddress(UpstreamPool& aPool, const std::string& aAddress);

/// Applies the timeouts. Due a few times a second.
void Sweep(UpstreamPool& aPool);

/// Closes everything; requests on their way end with what is true of them.
void CloseAll(UpstreamPool& aPool);

} // namespace pollenwall::daemon
