#include "upstream_connection.h"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "shell.h"
#include "upstream_protocol.h"

namespace pollenwall::daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBytes = 4096;

void Remove(UpstreamPool& aPool, const UpstreamConnection& aConnection)
{
  aPool.mConnections.remove_if(
    [&aConnection](const auto& aOther) { return aOther.get() == &aConnection; });
  std::erase(aPool.mIdle, &aConnection);
}

void MakeIdle(const ConnectionPtr& aConnection)
{
  const auto pool = aConnection->mPool.lock();
  if (!pool || aConnection->mAddress != pool->mAddress) {
    CloseConnection(aConnection);
    return;
  }
  aConnection->mState = ConnectionState::Idle;
  aConnection->mCloseAt = Clock::now() + pool->mLimits.mIdleTimeout;
  pool->mIdle.push_back(aConnection.get());
  SendWaitingRequests(pool);
}

void Complete(const ConnectionPtr& aConnection)
{
  auto request = std::move(*aConnection->mRequest);
  aConnection->mRequest.reset();
  const auto runTime = std::chrono::duration_cast<Duration>(Clock::now() - aConnection->mSentAt);
  const bool keep = aConnection->mParser->keep_alive() && !aConnection->mWritePending &&
                    aConnection->mBuffer.size() == 0;
  auto response = aConnection->mParser->release();
  aConnection->mParser.reset();
  const auto view = [](const auto& aText) { return std::string_view(aText.data(), aText.size()); };
  auto outcome = OutcomeFromResponse(response.result_int(),
                                     view(response["Pollenwall-Verdict"]),
                                     view(response["Pollenwall-Code"]),
                                     std::move(response.body()));
  outcome.mRunTime = runTime;
  if (keep) {
    MakeIdle(aConnection);
  } else {
    CloseConnection(aConnection);
  }
  Finish(request, std::move(outcome));
}

/// Feeds the buffered input to the parser. Returns false if the connection must be closed.
bool Parse(const ConnectionPtr& aConnection)
{
  const bool usable = net::FeedParser(aConnection->mBuffer, *aConnection->mParser);
  if (usable && aConnection->mParser->is_done()) {
    Complete(aConnection);
  }
  return usable;
}

/// A read is always outstanding, so that a close by the upstream is detected while the connection
/// is idle.
void Read(const ConnectionPtr& aConnection)
{
  aConnection->mSocket.async_read_some(
    aConnection->mBuffer.prepare(kReadBytes),
    [aConnection](const boost::system::error_code& aEc, std::size_t aBytes) {
      if (aConnection->mState == ConnectionState::Closed) {
        return;
      }
      aConnection->mBuffer.commit(aBytes);
      if (aConnection->mState != ConnectionState::Busy) {
        // The upstream closed the connection or sent an unsolicited response.
        CloseConnection(aConnection);
        return;
      }
      if (aEc) {
        // A response without a length is delimited by the end of the connection.
        boost::system::error_code ec;
        if (aEc == asio::error::eof && aConnection->mParser->got_some()) {
          aConnection->mParser->put_eof(ec);
          if (!ec && aConnection->mParser->is_done()) {
            Complete(aConnection);
          }
        }
        CloseConnection(aConnection);
        return;
      }
      if (!Parse(aConnection)) {
        CloseConnection(aConnection);
        return;
      }
      if (aConnection->mState != ConnectionState::Closed) {
        Read(aConnection);
      }
    });
}

std::string RequestHead(const UpstreamRequest& aRequest, const std::string& aHost)
{
  switch (aRequest.mKind) {
    case RequestKind::Run:
      return RunHeader(aHost, aRequest.mTask, aRequest.mNotAfterMs, aRequest.mPayload->size());
    case RequestKind::Stop:
      return StopRequest(aHost, aRequest.mTask);
    case RequestKind::Slots:
      break;
  }
  return SlotsRequest(aHost);
}

void Write(const ConnectionPtr& aConnection, UpstreamLimits aLimits)
{
  auto& request = *aConnection->mRequest;
  aConnection->mHeader = RequestHead(request, aConnection->mAddress);
  static const std::string kEmpty;
  const auto& payload = request.mPayload ? *request.mPayload : kEmpty;
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(aConnection->mHeader),
                                                   asio::buffer(payload) };
  aConnection->mState = ConnectionState::Busy;
  aConnection->mWritten = false;
  aConnection->mSentAt = Clock::now();
  aConnection->mCloseAt = request.mKind == RequestKind::Run
                            ? Clock::time_point::max()
                            : aConnection->mSentAt + aLimits.mControlTimeout;
  aConnection->mParser.emplace();
  aConnection->mParser->eager(true);
  aConnection->mParser->body_limit(aLimits.mMaxResultBytes);
  // Nearly every request fits into the socket's send buffer, so that one system call sends it
  // without an asynchronous write.
  boost::system::error_code ec;
  const auto n = aConnection->mSocket.write_some(buffers, ec);
  aConnection->mWritten = n > 0;
  if (ec && ec != asio::error::would_block) {
    asio::post(aConnection->mSocket.get_executor(),
               [aConnection] { CloseConnection(aConnection); });
    return;
  }
  const auto total = aConnection->mHeader.size() + payload.size();
  if (n == total) {
    return;
  }
  std::vector<asio::const_buffer> rest;
  if (n < aConnection->mHeader.size()) {
    rest = { asio::buffer(aConnection->mHeader) + n, asio::buffer(payload) };
  } else {
    rest = { asio::buffer(payload) + (n - aConnection->mHeader.size()) };
  }
  aConnection->mWritePending = true;
  aConnection->mWritten = true; // The asynchronous write may pass bytes to the kernel at any time.
  asio::async_write(aConnection->mSocket,
                    rest,
                    [aConnection, payloadPtr = request.mPayload](
                      const boost::system::error_code& aEc, std::size_t) {
                      aConnection->mWritePending = false;
                      if (aEc) {
                        CloseConnection(aConnection);
                      }
                    });
}

} // namespace

void Finish(const UpstreamRequest& aRequest, TaskOutcome aOutcome)
{
  if (aRequest.mDone) {
    aRequest.mDone(std::move(aOutcome));
  }
}

void FinishLater(asio::io_context& aContext, UpstreamRequest aRequest, TaskOutcome aOutcome)
{
  asio::post(aContext, [request = std::move(aRequest), outcome = std::move(aOutcome)]() mutable {
    Finish(request, std::move(outcome));
  });
}

TaskOutcome UnsentOutcome(ErrorCode aCode)
{
  TaskOutcome outcome;
  outcome.mVerdict = Verdict::NotRun;
  outcome.mCode = aCode;
  return outcome;
}

void CloseConnection(const ConnectionPtr& aConnection)
{
  if (aConnection->mState == ConnectionState::Closed) {
    return;
  }
  aConnection->mState = ConnectionState::Closed;
  boost::system::error_code ec;
  aConnection->mSocket.close(ec);
  const auto pool = aConnection->mPool.lock();
  if (pool) {
    Remove(*pool, *aConnection);
  }
  if (aConnection->mRequest) {
    auto request = std::move(*aConnection->mRequest);
    aConnection->mRequest.reset();
    auto outcome = LostOutcome(aConnection->mWritten);
    if (aConnection->mWritten) {
      outcome.mRunTime = std::chrono::duration_cast<Duration>(Clock::now() - aConnection->mSentAt);
    }
    Finish(request, std::move(outcome));
  }
  if (pool) {
    SendWaitingRequests(pool);
  }
}

void BeginRequest(const ConnectionPtr& aConnection, UpstreamRequest aRequest)
{
  const auto pool = aConnection->mPool.lock();
  if (aRequest.mKind == RequestKind::Run && ReadClocks().mUnixMs > aRequest.mNotAfterMs) {
    FinishLater(pool->mContext, std::move(aRequest), UnsentOutcome(ErrorCode::Expired));
    MakeIdle(aConnection);
    return;
  }
  aConnection->mRequest = std::move(aRequest);
  Write(aConnection, pool->mLimits);
}

void OpenConnection(const std::shared_ptr<UpstreamPool>& aPool, UpstreamRequest aRequest)
{
  const auto endpoint = net::ParseEndpoint(aPool->mAddress);
  if (!endpoint) {
    FinishLater(aPool->mContext, std::move(aRequest), UnsentOutcome(ErrorCode::UpstreamLost));
    return;
  }
  auto connection = std::make_shared<UpstreamConnection>(aPool);
  connection->mAddress = aPool->mAddress;
  connection->mRequest = std::move(aRequest);
  connection->mCloseAt = Clock::now() + aPool->mLimits.mConnectTimeout;
  aPool->mConnections.push_back(connection);
  ++aPool->mOpenedConnections;
  connection->mSocket.async_connect(*endpoint, [connection](const boost::system::error_code& aEc) {
    if (aEc || connection->mState == ConnectionState::Closed) {
      CloseConnection(connection);
      return;
    }
    net::ConfigureSocket(connection->mSocket);
    connection->mCloseAt = Clock::time_point::max();
    if (connection->mRequest) {
      auto request = std::move(*connection->mRequest);
      connection->mRequest.reset();
      BeginRequest(connection, std::move(request));
    } else {
      MakeIdle(connection);
    }
    if (connection->mState != ConnectionState::Closed) {
      Read(connection);
    }
  });
}

} // namespace pollenwall::daemon
