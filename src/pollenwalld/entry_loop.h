#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <pollenwall/entry.h>
#include <pollenwall/net/fiber.h>

#include "shell.h"

/// The service `entry`: feeds events to the core of an entry that works with fencing tokens, one at
/// a time, and hands its actions to the services that carry them out.
namespace pollenwall::daemon {

/// Set by each service when it starts. An action without a function is dropped. The functions must
/// not suspend.
struct EntryActions
{
  std::function<void(entry::AnswerCaller&)> mAnswerCaller;
  std::function<void(entry::StartRun&)> mStartRun;
  std::function<void(entry::StopRun&)> mStopRun;
  std::function<void(entry::Look&)> mLook;
  std::function<void(entry::SendPeer&)> mSendPeer;
  std::function<void(entry::ConnectPeer&)> mConnectPeer;
  std::function<void()> mTicked; ///< After each tick.
};

struct EntryLoop
{
  EntryLoop(Shell& aShell, const entry::Options& aOptions);

  Shell& mShell;
  std::unique_ptr<entry::State, void (*)(entry::State*)> mState;
  EntryActions mTable;
  std::vector<entry::Event> mEvents; ///< Not yet handled, in order.
  net::Wakeup mWakeup;
  boost::asio::steady_timer mTick;
  bool mStopping = false;      ///< A drain has begun.
  net::OneShot<bool> mStopped; ///< Set when the core has reported Stopped.
  dispatch::RequestId mLastRequest = 0;
};

/// Queues an event; it is handled after the caller's fiber has suspended.
void Post(EntryLoop& aLoop, entry::Event aEvent);

/// Begins a planned stop. Later calls do nothing.
void BeginDrain(EntryLoop& aLoop);

void RegisterEntryLoop(Shell& aShell, const entry::Options& aOptions);

} // namespace pollenwall::daemon
