#pragma once

#include <map>
#include <string>
#include <string_view>

#include "state.h"

// What the division of slots and their lending share.

namespace pollenwall::node {

/// The service of an upstream's key "SERVICE/WORKER".
std::string_view ServiceOf(std::string_view aKey);

/// Tells dispatch how many slots of an upstream this entry may use now, when that has changed.
void UpdateCredits(State& aState,
                   const std::string& aKey,
                   Slots& aSlots,
                   const Now& aNow,
                   Actions& aActions);

using Loads = std::map<std::string, dispatch::UpstreamLoad, std::less<>>;

/// Of all upstreams with credits or running tasks.
Loads LoadsByKey(const State& aState);
std::uint32_t RunningOf(const Loads& aLoads, std::string_view aKey);

/// Whether a peer runs more on an upstream than its credits allow, as its last heartbeat said.
bool IsOccupied(const membership::Peer& aPeer, std::string_view aKey);

/// Returns what has become free of ended loans on an upstream.
void ReturnEndedOn(State& aState, const std::string& aKey, Actions& aActions);

/// Ends expired loans, returns idle credits, and asks for credits when tasks wait.
void TickLending(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::node
