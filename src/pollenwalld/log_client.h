#pragma once

#include <map>
#include <memory>
#include <string>

#include <pollenwall/net/http_client.h>

#include "node_loop.h"

/// The service `log`: client of the log service; carries out ReadLog and AppendLog.
namespace pollenwall::daemon {

struct LogStream
{
  std::unique_ptr<net::HttpClient> mReader;
  std::unique_ptr<net::HttpClient> mAppender;
  bool mReading = false;
  std::vector<node::AppendLog> mAppends; ///< Not yet sent; appends are sent one at a time.
  bool mAppending = false;
};

struct LogClient
{
  LogClient(DaemonContext& aDaemon, NodeLoop& aLoop)
    : mDaemon(aDaemon)
    , mLoop(aLoop)
  {
  }

  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  std::map<std::string, LogStream, std::less<>> mStreams;
};

void RegisterLogClient(DaemonContext& aDaemon);

} // namespace pollenwall::daemon
