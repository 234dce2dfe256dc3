#pragma once

#include <functional>
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

/// Queues an event, which is handled once the calling fiber has suspended.
template<typename Loop, typename Event>
void QueueEvent(Loop& aLoop, Event aEvent)
{
  aLoop.mEvents.push_back(std::move(aEvent));
  aLoop.mWakeup.Set();
}

/// Passes events to the core one at a time and the resulting actions to the visitor. Never returns.
template<typename Actions, typename ActionVisitor, typename Loop>
void RunCore(Loop& aLoop)
{
  decltype(aLoop.mEvents) events;
  Actions actions;
  for (;;) {
    aLoop.mWakeup.Wait();
    events.swap(aLoop.mEvents);
    for (const auto& event : events) {
      Handle(*aLoop.mState, event, ReadClocks(), actions);
    }
    events.clear();
    for (auto& action : actions) {
      std::visit(ActionVisitor{ aLoop }, action);
    }
    actions.clear();
  }
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
