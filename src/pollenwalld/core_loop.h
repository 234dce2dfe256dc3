#pragma once

#include <functional>
#include <variant>
#include <vector>

#include <pollenwall/log.h>

#include "shell.h"

/// What the services that run a core have in common. A loop has mEvents, mWakeup and mState.
namespace pollenwall::daemon {

/// Hands an action to its function; without one it is dropped.
template<typename Action>
void Carry(const std::function<void(Action&)>& aFunction, Action& aAction)
{
  if (aFunction) {
    aFunction(aAction);
  }
}

/// Writes a core's report as a log line.
template<typename Report>
void WriteReport(const Report& aReport)
{
  std::vector<log::Field> fields;
  for (const auto& [name, value] : aReport.mFields) {
    fields.emplace_back(name, value);
  }
  log::Write(aReport.mWarning ? log::Level::Warning : log::Level::Info, aReport.mEvent, fields);
}

/// Queues an event; it is handled after the caller's fiber has suspended.
template<typename Loop, typename Event>
void QueueEvent(Loop& aLoop, Event aEvent)
{
  aLoop.mEvents.push_back(std::move(aEvent));
  aLoop.mWakeup.Set();
}

/// Feeds events to the core one at a time and its actions to the carrier, for ever.
template<typename Actions, typename Carrier, typename Loop>
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
      std::visit(Carrier{ aLoop }, action);
    }
    actions.clear();
  }
}

/// Hands an answer to the fiber that waits for it. Nothing when the caller is gone.
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
