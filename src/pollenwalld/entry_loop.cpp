#include "entry_loop.h"

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// The core expects a tick every 10 to 50 ms.
constexpr std::chrono::milliseconds kTickInterval{ 25 };

struct Carrier
{
  EntryLoop& mLoop;

  void operator()(entry::AnswerCaller& aAction) { Carry(mLoop.mTable.mAnswerCaller, aAction); }
  void operator()(entry::StartRun& aAction) { Carry(mLoop.mTable.mStartRun, aAction); }
  void operator()(entry::StopRun& aAction) { Carry(mLoop.mTable.mStopRun, aAction); }
  void operator()(entry::Look& aAction) { Carry(mLoop.mTable.mLook, aAction); }
  void operator()(entry::SendPeer& aAction) { Carry(mLoop.mTable.mSendPeer, aAction); }
  void operator()(entry::ConnectPeer& aAction) { Carry(mLoop.mTable.mConnectPeer, aAction); }
  void operator()(entry::Measured& aAction)
  {
    metrics::Observe(
      mLoop.mShell.mMetrics, aAction.mSeries, std::chrono::duration<double>(aAction.mTime).count());
  }
  void operator()(entry::Stopped&) { mLoop.mStopped.Set(true); }

  void operator()(entry::Report& aAction) { WriteReport(aAction); }
};

void Tick(EntryLoop& aLoop)
{
  aLoop.mTick.expires_after(kTickInterval);
  aLoop.mTick.async_wait([&aLoop](const boost::system::error_code& aEc) {
    if (!aEc) {
      const auto lag = std::chrono::steady_clock::now() - aLoop.mTick.expiry();
      metrics::Observe(
        aLoop.mShell.mMetrics, "loop_lag_seconds", std::chrono::duration<double>(lag).count());
      Post(aLoop, entry::Tick{});
      if (aLoop.mTable.mTicked) {
        aLoop.mTable.mTicked();
      }
      Tick(aLoop);
    }
  });
}

} // namespace

EntryLoop::EntryLoop(Shell& aShell, const entry::Options& aOptions)
  : mShell(aShell)
  , mState(entry::MakeState(aOptions, ReadClocks()))
  , mTick(aShell.mContext)
{
}

void Post(EntryLoop& aLoop, entry::Event aEvent)
{
  QueueEvent(aLoop, std::move(aEvent));
}

void BeginDrain(EntryLoop& aLoop)
{
  if (!aLoop.mStopping) {
    aLoop.mStopping = true;
    Post(aLoop, entry::Drain{});
  }
}

void RegisterEntryLoop(Shell& aShell, const entry::Options& aOptions)
{
  auto loop = std::make_shared<EntryLoop>(aShell, aOptions);
  kernel::Register(aShell.mKernel,
                   { "entry",
                     {},
                     [loop]() -> Result<void> {
                       net::Spawn([loop] { RunCore<entry::Actions, Carrier>(*loop); },
                                  net::kLargeStackBytes);
                       Tick(*loop);
                       return {};
                     },
                     [loop] { loop->mTick.cancel(); },
                     loop.get() });
}

} // namespace pollenwall::daemon
