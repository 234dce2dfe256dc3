#pragma once

#include <exception>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <pollenwall/log.h>

#include "shell.h"

/// Common code of the services that run a core. A loop has the members mEvents, mWakeup and mState.
namespace pollenwall::daemon {

/// Calls the handler of an action; drops the action if it has no handler.
template<typename Action>
void CallHandler(const std::function<void(Action&)>& aHandler, Action& aAction)
{
  if (aHandler) {
    aHandler(aAction);
  }
}

/// Writes a report of the core as a log line.
template<typename Report>
void WriteReport(const Report& aReport)
{
  std::vector<log::Field> fields;
  for (const auto& [name, value] : aReport.mFields) {
    fields.emplace_back(name, value);
  }
  log::Write(aReport.mWarning ? log::Level::Warning : log::Level::Info, aReport.mEvent, fields);
}

/// Calls the function and returns true. If it throws, logs the exception, counts it as
/// `failures_total{event="..."}` and returns false. aSubject says what the function was working on,
/// for example a topic or an address; it is read after the function has ended.
template<typename Function>
bool RunLogged(DaemonContext& aDaemon,
               std::string_view aEvent,
               const std::string& aSubject,
               const Function& aFunction)
{
  try {
    aFunction();
    return true;
  } catch (const std::exception& error) {
    // Nothing here may suspend the fiber: an exception that is being handled belongs to the thread.
    try {
      metrics::Add(aDaemon.mMetrics, "failures_total{event=\"" + std::string(aEvent) + "\"}");
      log::LogError(aEvent, { { "subject", aSubject }, { "message", std::string(error.what()) } });
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): without memory for the line.
    }
    return false;
  }
}

/// Queues an event, which is handled once the calling fiber has suspended.
template<typename Loop, typename Event>
void QueueEvent(Loop& aLoop, Event aEvent)
{
  aLoop.mEvents.push_back(std::move(aEvent));
  aLoop.mWakeup.Set();
}

/// Called before each event is passed to the core. An overload for a loop may pass other events
/// first.
template<typename Loop, typename Event, typename Actions>
void BeforeEvent(Loop& /*aLoop*/, const Event& /*aEvent*/, const Now& /*aNow*/, Actions&)
{
}

/// Passes events to the core one at a time and the resulting actions to the visitor.
///
/// Returns when the core or a handler of an action has thrown; mStopped is then false, and the
/// process has to end. The core may have counted a start whose order was never sent, or the
/// reverse, and going on in that state could start a task twice. A process that ends keeps nothing:
/// its leases lapse, its callers submit again, and it starts again empty. The actions of earlier
/// events are carried out, those of the event that failed are not.
template<typename Actions, typename ActionVisitor, typename Loop>
void RunCore(Loop& aLoop)
{
  decltype(aLoop.mEvents) events;
  Actions actions;
  while (!aLoop.mFailed) {
    aLoop.mWakeup.Wait();
    events.swap(aLoop.mEvents);
    for (const auto& event : events) {
      const auto decided = static_cast<std::ptrdiff_t>(actions.size());
      const auto name = "event " + std::to_string(event.index());
      if (!RunLogged(aLoop.mDaemon, "core_failed", name, [&] {
            // Read before the check, so that no decision is later than what it has found.
            const auto now = ReadClocks();
            BeforeEvent(aLoop, event, now, actions);
            Handle(*aLoop.mState, event, now, actions);
          })) {
        aLoop.mFailed = true;
        actions.erase(actions.begin() + decided, actions.end());
        break;
      }
    }
    events.clear();
    for (auto& action : actions) {
      const auto name = "action " + std::to_string(action.index());
      aLoop.mFailed |= !RunLogged(
        aLoop.mDaemon, "action_failed", name, [&] { std::visit(ActionVisitor{ aLoop }, action); });
    }
    actions.clear();
  }
  aLoop.mStopping = true;
  aLoop.mStopped.Set(false);
}

/// Passes an answer to the fiber that waits for it. Does nothing if the caller has disconnected.
template<typename Waiting, typename Answer>
void WakeCaller(Waiting& aWaiting, Answer& aAnswer)
{
  const auto it = aWaiting.find(aAnswer.mRequest);
  if (it == aWaiting.end()) {
    return;
  }
  auto* waiting = it->second;
  aWaiting.erase(it);
  waiting->Set(std::move(aAnswer));
}

} // namespace pollenwall::daemon
