#include "entry_links.h"

#include <pollenwall/log.h>

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// Delay before the next attempt to connect to a peer, and after a failed accept.
constexpr std::chrono::milliseconds kReconnectDelay{ 250 };
/// Bounds connection attempts across a network partition, which otherwise hang.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
/// Some seconds of forwarded jobs. A peer with more unsent bytes than this is disconnected.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 8 } << 20;
/// For the first presence on an accepted connection, in addition to some intervals between
/// presences. An entry with little processor time may need seconds.
constexpr std::chrono::milliseconds kHelloTimeout{ 10000 };
constexpr int kHelloIntervals = 3;

void CountClosed(EntryLinks& aLinks, const std::string& aReason)
{
  metrics::Add(aLinks.mDaemon.mMetrics, "peer_links_closed_total{reason=\"" + aReason + "\"}");
}

/// Connects the link and returns whether that succeeded. CloseLink ends the attempt early.
bool Connect(EntryLinks& aLinks,
             const std::shared_ptr<PeerLink>& aLink,
             const net::Tcp::endpoint& aTo)
{
  boost::asio::steady_timer timer(aLinks.mDaemon.mContext, kConnectTimeout);
  timer.async_wait([aLink](const boost::system::error_code& aEc) {
    if (!aEc) {
      CloseLink(*aLink);
    }
  });
  boost::system::error_code ec;
  aLink->mStream.mSocket.async_connect(aTo, net::Await(ec));
  timer.cancel();
  if (ec || aLink->mClosed) {
    return false;
  }
  net::ConfigureSocket(aLink->mStream.mSocket);
  return true;
}

/// Returns the connection to an address, or null if none is to be kept.
OutboundLink* FindOutbound(EntryLinks& aLinks, const std::string& aAddress)
{
  const auto it = aLinks.mOutbound.find(aAddress);
  return it == aLinks.mOutbound.end() ? nullptr : it->second.get();
}

/// Connects once and reads until the connection ends. The peer sends nothing on this connection.
void ConnectAndRead(EntryLinks& aLinks,
                    OutboundLink& aOut,
                    const std::string& aAddress,
                    const net::Tcp::endpoint& aTo)
{
  const auto link = std::make_shared<PeerLink>(net::Socket(aLinks.mDaemon.mContext));
  aOut.mLink = link;
  if (Connect(aLinks, link, aTo)) {
    aOut.mConnected = true;
    Post(aLinks.mLoop, entry::PeerConnected{ aAddress });
    ReadMessages(*link, aLinks.mLimits, [](const message::Message&) {});
  }
}

/// Reconnects to an address until it is removed or the service stops.
void KeepConnected(EntryLinks& aLinks,
                   const std::shared_ptr<OutboundLink>& aOut,
                   const std::string& aAddress)
{
  const auto endpoint =
    net::ParseEndpoint(settings::ConnectAddress(aLinks.mDaemon.mSettings, aAddress));
  while (endpoint && !aLinks.mStopped && !aOut->mRemoved) {
    RunLogged(aLinks.mDaemon, "peer_connection_failed", aAddress, [&] {
      ConnectAndRead(aLinks, *aOut, aAddress, *endpoint);
    });
    if (aOut->mLink) {
      CloseLink(*aOut->mLink);
    }
    aOut->mLink = nullptr;
    aOut->mConnected = false;
    const auto pause =
      std::make_shared<boost::asio::steady_timer>(aLinks.mDaemon.mContext, kReconnectDelay);
    aOut->mReconnectTimer = pause;
    boost::system::error_code ec;
    pause->async_wait(net::Await(ec));
  }
}

/// Starts to keep a connection to the address or, with mReconnect, replaces the existing one. The
/// core also requests a new connection when it receives a message from the peer while an attempt
/// hangs: TCP resends packets to a machine that was not yet up only after a second.
void HandleConnectPeer(EntryLinks& aLinks, const entry::ConnectPeer& aAction)
{
  auto* out = FindOutbound(aLinks, aAction.mAddress);
  if (out == nullptr) {
    const auto added = std::make_shared<OutboundLink>();
    aLinks.mOutbound.emplace(aAction.mAddress, added);
    net::Spawn(
      [&aLinks, added, address = aAction.mAddress] { KeepConnected(aLinks, added, address); });
    return;
  }
  if (!aAction.mReconnect) {
    return;
  }
  if (out->mLink) {
    CloseLink(*out->mLink);
  }
  if (out->mReconnectTimer) {
    out->mReconnectTimer->cancel();
  }
}

/// Closes the connection and ends KeepConnected for the address.
void HandleDisconnectPeer(EntryLinks& aLinks, const entry::DisconnectPeer& aAction)
{
  const auto it = aLinks.mOutbound.find(aAction.mAddress);
  if (it == aLinks.mOutbound.end()) {
    return;
  }
  const auto out = it->second;
  aLinks.mOutbound.erase(it);
  out->mRemoved = true;
  if (out->mLink) {
    CloseLink(*out->mLink);
  }
  if (out->mReconnectTimer) {
    out->mReconnectTimer->cancel();
  }
}

void Send(EntryLinks& aLinks, const entry::SendPeer& aAction)
{
  const auto* out = FindOutbound(aLinks, aAction.mAddress);
  if (out == nullptr || !out->mConnected) {
    return;
  }
  const auto link = out->mLink;
  const bool sent = RunLogged(aLinks.mDaemon, "peer_send_failed", aAction.mAddress, [&] {
    const auto frame = message::EncodeFrame(
      aAction.mMessage, aLinks.mLoop.mIncarnation, aAction.mTo.value_or(Incarnation{}));
    if (!QueuePayload(*link, frame, aLinks.mLimits)) {
      log::Warning("peer_too_slow", { { "address", aAction.mAddress } });
    }
  });
  if (!sent) {
    CloseLink(*link); // As for a message that the network has lost.
  }
}

/// The sender of the messages on one accepted connection, from its first presence.
struct InboundSender
{
  std::string mAddress;
  Incarnation mIncarnation;
};

/// Passes the message in a frame to the core. A frame of version 1 is attributed to the process in
/// the first presence on its connection. A frame that cannot be used does not end the connection:
/// those after it may be valid, as when a later release sends a type of message that this one
/// lacks.
void HandleFrame(EntryLinks& aLinks, InboundSender& aFrom, std::string_view aPayload)
{
  auto problem = message::FrameProblem::Malformed;
  auto frame = message::DecodeFrame(aPayload, problem);
  if (!frame) {
    Post(aLinks.mLoop, entry::PeerFrameDropped{ aFrom.mAddress, problem });
    return;
  }
  const auto* presence = std::get_if<message::Presence>(&frame->mMessage);
  if (presence != nullptr && presence->mEntry && aFrom.mAddress.empty()) {
    aFrom = { presence->mEntry->mPeerAddress, presence->mIncarnation };
  }
  const auto& envelope = frame->mEnvelope;
  const auto incarnation = envelope.mVersion == 1 ? aFrom.mIncarnation : envelope.mFrom;
  Post(aLinks.mLoop,
       entry::PeerMessage{ aFrom.mAddress, std::move(frame->mMessage), incarnation, envelope.mTo });
}

std::chrono::milliseconds PresenceInterval(const EntryLinks& aLinks)
{
  const auto& platform = aLinks.mDaemon.mSettings.mPlatform;
  return platform ? platform->mEntry.mPresenceInterval : std::chrono::milliseconds(0);
}

/// Reads one accepted connection. The first message is a Presence with the sender's address.
void ReadInbound(EntryLinks& aLinks, const std::shared_ptr<PeerLink>& aLink)
{
  InboundSender from;
  auto end = LinkCloseReason::Closed;
  boost::asio::steady_timer timer(aLinks.mDaemon.mContext,
                                  kHelloTimeout + kHelloIntervals * PresenceInterval(aLinks));
  timer.async_wait([&aLinks, aLink](const boost::system::error_code& aEc) {
    if (!aEc && !aLink->mNamed) {
      CountClosed(aLinks, "hello_timeout");
      CloseLink(*aLink);
    }
  });
  RunLogged(aLinks.mDaemon, "peer_read_failed", from.mAddress, [&] {
    end = ReadPayloads(*aLink, aLinks.mLimits, [&](std::string_view aPayload) {
      HandleFrame(aLinks, from, aPayload);
      aLink->mNamed = !from.mAddress.empty();
      return true;
    });
  });
  if (end == LinkCloseReason::BadFrame) {
    log::Warning("peer_bad_frame", { { "address", from.mAddress } });
  }
  if (end == LinkCloseReason::Memory) {
    CountClosed(aLinks, "memory");
  }
  CloseLink(*aLink);
  aLinks.mInbound.erase(aLink);
}

void Accept(EntryLinks& aLinks)
{
  while (!aLinks.mStopped) {
    boost::system::error_code ec;
    net::Socket socket(aLinks.mDaemon.mContext);
    aLinks.mAcceptor.async_accept(socket, net::Await(ec));
    if (ec) {
      if (!aLinks.mStopped) {
        net::SleepFor(aLinks.mDaemon.mContext, kReconnectDelay);
      }
      continue;
    }
    if (aLinks.mInbound.size() >= aLinks.mDaemon.mLimits.mMaxPeerLinks &&
        !ReplaceUnnamed(aLinks.mInbound)) {
      CountClosed(aLinks, "connections");
      continue;
    }
    net::ConfigureSocket(socket);
    std::shared_ptr<PeerLink> link;
    const bool reading = RunLogged(aLinks.mDaemon, "peer_accept_failed", "", [&] {
      link = std::make_shared<PeerLink>(std::move(socket));
      aLinks.mInbound.insert(link);
      net::Spawn([&aLinks, link] { ReadInbound(aLinks, link); });
    });
    if (!reading && link) {
      CloseLink(*link);
      aLinks.mInbound.erase(link);
    }
  }
}

Result<void> Start(EntryLinks& aLinks)
{
  const auto& settings = aLinks.mDaemon.mSettings;
  const auto endpoint = *net::ParseEndpoint(settings::ToString(settings.mPeers));
  boost::system::error_code ec;
  aLinks.mAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    aLinks.mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    aLinks.mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    aLinks.mAcceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return boost::leaf::new_error(Error{
      ErrorCode::Internal, Verdict::NotRun, "cannot listen for peers: " + ec.message(), {} });
  }
  aLinks.mLimits.mMaxFrameBytes = settings.mMaxFrameBytes;
  aLinks.mLimits.mMaxQueuedBytes = kMaxQueuedBytes;
  aLinks.mLimits.mBudget = aLinks.mDaemon.mPeerBudget;
  auto& handlers = aLinks.mLoop.mHandlers;
  handlers.mSendPeer = [&aLinks](entry::SendPeer& aAction) { Send(aLinks, aAction); };
  handlers.mConnectPeer = [&aLinks](entry::ConnectPeer& aAction) {
    HandleConnectPeer(aLinks, aAction);
  };
  handlers.mDisconnectPeer = [&aLinks](entry::DisconnectPeer& aAction) {
    HandleDisconnectPeer(aLinks, aAction);
  };
  net::Spawn([&aLinks] { Accept(aLinks); });
  return {};
}

void Stop(EntryLinks& aLinks)
{
  aLinks.mStopped = true;
  boost::system::error_code ec;
  aLinks.mAcceptor.close(ec);
  for (const auto& [address, out] : aLinks.mOutbound) {
    if (out->mLink) {
      CloseAfterWrites(*out->mLink);
    }
  }
}

} // namespace

void RegisterEntryLinks(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<EntryLoop>(aDaemon.mKernel, "entry");
  auto links = std::make_shared<EntryLinks>(aDaemon, loop);
  kernel::Register(aDaemon.mKernel,
                   { "entry_links",
                     { "entry" },
                     [links] { return Start(*links); },
                     [links] { Stop(*links); },
                     links.get() });
}

} // namespace pollenwall::daemon
