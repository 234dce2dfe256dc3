#include <pollenwall/net/http_pool.h>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <pollenwall/net/boot_clock.h>
#include <pollenwall/net/http_client.h>

namespace pollenwall::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct HttpPoolConnection : std::enable_shared_from_this<HttpPoolConnection>
{
  explicit HttpPoolConnection(const std::shared_ptr<HttpPool>& aPool)
    : mPool(aPool)
    , mSocket(aPool->mContext)
  {
  }

  std::weak_ptr<HttpPool> mPool;
  Socket mSocket;
  bool mClosed = false;
  bool mSent = false;
  bool mServerGone = false;
  std::optional<HttpCall> mCall;
  std::string mWriteBuffer; ///< Kept when an early response ends the call before all is written.
  bool mWriting = false;
  Time mCallDeadline = Time::max();
  boost::beast::flat_buffer mBuffer;
  std::optional<ResponseParser> mParser;
};

namespace {

using ConnectionPtr = std::shared_ptr<HttpPoolConnection>;

constexpr std::size_t kReadBytes = 4096;
/// Of a response: its header, a chunk's line, or trailers, which Beast keeps until they are
/// complete.
constexpr std::size_t kMaxUnparsedBytes = 32 * 1024;

void SendWaitingCalls(const std::shared_ptr<HttpPool>& aPool);

Time DeadlineOf(const HttpCall& aCall)
{
  return ReadBootClock() + Duration(aCall.mTimeout);
}

void FinishLater(HttpPool& aPool, HttpCall aCall, HttpCallResult aResult)
{
  asio::post(aPool.mContext, [call = std::move(aCall), result = std::move(aResult)]() mutable {
    call.mDone(std::move(result));
  });
}

void Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  aConnection->mClosed = true;
  boost::system::error_code ec;
  aConnection->mSocket.close(ec);
  const auto pool = aConnection->mPool.lock();
  if (!pool) {
    return;
  }
  std::erase(pool->mIdle, aConnection.get());
  std::erase(pool->mConnections, aConnection);
  if (aConnection->mCall) {
    FinishLater(*pool,
                std::move(*aConnection->mCall),
                { 0, "", aConnection->mSent, aConnection->mServerGone });
    aConnection->mCall.reset();
  }
  SendWaitingCalls(pool);
}

/// Closes a connection that the server has closed.
void CloseByServer(const ConnectionPtr& aConnection)
{
  const auto pool = aConnection->mPool.lock();
  if (pool && !aConnection->mClosed) {
    pool->mClosedByServer = true;
  }
  Close(aConnection);
}

void Complete(const ConnectionPtr& aConnection)
{
  const auto pool = aConnection->mPool.lock();
  const bool keep = aConnection->mParser->keep_alive() && aConnection->mBuffer.size() == 0 &&
                    !aConnection->mWriting;
  if (pool) {
    pool->mClosedByServer = false;
  }
  auto response = aConnection->mParser->release();
  aConnection->mParser.reset();
  auto call = std::move(*aConnection->mCall);
  aConnection->mCall.reset();
  aConnection->mCallDeadline = Time::max();
  if (keep && pool) {
    pool->mIdle.push_back(aConnection.get());
  } else {
    Close(aConnection);
  }
  call.mDone({ response.result_int(), std::move(response.body()), true, false });
  if (keep && pool) {
    SendWaitingCalls(pool);
  }
}

/// Feeds the buffered input to the parser. Returns false if the connection must be closed.
bool Parse(const ConnectionPtr& aConnection)
{
  const bool usable = FeedParser(aConnection->mBuffer, *aConnection->mParser);
  if (usable && aConnection->mParser->is_done()) {
    Complete(aConnection);
  }
  return usable;
}

/// A read is always outstanding, so that a close by the server is detected while the connection is
/// idle.
void Read(const ConnectionPtr& aConnection)
{
  aConnection->mSocket.async_read_some(
    aConnection->mBuffer.prepare(kReadBytes),
    [aConnection](const boost::system::error_code& aEc, std::size_t aBytes) {
      if (aConnection->mClosed) {
        return;
      }
      aConnection->mBuffer.commit(aBytes);
      if (aEc) {
        CloseByServer(aConnection);
        return;
      }
      if (!aConnection->mCall || !Parse(aConnection)) {
        Close(aConnection);
        return;
      }
      if (!aConnection->mClosed) {
        Read(aConnection);
      }
    });
}

void Write(const ConnectionPtr& aConnection, const HttpPoolLimits& aLimits)
{
  aConnection->mParser.emplace();
  aConnection->mParser->eager(true);
  aConnection->mParser->body_limit(aLimits.mMaxBodyBytes);
  aConnection->mSent = true;
  aConnection->mWriting = true;
  aConnection->mWriteBuffer = std::move(aConnection->mCall->mRequest);
  asio::async_write(aConnection->mSocket,
                    asio::buffer(aConnection->mWriteBuffer),
                    [aConnection](const boost::system::error_code& aEc, std::size_t) {
                      aConnection->mWriting = false;
                      if (aEc) {
                        CloseByServer(aConnection);
                      }
                    });
}

void StartCall(const ConnectionPtr& aConnection, HttpCall aCall, const HttpPoolLimits& aLimits)
{
  aConnection->mCallDeadline = DeadlineOf(aCall);
  aConnection->mCall = std::move(aCall);
  Write(aConnection, aLimits);
}

void OpenConnection(const std::shared_ptr<HttpPool>& aPool, HttpCall aCall)
{
  auto connection = std::make_shared<HttpPoolConnection>(aPool);
  connection->mCallDeadline = DeadlineOf(aCall);
  connection->mCall = std::move(aCall);
  aPool->mConnections.push_back(connection);
  ++aPool->mOpenedConnections;
  connection->mSocket.async_connect(
    aPool->mServer, [connection](const boost::system::error_code& aEc) {
      const auto pool = connection->mPool.lock();
      connection->mServerGone =
        aEc == asio::error::connection_refused && pool && pool->mClosedByServer;
      if (aEc || connection->mClosed || !pool) {
        Close(connection);
        return;
      }
      // The process may not have run for a while: the caller may have given up the request.
      if (ReadBootClock() >= connection->mCallDeadline) {
        Close(connection);
        return;
      }
      ConfigureSocket(connection->mSocket);
      Write(connection, pool->mLimits);
      Read(connection);
    });
}

/// Takes the most recently used idle connection that the server has not closed, or returns null.
ConnectionPtr PopIdleConnection(HttpPool& aPool)
{
  while (!aPool.mIdle.empty()) {
    auto connection = aPool.mIdle.back()->shared_from_this();
    aPool.mIdle.pop_back();
    // A close may have arrived whose read handler has not run yet.
    if (!IsStale(connection->mSocket)) {
      return connection;
    }
    CloseByServer(connection);
  }
  return nullptr;
}

void SendWaitingCalls(const std::shared_ptr<HttpPool>& aPool)
{
  while (!aPool->mWaiting.empty() &&
         (!aPool->mIdle.empty() || aPool->mConnections.size() < aPool->mLimits.mMaxConnections)) {
    auto waiting = std::move(aPool->mWaiting.front());
    aPool->mWaiting.pop_front();
    if (ReadBootClock() < waiting.mDeadline) {
      Call(aPool, std::move(waiting.mCall));
    } else {
      FinishLater(*aPool, std::move(waiting.mCall), {});
    }
  }
}

} // namespace

bool FeedParser(boost::beast::flat_buffer& aBuffer, ResponseParser& aParser)
{
  while (aBuffer.size() > 0 && !aParser.is_done()) {
    boost::system::error_code ec;
    aBuffer.consume(aParser.put(aBuffer.data(), ec));
    if (ec == http::error::need_more) {
      return aBuffer.size() <= kMaxUnparsedBytes;
    }
    if (ec) {
      return false;
    }
  }
  return true;
}

void Call(const std::shared_ptr<HttpPool>& aPool, HttpCall aCall)
{
  if (const auto connection = PopIdleConnection(*aPool)) {
    StartCall(connection, std::move(aCall), aPool->mLimits);
  } else if (aPool->mConnections.size() < aPool->mLimits.mMaxConnections) {
    OpenConnection(aPool, std::move(aCall));
  } else {
    const auto deadline = DeadlineOf(aCall);
    aPool->mWaiting.push_back({ std::move(aCall), deadline });
  }
}

void Sweep(HttpPool& aPool)
{
  const auto now = ReadBootClock();
  for (auto& waiting : aPool.mWaiting) {
    if (waiting.mDeadline <= now) {
      FinishLater(aPool, std::move(waiting.mCall), {});
    }
  }
  std::erase_if(aPool.mWaiting, [now](const auto& aWaiting) { return aWaiting.mDeadline <= now; });
  std::vector<ConnectionPtr> due;
  for (const auto& connection : aPool.mConnections) {
    if (connection->mCallDeadline <= now) {
      due.push_back(connection);
    }
  }
  for (const auto& connection : due) {
    aPool.mClosedByServer = false;
    Close(connection);
  }
}

void CloseAll(HttpPool& aPool)
{
  while (!aPool.mWaiting.empty()) {
    FinishLater(aPool, std::move(aPool.mWaiting.front().mCall), {});
    aPool.mWaiting.pop_front();
  }
  const auto connections = aPool.mConnections;
  for (const auto& connection : connections) {
    Close(connection);
  }
}

} // namespace pollenwall::net
