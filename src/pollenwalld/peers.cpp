#include "peers.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>

#include "core_loop.h"

namespace pollenwall::daemon {
namespace {

/// Bounds of the reconnect delay before jitter. A lost connection is retried after 50 to 100 ms and
/// a refused or unreachable address after 100 ms to 2 s: a restarted peer is reconnected well
/// before it is suspected, and retries to a dead one cost little.
constexpr std::chrono::milliseconds kInitialBackoff{ 100 };
constexpr std::chrono::milliseconds kMaxBackoff{ 2000 };
constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };
constexpr std::chrono::milliseconds kStopTimeout{ 1000 };
/// A flood of connections from one misconfigured host must not exhaust the file descriptors.
constexpr std::size_t kMaxLinks = 400;
/// Accepted links before the first message. With TLS each takes up to 140 KB.
constexpr std::size_t kMaxUnnamedLinks = 64;

void Count(Peers& aPeers, std::string_view aName)
{
  metrics::Add(aPeers.mDaemon.mMetrics, aName);
}

/// Decides which of two connections to the same peer is kept: the one opened by the lower
/// incarnation, so that both sides decide alike. Of two opened by the same side, the later is kept.
bool ShouldReplace(const Peers& aPeers, const PeerLink& aNew, const PeerLink& aOld)
{
  if (aNew.mDialled == aOld.mDialled) {
    return true;
  }
  const bool ownIsLower = aPeers.mOwnHello.mIncarnation.mValue < aNew.mHello->mIncarnation.mValue;
  return aNew.mDialled == ownIsLower;
}

/// Uses the link for its peer after the Hello. Returns false if another link to the peer is kept.
bool ActivateLink(Peers& aPeers, const std::shared_ptr<PeerLink>& aLink)
{
  auto& used = aPeers.mActiveLinks[aLink->mHello->mIncarnation.mValue];
  const bool known = used != nullptr;
  if (known && !ShouldReplace(aPeers, *aLink, *used)) {
    return false;
  }
  const auto old = std::exchange(used, aLink);
  if (known) {
    // Messages already sent on the old connection are still received.
    CloseAfterWrites(*old);
    return true;
  }
  log::Info("peer_connected",
            { { "peer", aLink->mHello->mName }, { "address", aLink->mHello->mPeerAddress } });
  Post(aPeers.mLoop, node::PeerUp{ *aLink->mHello });
  return true;
}

void HandleMessage(Peers& aPeers,
                   const std::shared_ptr<PeerLink>& aLink,
                   message::Message aMessage,
                   bool& aBad)
{
  auto* hello = std::get_if<message::Hello>(&aMessage);
  if ((hello != nullptr) == aLink->mHello.has_value()) {
    // The first message is not a Hello, or a later one is.
    aBad = true;
    CloseLink(*aLink);
    return;
  }
  if (hello == nullptr) {
    Count(aPeers, "peer_messages_received_total");
    Post(aPeers.mLoop, node::PeerMessage{ aLink->mHello->mIncarnation, std::move(aMessage) });
    return;
  }
  if (hello->mIncarnation == aPeers.mOwnHello.mIncarnation) {
    CloseLink(*aLink); // A connection to itself: the seeds may include this entry's own address.
    return;
  }
  aLink->mHello = std::move(*hello);
  aLink->mNamed = true;
  if (!ActivateLink(aPeers, aLink)) {
    CloseAfterWrites(*aLink);
  }
}

/// Runs a connected link until it ends. Returns whether the peer sent a Hello.
bool RunLink(Peers& aPeers, const std::shared_ptr<PeerLink>& aLink)
{
  aPeers.mLinks.insert(aLink);
  auto timer = std::make_shared<boost::asio::steady_timer>(aPeers.mDaemon.mContext,
                                                           aPeers.mLimits.mHelloTimeout);
  timer->async_wait([aLink, timer](const boost::system::error_code& aEc) {
    if (!aEc && !aLink->mHello) {
      CloseLink(*aLink);
    }
  });
  boost::system::error_code ec;
  if (aPeers.mTls) {
    ec = aLink->mDialled
           ? net::Handshake(
               aLink->mStream, aPeers.mTls->mClient, boost::asio::ssl::stream_base::client)
           : net::Handshake(
               aLink->mStream, aPeers.mTls->mServer, boost::asio::ssl::stream_base::server);
    if (ec) {
      Count(aPeers, "tls_failures_total{listener=\"peers\"}");
      log::Warning("peer_handshake_failed", { { "message", ec.message() } });
    }
  }
  bool bad = false;
  if (!ec) {
    RunLogged(aPeers.mDaemon, "peer_read_failed", "", [&] {
      QueueMessage(*aLink, aPeers.mOwnHello, aPeers.mLimits);
      const auto end =
        ReadMessages(*aLink, aPeers.mLimits, [&aPeers, &aLink, &bad](message::Message aMessage) {
          HandleMessage(aPeers, aLink, std::move(aMessage), bad);
        });
      bad = bad || end == LinkCloseReason::BadFrame;
      if (end == LinkCloseReason::Memory) {
        Count(aPeers, "peer_links_closed_total{reason=\"memory\"}");
      }
    });
  }
  if (bad) {
    Count(aPeers, "peer_bad_frames_total");
    log::Warning("peer_bad_frame",
                 { { "peer", aLink->mHello ? aLink->mHello->mName : std::string("unknown") } });
  }
  CloseLink(*aLink);
  timer->cancel();
  aPeers.mLinks.erase(aLink);
  if (!aLink->mHello) {
    return false;
  }
  const auto it = aPeers.mActiveLinks.find(aLink->mHello->mIncarnation.mValue);
  if (it != aPeers.mActiveLinks.end() && it->second == aLink) {
    aPeers.mActiveLinks.erase(it);
    log::Info("peer_disconnected", { { "peer", aLink->mHello->mName } });
    Post(aPeers.mLoop, node::PeerDown{ aLink->mHello->mIncarnation });
  }
  return true;
}

bool IsConnected(const Peers& aPeers, const std::string& aAddress)
{
  for (const auto& [incarnation, link] : aPeers.mActiveLinks) {
    if (link->mHello->mPeerAddress == aAddress) {
      return true;
    }
  }
  return false;
}

std::shared_ptr<PeerLink> Dial(Peers& aPeers, const net::Tcp::endpoint& aEndpoint)
{
  auto link = std::make_shared<PeerLink>(net::Socket(aPeers.mDaemon.mContext));
  link->mDialled = true;
  boost::asio::steady_timer timer(aPeers.mDaemon.mContext, kConnectTimeout);
  timer.async_wait([link](const boost::system::error_code& aEc) {
    if (!aEc) {
      CloseLink(*link);
    }
  });
  boost::system::error_code ec;
  link->mStream.mSocket.async_connect(aEndpoint, net::Await(ec));
  if (ec || timer.cancel() == 0) {
    return nullptr;
  }
  net::ConfigureSocket(link->mStream.mSocket);
  return link;
}

/// Keeps a connection to the address while it is in mDesiredAddresses.
void KeepConnected(Peers& aPeers, const std::string& aAddress)
{
  const auto endpoint =
    net::ParseEndpoint(settings::ConnectAddress(aPeers.mDaemon.mSettings, aAddress));
  auto backoff = kInitialBackoff;
  while (endpoint && !aPeers.mStopped && aPeers.mDesiredAddresses.contains(aAddress)) {
    if (!IsConnected(aPeers, aAddress)) {
      const auto link = Dial(aPeers, *endpoint);
      backoff =
        link && RunLink(aPeers, link) ? kInitialBackoff : std::min(2 * backoff, kMaxBackoff);
    }
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    net::SleepFor(aPeers.mDaemon.mContext, std::chrono::milliseconds(jitter(aPeers.mRandom)));
  }
  aPeers.mDiallingAddresses.erase(aAddress);
}

void Accept(Peers& aPeers)
{
  while (!aPeers.mStopped) {
    boost::system::error_code ec;
    net::Socket socket(aPeers.mDaemon.mContext);
    aPeers.mAcceptor.async_accept(socket, net::Await(ec));
    if (aPeers.mStopped) {
      return;
    }
    if (ec) {
      log::Warning("accept_failed", { { "message", ec.message() } });
      net::SleepFor(aPeers.mDaemon.mContext, std::chrono::milliseconds(100));
      continue;
    }
    const bool isFull =
      aPeers.mLinks.size() >= std::min(kMaxLinks, aPeers.mDaemon.mLimits.mMaxPeerLinks) ||
      CountUnnamed(aPeers.mLinks) >= kMaxUnnamedLinks;
    if (isFull && !ReplaceUnnamed(aPeers.mLinks)) {
      Count(aPeers, "peer_connections_refused_total");
      continue;
    }
    net::ConfigureSocket(socket);
    RunLogged(aPeers.mDaemon, "peer_accept_failed", "", [&] {
      auto link = std::make_shared<PeerLink>(std::move(socket));
      net::Spawn([&aPeers, link] { RunLink(aPeers, link); });
    });
  }
}

Result<void> Listen(Peers& aPeers)
{
  const auto& address = aPeers.mDaemon.mSettings.mPeers;
  const auto endpoint = *net::ParseEndpoint(settings::ToString(address));
  boost::system::error_code ec;
  aPeers.mAcceptor.open(endpoint.protocol(), ec);
  aPeers.mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
  aPeers.mAcceptor.bind(endpoint, ec);
  if (!ec) {
    aPeers.mAcceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return boost::leaf::new_error(
      Error{ ErrorCode::Internal,
             Verdict::NotRun,
             "cannot listen on " + settings::ToString(address) + " (peers): " + ec.message(),
             {} });
  }
  return {};
}

} // namespace

Result<void> StartPeers(Peers& aPeers)
{
  BOOST_LEAF_CHECK(Listen(aPeers));
  aPeers.mLimits.mBudget = aPeers.mDaemon.mPeerBudget;
  auto& handlers = aPeers.mLoop.mHandlers;
  handlers.mConnect = [&aPeers](node::Connect& aAction) {
    aPeers.mDesiredAddresses.insert(aAction.mAddress);
    if (aAction.mAddress != aPeers.mOwnHello.mPeerAddress &&
        aPeers.mDiallingAddresses.insert(aAction.mAddress).second) {
      net::Spawn([&aPeers, address = aAction.mAddress] { KeepConnected(aPeers, address); });
    }
  };
  handlers.mDisconnect = [&aPeers](node::Disconnect& aAction) {
    aPeers.mDesiredAddresses.erase(aAction.mAddress);
    for (const auto& link : aPeers.mLinks) {
      if (link->mHello && link->mHello->mPeerAddress == aAction.mAddress) {
        CloseAfterWrites(*link);
      }
    }
  };
  handlers.mSendPeer = [&aPeers](node::SendPeer& aAction) {
    const auto it = aPeers.mActiveLinks.find(aAction.mTo.mValue);
    if (it == aPeers.mActiveLinks.end()) {
      Count(aPeers, "peer_messages_dropped_total");
      return;
    }
    Count(aPeers, "peer_messages_sent_total");
    if (!QueueMessage(*it->second, aAction.mMessage, aPeers.mLimits)) {
      Count(aPeers, "peer_queue_overflows_total");
      log::Warning("peer_queue_overflow", { { "peer", it->second->mHello->mName } });
    }
  };
  net::Spawn([&aPeers] { Accept(aPeers); });
  return {};
}

void StopPeers(Peers& aPeers)
{
  aPeers.mStopped = true;
  boost::system::error_code ec;
  aPeers.mAcceptor.close(ec);
  for (const auto& link : aPeers.mLinks) {
    CloseAfterWrites(*link);
  }
}

namespace {

/// Lets final messages, for example replies about handed over jobs, be written before the process
/// exits.
void WaitForWrites(const Peers& aPeers)
{
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  const auto unwritten = [&aPeers] {
    return std::any_of(aPeers.mLinks.begin(), aPeers.mLinks.end(), [](const auto& aLink) {
      return !aLink->mClosed && !(aLink->mSendQueue.empty() && aLink->mWriteBuffer.empty());
    });
  };
  while (unwritten() && std::chrono::steady_clock::now() < end) {
    net::SleepFor(aPeers.mDaemon.mContext, std::chrono::milliseconds(10));
  }
}

} // namespace

Peers::Peers(DaemonContext& aDaemon, NodeLoop& aLoop, const node::Options& aOptions)
  : mDaemon(aDaemon)
  , mLoop(aLoop)
  , mOwnHello{ aOptions.mIncarnation, aOptions.mName, aOptions.mDataCentre, aOptions.mPeerAddress }
  , mAcceptor(aDaemon.mContext)
  , mRandom(aOptions.mSeed)
{
  mLimits.mMaxFrameBytes = aDaemon.mSettings.mMaxFrameBytes;
}

void RegisterPeers(DaemonContext& aDaemon,
                   const node::Options& aOptions,
                   std::shared_ptr<net::TlsKeys> aTls)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  auto peers = std::make_shared<Peers>(aDaemon, loop, aOptions);
  peers->mTls = std::move(aTls);
  kernel::Register(aDaemon.mKernel,
                   { "peers",
                     { "node" },
                     [peers] { return StartPeers(*peers); },
                     [peers] {
                       StopPeers(*peers);
                       WaitForWrites(*peers);
                     },
                     peers.get() });
}

std::string DescribePeers(const Peers& aPeers)
{
  boost::json::array list;
  for (const auto& link : aPeers.mLinks) {
    boost::json::object item;
    item["peer"] = link->mHello ? link->mHello->mName : std::string();
    item["address"] = link->mHello ? link->mHello->mPeerAddress : std::string();
    item["dialled"] = link->mDialled;
    item["queued_bytes"] = link->mSendQueue.size() + link->mWriteBuffer.size();
    item["sent_bytes"] = link->mSentBytes;
    item["received_bytes"] = link->mReceivedBytes;
    list.push_back(std::move(item));
  }
  return boost::json::serialize(list);
}

} // namespace pollenwall::daemon
