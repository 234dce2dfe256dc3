#include "node_loop.h"

#include <pollenwall/net/boot_clock.h>

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// The core expects a tick every 10 to 50 ms.
constexpr std::chrono::milliseconds kTickInterval{ 20 };
/// The core enforces the drain limit; this bounds the stop in case it fails to.
constexpr std::chrono::milliseconds kDrainMargin{ 5000 };

struct ActionVisitor
{
  NodeLoop& mLoop;

  void operator()(node::AnswerCaller& aAction)
  {
    CallHandler(mLoop.mHandlers.mAnswerCaller, aAction);
  }
  void operator()(dispatch::StartTask& aAction)
  {
    CallHandler(mLoop.mHandlers.mStartTask, aAction);
  }
  void operator()(dispatch::StopTask& aAction) { CallHandler(mLoop.mHandlers.mStopTask, aAction); }
  void operator()(node::QuerySlots& aAction) { CallHandler(mLoop.mHandlers.mQuerySlots, aAction); }
  void operator()(node::Connect& aAction) { CallHandler(mLoop.mHandlers.mConnect, aAction); }
  void operator()(node::Disconnect& aAction) { CallHandler(mLoop.mHandlers.mDisconnect, aAction); }
  void operator()(node::SendPeer& aAction) { CallHandler(mLoop.mHandlers.mSendPeer, aAction); }
  void operator()(node::ReadLog& aAction) { CallHandler(mLoop.mHandlers.mReadLog, aAction); }
  void operator()(node::AppendLog& aAction) { CallHandler(mLoop.mHandlers.mAppendLog, aAction); }
  void operator()(node::Stopped&) { mLoop.mStopped.Set(true); }

  void operator()(node::Report& aAction) { WriteReport(aAction); }
};

void ScheduleTick(NodeLoop& aLoop)
{
  aLoop.mTickTimer.expires_after(kTickInterval);
  aLoop.mTickTimer.async_wait([&aLoop](const boost::system::error_code& aEc) {
    if (!aEc) {
      // First, so that an exception in Post does not end the ticks.
      ScheduleTick(aLoop);
      Post(aLoop, node::Tick{});
    }
  });
}

std::chrono::milliseconds& ClockOffset()
{
  static std::chrono::milliseconds offset{ 0 };
  return offset;
}

} // namespace

void SetClockOffset(std::chrono::milliseconds aOffset)
{
  ClockOffset() = aOffset;
}

Now ReadClocks()
{
  using std::chrono::duration_cast;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return { net::ReadBootClock(),
           duration_cast<std::chrono::milliseconds>(wall + ClockOffset()).count() };
}

NodeLoop::NodeLoop(DaemonContext& aDaemon, const node::Options& aOptions)
  : mDaemon(aDaemon)
  , mState(node::MakeState(aOptions, ReadClocks()))
  , mTickTimer(aDaemon.mContext)
  , mDrainLimit(aOptions.mDrainLimit)
  , mDrainTimer(aDaemon.mContext)
{
}

void Post(NodeLoop& aLoop, node::Event aEvent)
{
  QueueEvent(aLoop, std::move(aEvent));
}

void BeginDrain(NodeLoop& aLoop)
{
  if (!aLoop.mStopping) {
    aLoop.mStopping = true;
    Post(aLoop, node::Drain{});
    aLoop.mDrainTimer.expires_after(aLoop.mDrainLimit + kDrainMargin);
    aLoop.mDrainTimer.async_wait([&aLoop](const boost::system::error_code& aEc) {
      if (!aEc) {
        aLoop.mStopped.Set(false);
      }
    });
  }
}

void RegisterNodeLoop(DaemonContext& aDaemon, const node::Options& aOptions)
{
  auto loop = std::make_shared<NodeLoop>(aDaemon, aOptions);
  kernel::Register(aDaemon.mKernel,
                   { "node",
                     {},
                     [loop]() -> Result<void> {
                       net::Spawn([loop] { RunCore<node::Actions, ActionVisitor>(*loop); },
                                  net::kLargeStackBytes);
                       ScheduleTick(*loop);
                       return {};
                     },
                     [loop] { loop->mTickTimer.cancel(); },
                     loop.get() });
}

} // namespace pollenwall::daemon
