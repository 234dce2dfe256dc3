#include "peer_link.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <pollenwall/net/fiber.h>
#include <pollenwall/net/frame.h>

namespace pollenwall::daemon {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
/// An empty buffer larger than this is freed.
constexpr std::size_t kKeptBufferBytes = kReadBytes;
/// Several times what a handshake and the first message take between entries that are busy.
constexpr std::chrono::seconds kMinTimeToReplace{ 1 };

bool IsUnnamed(const std::shared_ptr<PeerLink>& aLink)
{
  return !aLink->mDialled && !aLink->mNamed && !aLink->mClosed;
}

/// Writes all queued frames at once. Frames queued during a write are sent by the next one.
void Write(const std::shared_ptr<PeerLink>& aLink)
{
  if (aLink->mClosed || !aLink->mWriteBuffer.empty()) {
    return;
  }
  if (aLink->mSendQueue.empty()) {
    if (aLink->mClosing) {
      boost::system::error_code ec;
      aLink->mStream.mSocket.shutdown(net::Socket::shutdown_send, ec);
    }
    return;
  }
  aLink->mWriteBuffer.swap(aLink->mSendQueue);
  boost::asio::async_write(aLink->mStream,
                           boost::asio::buffer(aLink->mWriteBuffer),
                           [aLink](const boost::system::error_code& aEc, std::size_t aBytes) {
                             aLink->mSentBytes += aBytes;
                             aLink->mWriteBuffer.clear();
                             if (aEc) {
                               CloseLink(*aLink);
                               return;
                             }
                             Write(aLink);
                           });
}

} // namespace

std::size_t CountUnnamed(const PeerLinks& aLinks)
{
  return static_cast<std::size_t>(std::count_if(aLinks.begin(), aLinks.end(), IsUnnamed));
}

bool ReplaceUnnamed(const PeerLinks& aLinks)
{
  auto oldest = std::chrono::steady_clock::now() - kMinTimeToReplace;
  PeerLink* chosen = nullptr;
  for (const auto& link : aLinks) {
    if (!IsUnnamed(link) || link->mOpenedAt > oldest) {
      continue;
    }
    oldest = link->mOpenedAt;
    chosen = link.get();
  }
  if (chosen == nullptr) {
    return false;
  }
  CloseLink(*chosen);
  return true;
}

bool QueuePayload(PeerLink& aLink, std::string_view aPayload, const PeerLimits& aLimits)
{
  if (aLink.mClosed || aLink.mClosing) {
    return true;
  }
  if (aLink.mSendQueue.size() > aLimits.mMaxQueuedBytes) {
    CloseLink(aLink);
    return false;
  }
  net::AppendFrame(aLink.mSendQueue, aPayload);
  Write(aLink.shared_from_this());
  return true;
}

bool QueueMessage(PeerLink& aLink, const message::Message& aMessage, const PeerLimits& aLimits)
{
  return QueuePayload(aLink, message::Encode(aMessage), aLimits);
}

void CloseAfterWrites(PeerLink& aLink)
{
  aLink.mClosing = true;
  Write(aLink.shared_from_this());
}

void CloseLink(PeerLink& aLink)
{
  aLink.mClosed = true;
  net::Close(aLink.mStream);
}

LinkCloseReason ReadPayloads(PeerLink& aLink,
                             const PeerLimits& aLimits,
                             const std::function<bool(std::string_view)>& aFunction)
{
  boost::beast::flat_buffer buffer;
  net::BufferAccount account(aLimits.mBudget ? aLimits.mBudget
                                             : std::make_shared<net::BufferBudget>(),
                             [&aLink] { CloseLink(aLink); });
  while (!aLink.mClosed) {
    if (buffer.size() == 0 && buffer.capacity() > kKeptBufferBytes) {
      buffer.shrink_to_fit();
    }
    const auto space = buffer.prepare(kReadBytes);
    // The first buffer of a link is a fixed cost of the link; the budget is for unfinished frames.
    if (!net::Charge(account, buffer.capacity() - std::min(buffer.capacity(), kReadBytes))) {
      return LinkCloseReason::Memory;
    }
    boost::system::error_code ec;
    const auto n = aLink.mStream.async_read_some(space, net::Await(ec));
    if (ec) {
      return account.mClosing ? LinkCloseReason::Memory : LinkCloseReason::Closed;
    }
    aLink.mReceivedBytes += n;
    buffer.commit(n);
    for (;;) {
      const auto data = buffer.data();
      const std::string_view input(static_cast<const char*>(data.data()), data.size());
      std::string_view payload;
      const auto status = net::ParseFrame(input, aLimits.mMaxFrameBytes, payload);
      if (status == net::FrameStatus::Incomplete) {
        break;
      }
      if (status == net::FrameStatus::TooLarge) {
        return LinkCloseReason::BadFrame;
      }
      const auto frameBytes = net::kFrameHeaderBytes + payload.size();
      if (!aFunction(payload)) {
        return LinkCloseReason::BadFrame;
      }
      buffer.consume(frameBytes);
      if (aLink.mClosed) {
        return LinkCloseReason::Closed;
      }
    }
  }
  return account.mClosing ? LinkCloseReason::Memory : LinkCloseReason::Closed;
}

LinkCloseReason ReadMessages(PeerLink& aLink,
                             const PeerLimits& aLimits,
                             const std::function<void(message::Message)>& aFunction)
{
  return ReadPayloads(aLink, aLimits, [&aFunction](std::string_view aPayload) {
    auto decoded = message::Decode(aPayload);
    if (decoded) {
      aFunction(std::move(*decoded));
    }
    return decoded.has_value();
  });
}

} // namespace pollenwall::daemon
