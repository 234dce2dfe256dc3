#pragma once

#include <chrono>
#include <memory>

#include <pollenwall/net/http_pool.h>

#include "upstream_pool.h"

/// One connection of an upstream pool. Internal to the pool.
namespace pollenwall::daemon {

enum class ConnectionState
{
  Connecting,
  Idle,
  Busy,
  Closed,
};

struct UpstreamConnection : std::enable_shared_from_this<UpstreamConnection>
{
  explicit UpstreamConnection(const std::shared_ptr<UpstreamPool>& aPool)
    : mPool(aPool)
    , mSocket(aPool->mContext)
  {
  }

  std::weak_ptr<UpstreamPool> mPool;
  net::Socket mSocket;
  std::string mAddress;
  ConnectionState mState = ConnectionState::Connecting;
  std::optional<UpstreamRequest> mRequest;
  std::string mHeader;
  bool mWritten = false;      ///< At least one byte of the request was passed to the kernel.
  bool mWritePending = false; ///< An asynchronous write is outstanding.
  std::chrono::steady_clock::time_point mSentAt;
  /// Sweep closes the connection after this time.
  std::chrono::steady_clock::time_point mCloseAt = std::chrono::steady_clock::time_point::max();
  boost::beast::flat_buffer mBuffer;
  std::optional<net::ResponseParser> mParser;
};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Opens a connection and writes the request as soon as it is connected.
void OpenConnection(const std::shared_ptr<UpstreamPool>& aPool, UpstreamRequest aRequest);

/// Writes the request to an idle connection. A start request past its mNotAfterMs ends as expired.
void BeginRequest(const ConnectionPtr& aConnection, UpstreamRequest aRequest);

/// Closes a connection and completes its request: MayHaveRun if any of it was written, else NotRun.
void CloseConnection(const ConnectionPtr& aConnection);

/// The outcome of a start request of which no byte was written.
TaskOutcome UnsentOutcome(ErrorCode aCode);

void Finish(const UpstreamRequest& aRequest, TaskOutcome aOutcome);

/// Completes a request from the event loop, never from within the caller.
void FinishLater(boost::asio::io_context& aContext, UpstreamRequest aRequest, TaskOutcome aOutcome);

/// Sends waiting requests while connections are available for them.
void SendWaitingRequests(const std::shared_ptr<UpstreamPool>& aPool);

} // namespace pollenwall::daemon
