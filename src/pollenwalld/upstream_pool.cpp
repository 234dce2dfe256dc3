#include "upstream_pool.h"

#include <algorithm>

#include <pollenwall/net/http_client.h>

#include "upstream_connection.h"

namespace pollenwall::daemon {

using Clock = std::chrono::steady_clock;

namespace {

/// Takes the most recently used idle connection that the upstream has not closed, or returns null.
ConnectionPtr PopIdleConnection(UpstreamPool& aPool)
{
  while (!aPool.mIdle.empty()) {
    auto connection = aPool.mIdle.back()->shared_from_this();
    aPool.mIdle.pop_back();
    // A close may have arrived whose read handler has not run yet.
    if (!net::IsStale(connection->mSocket)) {
      return connection;
    }
    CloseConnection(connection);
  }
  return nullptr;
}

} // namespace

void SendWaitingRequests(const std::shared_ptr<UpstreamPool>& aPool)
{
  while (!aPool->mWaiting.empty() &&
         (!aPool->mIdle.empty() || aPool->mConnections.size() < aPool->mLimits.mMaxConnections)) {
    auto request = std::move(aPool->mWaiting.front());
    aPool->mWaiting.pop_front();
    Send(aPool, std::move(request));
  }
}

void Send(const std::shared_ptr<UpstreamPool>& aPool, UpstreamRequest aRequest)
{
  if (const auto connection = PopIdleConnection(*aPool)) {
    BeginRequest(connection, std::move(aRequest));
  } else if (aPool->mConnections.size() < aPool->mLimits.mMaxConnections) {
    OpenConnection(aPool, std::move(aRequest));
  } else {
    aPool->mWaiting.push_back(std::move(aRequest));
  }
}

void StopTaskOn(const std::shared_ptr<UpstreamPool>& aPool, const TaskId& aTask)
{
  const auto isTask = [&aTask](const UpstreamRequest& aRequest) {
    return aRequest.mKind == RequestKind::Run && aRequest.mTask == aTask;
  };
  const auto waiting = std::find_if(aPool->mWaiting.begin(), aPool->mWaiting.end(), isTask);
  if (waiting != aPool->mWaiting.end()) {
    FinishLater(aPool->mContext, std::move(*waiting), UnsentOutcome(ErrorCode::Cancelled));
    aPool->mWaiting.erase(waiting);
    return;
  }
  for (const auto& connection : aPool->mConnections) {
    if (!connection->mRequest || !isTask(*connection->mRequest)) {
      continue;
    }
    if (connection->mState == ConnectionState::Connecting) {
      FinishLater(
        aPool->mContext, std::move(*connection->mRequest), UnsentOutcome(ErrorCode::Cancelled));
      connection->mRequest.reset();
      return;
    }
    // A task that ignores the stop must not occupy its connection indefinitely.
    connection->mCloseAt = Clock::now() + aPool->mLimits.mStopTimeout;
    UpstreamRequest stop;
    stop.mKind = RequestKind::Stop;
    stop.mTask = aTask;
    Send(aPool, std::move(stop));
    return;
  }
}

void SetAddress(UpstreamPool& aPool, const std::string& aAddress)
{
  if (aPool.mAddress == aAddress) {
    return;
  }
  aPool.mAddress = aAddress;
  const auto idle = aPool.mIdle;
  for (auto* connection : idle) {
    CloseConnection(connection->shared_from_this());
  }
}

void Sweep(UpstreamPool& aPool)
{
  const auto now = Clock::now();
  std::vector<ConnectionPtr> due;
  for (const auto& connection : aPool.mConnections) {
    if (connection->mCloseAt <= now) {
      due.push_back(connection);
    }
  }
  for (const auto& connection : due) {
    CloseConnection(connection);
  }
}

void CloseAll(UpstreamPool& aPool)
{
  while (!aPool.mWaiting.empty()) {
    auto request = std::move(aPool.mWaiting.front());
    aPool.mWaiting.pop_front();
    Finish(request, UnsentOutcome(ErrorCode::UpstreamLost));
  }
  const auto connections = aPool.mConnections;
  for (const auto& connection : connections) {
    CloseConnection(connection);
  }
}

} // namespace pollenwall::daemon
