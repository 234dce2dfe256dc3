#pragma once

#include <memory>
#include <unordered_map>

#include <pollenwall/net/http_server.h>

#include "caller_json.h"
#include "node_loop.h"

/// The service `callers`: the HTTP API for callers.
namespace pollenwall::daemon {

struct Callers
{
  Callers(DaemonContext& aDaemon, NodeLoop& aLoop)
    : mDaemon(aDaemon)
    , mLoop(aLoop)
  {
  }

  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  CallerLimits mLimits;
  std::shared_ptr<net::HttpServer> mServer;
  /// Calls that wait for an AnswerCaller. The values point to the stacks of their fibers.
  std::unordered_map<dispatch::RequestId, net::OneShot<node::AnswerCaller>*> mWaiting;
};

/// Handles one request of a caller. Public for tests.
net::HttpResponse HandleCallerRequest(Callers& aCallers,
                                      net::HttpRequest& aRequest,
                                      net::HttpConnection& aConnection);

/// Starts the HTTP server and sets the handler for answers to callers.
Result<void> StartCallers(Callers& aCallers);

void RegisterCallers(DaemonContext& aDaemon);

} // namespace pollenwall::daemon
