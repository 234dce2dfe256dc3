#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <pollenwall/entry.h>
#include <pollenwall/net/fiber.h>

#include "shell.h"

/// The service `entry`: passes events one at a time to the core of an entry that uses fencing
/// tokens, and the core's actions to the services that carry them out.
namespace pollenwall::daemon {

/// Set by the services when they start. Actions without a handler are dropped. Handlers must not
/// suspend the fiber.
struct EntryActionHandlers
{
  std::function<void(entry::AnswerCaller&)> mAnswerCaller;
  std::function<void(entry::AnswerLookup&)> mAnswerLookup;
  std::function<void(entry::ReadCancels&)> mReadCancels;
  std::function<void(entry::AppendCancels&)> mAppendCancels;
  std::function<void(entry::StartRun&)> mStartRun;
  std::function<void(entry::StopRun&)> mStopRun;
  std::function<void(entry::PollUpstream&)> mPollUpstream;
  std::function<void(entry::SendPeer&)> mSendPeer;
  std::function<void(entry::ConnectPeer&)> mConnectPeer;
  std::function<void(entry::DisconnectPeer&)> mDisconnectPeer;
  std::function<void(entry::FollowUpstreams&)> mFollowUpstreams;
  std::function<void()> mAfterTick; ///< Called after each tick is queued.
  /// Ends the calls whose connections have ended, also if the end has not been read, and returns
  /// them; returns nothing if that is not possible now.
  std::function<std::optional<std::vector<dispatch::RequestId>>()> mFindGoneCallers;
};

struct EntryLoop
{
  EntryLoop(DaemonContext& aDaemon, const entry::Options& aOptions);

  DaemonContext& mDaemon;
  Incarnation mIncarnation; ///< Of this process.
  std::unique_ptr<entry::State, void (*)(entry::State*)> mState;
  EntryActionHandlers mHandlers;
  std::vector<entry::Event> mEvents; ///< Pending, in order.
  net::Wakeup mWakeup;
  boost::asio::steady_timer mTickTimer;
  bool mStopping = false;      ///< A drain has begun, or the core has failed.
  bool mFailed = false;        ///< The core or a handler of an action has thrown; see RunCore.
  net::OneShot<bool> mStopped; ///< True when the core has reported Stopped, false when it
                               ///< has failed.
  dispatch::RequestId mLastRequestId = 0;
  std::optional<Time> mCallersCheckedAt; ///< When entry::CallersChecked was sent last.
};

/// Looks for callers that are gone; see entry::CallersChecked.
void BeforeEvent(EntryLoop& aLoop,
                 const entry::Event& aEvent,
                 const Now& aNow,
                 entry::Actions& aActions);

/// Queues an event, which is handled once the calling fiber has suspended.
void Post(EntryLoop& aLoop, entry::Event aEvent);

/// Begins a graceful stop. Later calls have no effect.
void BeginDrain(EntryLoop& aLoop);

void RegisterEntryLoop(DaemonContext& aDaemon, const entry::Options& aOptions);

} // namespace pollenwall::daemon
