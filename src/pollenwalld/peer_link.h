#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <pollenwall/messages.h>
#include <pollenwall/net/stream.h>

/// One connection to another entry: frames in both directions, without any policy.
namespace pollenwall::daemon {

struct PeerLimits
{
  std::size_t mMaxFrameBytes = 16 * 1024 * 1024;
  std::size_t mMaxQueuedBytes = 64 * 1024 * 1024; ///< A peer that reads slower is disconnected.
  std::chrono::milliseconds mHelloTimeout{ 2000 };
};

struct PeerLink : std::enable_shared_from_this<PeerLink>
{
  explicit PeerLink(net::Socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  net::Stream mStream;
  bool mDialled = false;                ///< This entry opened the connection.
  std::optional<message::Hello> mHello; ///< The peer's.
  std::string mOut;                     ///< Frames not yet handed to the socket.
  std::string mWriting;                 ///< Frames being written.
  bool mClosed = false;
  bool mClosing = false; ///< The sending side ends once everything queued has been written.
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
};

/// Why a link ended.
enum class LinkEnd
{
  Closed,   ///< By either side, or the network failed.
  BadFrame, ///< A frame over the limit, or one that is no valid message.
};

/// Queues a message; never suspends. False when the queue is full: the link has then been closed.
bool SendOn(PeerLink& aLink, const message::Message& aMessage, const PeerLimits& aLimits);

/// Ends the sending side after everything queued has been written. Reading goes on.
void CloseAfterWrites(PeerLink& aLink);

void CloseLink(PeerLink& aLink);

/// Reads messages in the calling fiber and hands each to the function until the link ends.
LinkEnd ReadMessages(PeerLink& aLink,
                     const PeerLimits& aLimits,
                     const std::function<void(message::Message)>& aFunction);

} // namespace pollenwall::daemon
