#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <pollenwall/net/fiber.h>

#include "shell.h"

/// The service `node`: passes events one at a time to the node's core, and the core's actions to
/// the services that carry them out.
namespace pollenwall::daemon {

/// Set by the services when they start. Actions without a handler are dropped. Handlers must not
/// suspend the fiber.
struct NodeActionHandlers
{
  std::function<void(node::AnswerCaller&)> mAnswerCaller;
  std::function<void(dispatch::StartTask&)> mStartTask;
  std::function<void(dispatch::StopTask&)> mStopTask;
  std::function<void(node::QuerySlots&)> mQuerySlots;
  std::function<void(node::Connect&)> mConnect;
  std::function<void(node::Disconnect&)> mDisconnect;
  std::function<void(node::SendPeer&)> mSendPeer;
  std::function<void(node::ReadLog&)> mReadLog;
  std::function<void(node::AppendLog&)> mAppendLog;
};

struct NodeLoop
{
  NodeLoop(DaemonContext& aDaemon, const node::Options& aOptions);

  DaemonContext& mDaemon;
  std::unique_ptr<node::State, void (*)(node::State*)> mState;
  NodeActionHandlers mHandlers;
  std::vector<node::Event> mEvents; ///< Pending, in order.
  net::Wakeup mWakeup;
  boost::asio::steady_timer mTickTimer;
  bool mStopping = false;      ///< A drain has begun, or the core has failed.
  bool mFailed = false;        ///< The core or a handler of an action has thrown; see RunCore.
  net::OneShot<bool> mStopped; ///< True when the core has reported Stopped, false past the limit
                               ///< or when the core has failed.
  std::chrono::milliseconds mDrainLimit;
  boost::asio::steady_timer mDrainTimer;
  dispatch::RequestId mLastRequestId = 0;
};

/// Queues an event, which is handled once the calling fiber has suspended.
void Post(NodeLoop& aLoop, node::Event aEvent);

/// Begins a graceful stop. Later calls have no effect. The core reports Stopped within its drain
/// limit; otherwise mStopped is set to false some seconds after the limit.
void BeginDrain(NodeLoop& aLoop);

void RegisterNodeLoop(DaemonContext& aDaemon, const node::Options& aOptions);

} // namespace pollenwall::daemon
