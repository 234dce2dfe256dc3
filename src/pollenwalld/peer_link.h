#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <pollenwall/messages.h>
#include <pollenwall/net/buffer_budget.h>
#include <pollenwall/net/stream.h>

/// One connection to another entry. Sends and receives frames; policy is left to the callers.
namespace pollenwall::daemon {

struct PeerLimits
{
  std::size_t mMaxFrameBytes = 16 * 1024 * 1024;
  std::size_t mMaxQueuedBytes = 64 * 1024 * 1024; ///< A peer that reads too slowly is disconnected.
  std::chrono::milliseconds mHelloTimeout{ 2000 };
  std::shared_ptr<net::BufferBudget> mBudget; ///< Null: no bound on the input of all links.
};

struct PeerLink : std::enable_shared_from_this<PeerLink>
{
  explicit PeerLink(net::Socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  net::Stream mStream;
  std::chrono::steady_clock::time_point mOpenedAt = std::chrono::steady_clock::now();
  bool mDialled = false;                ///< Opened by this entry.
  bool mNamed = false;                  ///< The peer has said who it is.
  std::optional<message::Hello> mHello; ///< Received from the peer.
  std::string mSendQueue;               ///< Frames not yet passed to the socket.
  std::string mWriteBuffer;             ///< Frames being written.
  bool mClosed = false;
  bool mClosing = false; ///< Shut down sending once all queued frames are written.
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
};

/// Why a link ended.
enum class LinkCloseReason
{
  Closed,   ///< By either side, or by a network failure.
  BadFrame, ///< A frame that exceeds the limit or is not a valid message.
  Memory,   ///< The budget of all links was used up, and this link used most.
};

using PeerLinks = std::set<std::shared_ptr<PeerLink>>;

/// The number of accepted links whose peers have not said who they are.
std::size_t CountUnnamed(const PeerLinks& aLinks);

/// Closes the one of them that has been open longest, if it has been open for a second. Connections
/// that send nothing then cannot keep peers out. Returns false if there is none.
bool ReplaceUnnamed(const PeerLinks& aLinks);

/// Queues a payload; never suspends. Returns false if the queue was full; the link is then closed.
bool QueuePayload(PeerLink& aLink, std::string_view aPayload, const PeerLimits& aLimits);

/// Queues a message of version 1 in the same way.
bool QueueMessage(PeerLink& aLink, const message::Message& aMessage, const PeerLimits& aLimits);

/// Shuts down sending after all queued frames have been written. Reading continues.
void CloseAfterWrites(PeerLink& aLink);

void CloseLink(PeerLink& aLink);

/// Reads payloads of frames in the calling fiber and passes each to the function until the link
/// ends or the function returns false, which ends it as a bad frame does.
LinkCloseReason ReadPayloads(PeerLink& aLink,
                             const PeerLimits& aLimits,
                             const std::function<bool(std::string_view)>& aFunction);

/// Reads messages in the calling fiber and passes each to the function until the link ends.
LinkCloseReason ReadMessages(PeerLink& aLink,
                             const PeerLimits& aLimits,
                             const std::function<void(message::Message)>& aFunction);

} // namespace pollenwall::daemon
