#pragma once

#include <map>
#include <string>
#include <string_view>

#include "state.h"

// Shared by the division of slots (slots.cpp) and the lending of credits (lending.cpp).

namespace pollenwall::node {

/// The service part of an upstream key "SERVICE/WORKER".
std::string_view ServiceOf(std::string_view aKey);

/// Recomputes the credits of an upstream, the number of its slots that this entry may use now, and
/// passes a change on to dispatch.
void UpdateCredits(State& aState,
                   const std::string& aKey,
                   UpstreamSlots& aSlots,
                   const Now& aNow,
                   Actions& aActions);

using Loads = std::map<std::string, dispatch::UpstreamLoad, std::less<>>;

/// The loads of all upstreams with credits or running tasks, by key.
Loads LoadsByKey(const State& aState);
std::uint32_t RunningTasksOn(const Loads& aLoads, std::string_view aKey);

/// Whether a peer runs more tasks on an upstream than its credits allow, according to its last
/// heartbeat.
bool IsOccupied(const membership::Peer& aPeer, std::string_view aKey);

/// Returns credits of ended loans on an upstream that no running task needs any more.
void ReturnFreedCreditsOn(State& aState, const std::string& aKey, Actions& aActions);

/// Ends expired loans, returns idle credits, and requests credits when tasks wait.
void TickLending(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::node
