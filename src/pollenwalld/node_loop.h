#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <pollenwall/net/fiber.h>

#include "shell.h"

/// The service `node`: feeds events to the node's core, one at a time, and hands its actions to the
/// services that carry them out.
namespace pollenwall::daemon {

/// Set by each service when it starts. An action without a function is dropped. The functions must
/// not suspend.
struct ActionTable
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
  NodeLoop(Shell& aShell, const node::Options& aOptions);

  Shell& mShell;
  std::unique_ptr<node::State, void (*)(node::State*)> mState;
  ActionTable mTable;
  std::vector<node::Event> mEvents; ///< Not yet handled, in order.
  net::Wakeup mWakeup;
  boost::asio::steady_timer mTick;
  bool mStopping = false;      ///< A drain has begun.
  net::OneShot<bool> mStopped; ///< Whether the node has reported Stopped; false past the limit.
  std::chrono::milliseconds mDrainLimit;
  boost::asio::steady_timer mDrainTimer;
  dispatch::RequestId mLastRequest = 0;
};

/// Queues an event; it is handled after the caller's fiber has suspended.
void Post(NodeLoop& aLoop, node::Event aEvent);

/// Begins a planned stop. Later calls do nothing. The node reports Stopped within its drain limit;
/// if it does not, mStopped becomes false some seconds later.
void BeginDrain(NodeLoop& aLoop);

void RegisterNodeLoop(Shell& aShell, const node::Options& aOptions);

} // namespace pollenwall::daemon
