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
  SendNext(pool);
}

void Complete(const ConnectionPtr& aConnection)
{
  auto request = std::move(*aConnection->mRequest);
  aConnection->mRequest.reset();
  const auto runTime = std::chrono::duration_cast<Duration>(Clock::now() - aConnection->mSentAt);
  const bool keep = aConnection->mParser->keep_alive() && !aConnection->mWriting &&
                    aConnection->mBuffer.size() == 0;
  auto response = aConnection->mParser->release();
  aConnection->mParser.reset();
  const auto view = [](const auto& aText) { return std::string_view(aText.data(), aText.size()); };
  auto outcome = OutcomeOf(response.result_int(),
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

/// Feeds what has arrived to the parser. False: the connection cannot be used further.
bool Parse(const ConnectionPtr& aConnection)
{
  const bool usable = net::FeedParser(aConnection->mBuffer, *aConnection->mParser);
  if (usable && aConnection->mParser->is_done()) {
    Complete(aConnection);
  }
  return usable;
}

/// A read is outstanding for the whole life of the connection, so a close by the upstream is
/// noticed while the connection is idle.
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
        // Closed, or bytes that answer nothing.
        CloseConnection(aConnection);
        return;
      }
      if (aEc) {
        // An answer without a length ends with the connection.
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

std::string HeaderOf(const UpstreamRequest& aRequest, const std::string& aHost)
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
  aConnection->mHeader = HeaderOf(request, aConnection->mAddress);
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
  // Nearly every request fits into the send buffer: one system call and no handler.
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
  aConnection->mWriting = true;
  aConnection->mWritten = true; // From here on the kernel may take bytes at any moment.
  asio::async_write(aConnection->mSocket,
                    rest,
                    [aConnection, payloadPtr = request.mPayload](
                      const boost::system::error_code& aEc, std::size_t) {
                      aConnection->mWriting = false;
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
    SendNext(pool);
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
  ++aPool->mOpened;
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
