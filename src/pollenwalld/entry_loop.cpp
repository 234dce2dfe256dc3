#include "entry_loop.h"

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// The core expects a tick every 10 to 50 ms.
constexpr std::chrono::milliseconds kTickInterval{ 25 };

struct ActionVisitor
{
  EntryLoop& mLoop;

  void operator()(entry::AnswerCaller& aAction)
  {
    CallHandler(mLoop.mHandlers.mAnswerCaller, aAction);
  }
  void operator()(entry::AnswerLookup& aAction)
  {
    CallHandler(mLoop.mHandlers.mAnswerLookup, aAction);
  }
  void operator()(entry::ReadCancels& aAction)
  {
    CallHandler(mLoop.mHandlers.mReadCancels, aAction);
  }
  void operator()(entry::AppendCancels& aAction)
  {
    CallHandler(mLoop.mHandlers.mAppendCancels, aAction);
  }
  void operator()(entry::StartRun& aAction) { CallHandler(mLoop.mHandlers.mStartRun, aAction); }
  void operator()(entry::StopRun& aAction) { CallHandler(mLoop.mHandlers.mStopRun, aAction); }
  void operator()(entry::PollUpstream& aAction)
  {
    CallHandler(mLoop.mHandlers.mPollUpstream, aAction);
  }
  void operator()(entry::SendPeer& aAction) { CallHandler(mLoop.mHandlers.mSendPeer, aAction); }
  void operator()(entry::ConnectPeer& aAction)
  {
    CallHandler(mLoop.mHandlers.mConnectPeer, aAction);
  }
  void operator()(entry::DisconnectPeer& aAction)
  {
    CallHandler(mLoop.mHandlers.mDisconnectPeer, aAction);
  }
  void operator()(entry::FollowUpstreams& aAction)
  {
    CallHandler(mLoop.mHandlers.mFollowUpstreams, aAction);
  }
  void operator()(entry::Measured& aAction)
  {
    metrics::Observe(mLoop.mDaemon.mMetrics,
                     aAction.mSeries,
                     std::chrono::duration<double>(aAction.mTime).count());
  }
  void operator()(entry::Stopped&) { mLoop.mStopped.Set(true); }

  void operator()(entry::Report& aAction) { WriteReport(aAction); }
};

void ScheduleTick(EntryLoop& aLoop)
{
  aLoop.mTickTimer.expires_after(kTickInterval);
  aLoop.mTickTimer.async_wait([&aLoop](const boost::system::error_code& aEc) {
    if (!aEc) {
      const auto lag = std::chrono::steady_clock::now() - aLoop.mTickTimer.expiry();
      // First, so that an exception below does not end the ticks, without which no timeout expires.
      ScheduleTick(aLoop);
      metrics::Observe(
        aLoop.mDaemon.mMetrics, "loop_lag_seconds", std::chrono::duration<double>(lag).count());
      Post(aLoop, entry::Tick{});
      if (aLoop.mHandlers.mAfterTick) {
        aLoop.mHandlers.mAfterTick();
      }
    }
  });
}

} // namespace

void BeforeEvent(EntryLoop& aLoop,
                 const entry::Event& aEvent,
                 const Now& aNow,
                 entry::Actions& aActions)
{
  if (aLoop.mCallersCheckedAt) {
    const auto passed = aNow.mTime - *aLoop.mCallersCheckedAt;
    if (passed < Duration(entry::kCallerCheckInterval) && !entry::NeedsCallerCheck(aEvent)) {
      return;
    }
    metrics::Observe(aLoop.mDaemon.mMetrics,
                     "caller_check_interval_seconds",
                     std::chrono::duration<double>(passed).count());
  }
  if (aLoop.mHandlers.mFindGoneCallers) {
    const auto gone = aLoop.mHandlers.mFindGoneCallers();
    if (!gone) {
      return; // Tried again before the next event; what was known of the callers grows old.
    }
    for (const auto request : *gone) {
      Handle(*aLoop.mState, entry::CallerDisconnected{ request }, aNow, aActions);
    }
  }
  aLoop.mCallersCheckedAt = aNow.mTime;
  Handle(*aLoop.mState, entry::CallersChecked{}, aNow, aActions);
}

EntryLoop::EntryLoop(DaemonContext& aDaemon, const entry::Options& aOptions)
  : mDaemon(aDaemon)
  , mIncarnation(aOptions.mIncarnation)
  , mState(entry::MakeState(aOptions, ReadClocks()))
  , mTickTimer(aDaemon.mContext)
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

void RegisterEntryLoop(DaemonContext& aDaemon, const entry::Options& aOptions)
{
  auto loop = std::make_shared<EntryLoop>(aDaemon, aOptions);
  kernel::Register(aDaemon.mKernel,
                   { "entry",
                     {},
                     [loop]() -> Result<void> {
                       net::Spawn([loop] { RunCore<entry::Actions, ActionVisitor>(*loop); },
                                  net::kLargeStackBytes);
                       ScheduleTick(*loop);
                       return {};
                     },
                     [loop] { loop->mTickTimer.cancel(); },
                     loop.get() });
}

} // namespace pollenwall::daemon
