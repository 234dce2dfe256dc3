#include "node_loop.h"

#include <ctime>

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// The core expects a tick every 10 to 50 ms.
constexpr std::chrono::milliseconds kTickInterval{ 20 };
/// The core keeps the drain limit itself; this only bounds the stop when it does not.
constexpr std::chrono::milliseconds kDrainMargin{ 5000 };

struct Carrier
{
  NodeLoop& mLoop;

  void operator()(node::AnswerCaller& aAction) { Carry(mLoop.mTable.mAnswerCaller, aAction); }
  void operator()(dispatch::StartTask& aAction) { Carry(mLoop.mTable.mStartTask, aAction); }
  void operator()(dispatch::StopTask& aAction) { Carry(mLoop.mTable.mStopTask, aAction); }
  void operator()(node::QuerySlots& aAction) { Carry(mLoop.mTable.mQuerySlots, aAction); }
  void operator()(node::Connect& aAction) { Carry(mLoop.mTable.mConnect, aAction); }
  void operator()(node::Disconnect& aAction) { Carry(mLoop.mTable.mDisconnect, aAction); }
  void operator()(node::SendPeer& aAction) { Carry(mLoop.mTable.mSendPeer, aAction); }
  void operator()(node::ReadLog& aAction) { Carry(mLoop.mTable.mReadLog, aAction); }
  void operator()(node::AppendLog& aAction) { Carry(mLoop.mTable.mAppendLog, aAction); }
  void operator()(node::Stopped&) { mLoop.mStopped.Set(true); }

  void operator()(node::Report& aAction) { WriteReport(aAction); }
};

void Tick(NodeLoop& aLoop)
{
  aLoop.mTick.expires_after(kTickInterval);
  aLoop.mTick.async_wait([&aLoop](const boost::system::error_code& aEc) {
    if (!aEc) {
      Post(aLoop, node::Tick{});
      Tick(aLoop);
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
  // Unlike the steady clock, this one goes on while the machine is suspended: a lease does, too.
  timespec boot{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto time = std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return { Time(duration_cast<Duration>(time)),
           duration_cast<std::chrono::milliseconds>(wall + ClockOffset()).count() };
}

NodeLoop::NodeLoop(Shell& aShell, const node::Options& aOptions)
  : mShell(aShell)
  , mState(node::MakeState(aOptions, ReadClocks()))
  , mTick(aShell.mContext)
  , mDrainLimit(aOptions.mDrainLimit)
  , mDrainTimer(aShell.mContext)
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

void RegisterNodeLoop(Shell& aShell, const node::Options& aOptions)
{
  auto loop = std::make_shared<NodeLoop>(aShell, aOptions);
  kernel::Register(aShell.mKernel,
                   { "node",
                     {},
                     [loop]() -> Result<void> {
                       net::Spawn([loop] { RunCore<node::Actions, Carrier>(*loop); },
                                  net::kLargeStackBytes);
                       Tick(*loop);
                       return {};
                     },
                     [loop] { loop->mTick.cancel(); },
                     loop.get() });
}

} // namespace pollenwall::daemon
