#include "core_loop.h"

#include <algorithm>
#include <stdexcept>

#include "daemon_test.h"
#include "entry_loop.h"

namespace pollenwall::test {
namespace {

using namespace daemon;

/// A core that throws at the event -1, after it has requested an action.
struct FakeCore
{
  int mHandled = 0;
};

using FakeEvent = std::variant<int>;
using FakeActions = std::vector<std::variant<int>>;

void Handle(FakeCore& aCore, const FakeEvent& aEvent, const Now& /*aNow*/, FakeActions& aActions)
{
  ++aCore.mHandled;
  aActions.push_back(std::get<int>(aEvent));
  if (std::get<int>(aEvent) < 0) {
    throw std::runtime_error("an invalid event");
  }
}

struct FakeLoop
{
  DaemonContext& mDaemon;
  std::unique_ptr<FakeCore> mState = std::make_unique<FakeCore>();
  std::vector<FakeEvent> mEvents;
  net::Wakeup mWakeup;
  bool mStopping = false;
  bool mFailed = false;
  net::OneShot<bool> mStopped;
  std::vector<int> mDone; ///< Actions that were carried out.
};

struct FakeVisitor
{
  FakeLoop& mLoop;

  void operator()(int aAction)
  {
    constexpr int kInvalid = 100;
    if (aAction == kInvalid) {
      throw std::runtime_error("an action that cannot be carried out");
    }
    mLoop.mDone.push_back(aAction);
  }
};

/// Guards against a core that goes on after an exception, from a state that may start a task twice,
/// and against one that is never called again while the process lives and seems ready.
bool FailedCoreStopsTheProcess(boost::asio::io_context& aContext)
{
  auto& daemonContext = *new DaemonContext(aContext); // Fibers that outlive the test use it.
  FakeLoop loop{ daemonContext };
  for (const int event : { 1, -1, 2 }) {
    QueueEvent(loop, FakeEvent(event));
  }
  RunCore<FakeActions, FakeVisitor>(loop);
  const auto failures =
    metrics::CounterValue(daemonContext.mMetrics, "failures_total{event=\"core_failed\"}");
  return Expect(loop.mStopped.mValue == false && loop.mStopping, "the process has to stop") &&
         Expect(loop.mDone == std::vector<int>{ 1 }, "only actions of earlier events") &&
         Expect(loop.mState->mHandled == 2, "no later event is handled") &&
         Expect(failures == 1, "the failure is counted");
}

/// Guards against a core that waits for ever for the outcome of an action that was not carried out,
/// and against answers that are lost because an earlier action failed.
bool FailedActionStopsTheProcess(boost::asio::io_context& aContext)
{
  auto& daemonContext = *new DaemonContext(aContext);
  FakeLoop loop{ daemonContext };
  for (const int event : { 1, 100, 2 }) {
    QueueEvent(loop, FakeEvent(event));
  }
  RunCore<FakeActions, FakeVisitor>(loop);
  return Expect(loop.mStopped.mValue == false, "the process has to stop") &&
         Expect(loop.mDone == std::vector<int>{ 1, 2 }, "the other actions are carried out");
}

/// Guards against an entry whose loop has ended and that stays ready, with callers that wait.
bool EntryStopsAfterAFailure(boost::asio::io_context& aContext)
{
  auto& daemonContext = *new DaemonContext(aContext);
  entry::Options options;
  options.mDataCentre = "north";
  RegisterEntryLoop(daemonContext, options);
  auto& loop = *kernel::Find<EntryLoop>(daemonContext.mKernel, "entry");
  loop.mHandlers.mAnswerCaller = [](entry::AnswerCaller&) {
    throw std::runtime_error("an answer that cannot be sent");
  };
  const bool started = boost::leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(kernel::Start(daemonContext.mKernel));
      return true;
    },
    [] { return false; });
  Post(loop,
       entry::CallerSubmit{ 1, JobSpec{}, "" }); // Refused at once: there is no configuration.
  for (int n = 0; n < 100 && !loop.mStopped.mValue; ++n) {
    net::SleepFor(aContext, std::chrono::milliseconds(10));
  }
  const bool failed = loop.mStopped.mValue == false && loop.mStopping;
  kernel::Stop(daemonContext.mKernel);
  return Expect(started && failed, "the entry has to stop and is not ready");
}

/// Guards against a job that is accepted although its caller left before the core handled the
/// submission, and against a loop that does not look for such callers, or goes on as if it had when
/// that was not possible.
bool CallersAreCheckedBeforeEvents(boost::asio::io_context& aContext)
{
  auto& daemonContext = *new DaemonContext(aContext);
  entry::Options options;
  options.mDataCentre = "north";
  EntryLoop loop(daemonContext, options);
  bool isPossible = false;
  loop.mHandlers.mFindGoneCallers = [&isPossible] {
    return isPossible ? std::optional(std::vector<dispatch::RequestId>{ 1 }) : std::nullopt;
  };
  const auto handle = [&loop](const entry::Event& aEvent) {
    entry::Actions actions;
    const auto now = ReadClocks();
    BeforeEvent(loop, aEvent, now, actions);
    Handle(*loop.mState, aEvent, now, actions);
    return std::any_of(actions.begin(), actions.end(), [](const auto& aAction) {
      return std::holds_alternative<entry::AnswerCaller>(aAction);
    });
  };
  handle(entry::Tick{});
  bool passed = Expect(!loop.mCallersCheckedAt, "a check that failed does not count");
  isPossible = true;
  passed &= Expect(!handle(entry::CallerSubmit{ 1, JobSpec{}, "" }), "caller 1 is gone");
  passed &= Expect(loop.mCallersCheckedAt.has_value(), "the callers are checked");
  return Expect(handle(entry::CallerSubmit{ 2, JobSpec{}, "" }), "caller 2 is answered") && passed;
}

} // namespace

bool CoreLoopTests(boost::asio::io_context& aContext)
{
  bool passed = FailedCoreStopsTheProcess(aContext);
  passed &= FailedActionStopsTheProcess(aContext);
  passed &= EntryStopsAfterAFailure(aContext);
  passed &= CallersAreCheckedBeforeEvents(aContext);
  return passed;
}

} // namespace pollenwall::test
