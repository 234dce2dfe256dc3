#pragma once

#include <pollenwall/net/http_server.h>

#include "shell.h"

/// Bounds on what other processes can make this one hold.
namespace pollenwall::daemon {

/// Derives the bounds from the settings and the descriptor limit of the process.
void SetResourceLimits(DaemonContext& aDaemon);

/// Makes the allocator return large blocks to the system when they are freed. Must be called before
/// other threads start.
void ReturnLargeBlocks();

/// Sets the limits of memory of the decision core from the memory of the machine.
void SetMemoryLimits(dispatch::Options& aOptions, std::size_t aMemoryMb);
void SetMemoryLimits(node::Options& aOptions, std::size_t aMemoryMb);

/// Options of an HTTP server with the timeouts, the limit of trailers and the budget of the
/// process.
net::HttpServerOptions MakeHttpOptions(const DaemonContext& aDaemon,
                                       std::string aName,
                                       const settings::Endpoint& aListen);

} // namespace pollenwall::daemon
