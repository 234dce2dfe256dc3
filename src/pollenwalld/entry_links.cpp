#include "entry_links.h"

#include <pollenwall/log.h>

namespace pollenwall::daemon {
namespace {

/// Pause between attempts to connect to a peer that does not answer.
constexpr std::chrono::milliseconds kReconnect{ 250 };
/// A connection attempt into a partition hangs, so it is given up after this.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
/// A peer that reads slower than this much behind is disconnected: some seconds of forwarded jobs.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 8 } << 20;

/// Returns whether the link is connected. CloseLink ends the attempt early.
bool Connect(EntryLinks& aLinks,
             const std::shared_ptr<PeerLink>& aLink,
             const net::Tcp::endpoint& aTo)
{
  boost::asio::steady_timer timer(aLinks.mShell.mContext, kConnectTimeout);
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

/// The connection to an address; null when it is no longer wanted.
OutLink* FindOut(EntryLinks& aLinks, const std::string& aAddress)
{
  const auto it = aLinks.mOut.find(aAddress);
  return it == aLinks.mOut.end() ? nullptr : &it->second;
}

/// Connects once and reads until the connection ends. The peer sends nothing on it.
void ConnectAndRead(EntryLinks& aLinks, const std::string& aAddress, const net::Tcp::endpoint& aTo)
{
  const auto link = std::make_shared<PeerLink>(net::Socket(aLinks.mShell.mContext));
  FindOut(aLinks, aAddress)->mLink = link;
  const bool connected = Connect(aLinks, link, aTo);
  if (auto* out = FindOut(aLinks, aAddress); connected && out != nullptr) {
    out->mConnected = true;
    Post(aLinks.mLoop, entry::PeerConnected{ aAddress });
    ReadMessages(*link, aLinks.mLimits, [](const message::Message&) {});
  }
  CloseLink(*link);
  if (auto* out = FindOut(aLinks, aAddress)) {
    out->mLink = nullptr;
    out->mConnected = false;
  }
}

/// Keeps a connection to one address for as long as it is wanted.
void KeepConnected(EntryLinks& aLinks, const std::string& aAddress)
{
  const auto endpoint =
    net::ParseEndpoint(settings::ConnectAddress(aLinks.mShell.mSettings, aAddress));
  while (endpoint && !aLinks.mStopped && aLinks.mOut.contains(aAddress)) {
    ConnectAndRead(aLinks, aAddress, *endpoint);
    const auto pause =
      std::make_shared<boost::asio::steady_timer>(aLinks.mShell.mContext, kReconnect);
    if (auto* out = FindOut(aLinks, aAddress)) {
      out->mPause = pause;
    }
    boost::system::error_code ec;
    pause->async_wait(net::Await(ec));
  }
}

/// A new connection is also asked for when the peer has been heard while an attempt hangs: packets
/// to a machine that was not there yet are sent again only after a second.
void Want(EntryLinks& aLinks, const entry::ConnectPeer& aAction)
{
  auto* out = FindOut(aLinks, aAction.mAddress);
  if (out == nullptr) {
    aLinks.mOut.emplace(aAction.mAddress, OutLink{});
    net::Spawn([&aLinks, address = aAction.mAddress] { KeepConnected(aLinks, address); });
    return;
  }
  if (!aAction.mAnew) {
    return;
  }
  if (out->mLink) {
    CloseLink(*out->mLink);
  }
  if (out->mPause) {
    out->mPause->cancel();
  }
}

void Send(EntryLinks& aLinks, const entry::SendPeer& aAction)
{
  const auto* out = FindOut(aLinks, aAction.mAddress);
  if (out != nullptr && out->mConnected && !SendOn(*out->mLink, aAction.mMessage, aLinks.mLimits)) {
    log::Warning("peer_too_slow", { { "address", aAction.mAddress } });
  }
}

/// Reads one accepted connection. The first message is a presence, which names the sender.
void Serve(EntryLinks& aLinks, const std::shared_ptr<PeerLink>& aLink)
{
  std::string from;
  const auto end = ReadMessages(*aLink, aLinks.mLimits, [&](message::Message aMessage) {
    if (const auto* presence = std::get_if<message::Presence>(&aMessage)) {
      from = presence->mPeerAddress;
    }
    if (!from.empty()) {
      Post(aLinks.mLoop, entry::PeerMessage{ from, std::move(aMessage) });
    }
  });
  if (end == LinkEnd::BadFrame) {
    log::Warning("peer_bad_frame", { { "address", from } });
  }
  CloseLink(*aLink);
  aLinks.mIn.erase(aLink);
}

void Accept(EntryLinks& aLinks)
{
  while (!aLinks.mStopped) {
    boost::system::error_code ec;
    net::Socket socket(aLinks.mShell.mContext);
    aLinks.mAcceptor.async_accept(socket, net::Await(ec));
    if (ec) {
      if (!aLinks.mStopped) {
        net::SleepFor(aLinks.mShell.mContext, kReconnect);
      }
      continue;
    }
    net::ConfigureSocket(socket);
    auto link = std::make_shared<PeerLink>(std::move(socket));
    aLinks.mIn.insert(link);
    net::Spawn([&aLinks, link] { Serve(aLinks, link); });
  }
}

Result<void> Start(EntryLinks& aLinks)
{
  const auto& settings = aLinks.mShell.mSettings;
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
  auto& table = aLinks.mLoop.mTable;
  table.mSendPeer = [&aLinks](entry::SendPeer& aAction) { Send(aLinks, aAction); };
  table.mConnectPeer = [&aLinks](entry::ConnectPeer& aAction) { Want(aLinks, aAction); };
  net::Spawn([&aLinks] { Accept(aLinks); });
  return {};
}

void Stop(EntryLinks& aLinks)
{
  aLinks.mStopped = true;
  boost::system::error_code ec;
  aLinks.mAcceptor.close(ec);
  for (const auto& [address, out] : aLinks.mOut) {
    if (out.mLink) {
      CloseAfterWrites(*out.mLink);
    }
  }
}

} // namespace

void RegisterEntryLinks(Shell& aShell)
{
  auto& loop = *kernel::Find<EntryLoop>(aShell.mKernel, "entry");
  auto links = std::make_shared<EntryLinks>(aShell, loop);
  kernel::Register(aShell.mKernel,
                   { "entry_links",
                     { "entry" },
                     [links] { return Start(*links); },
                     [links] { Stop(*links); },
                     links.get() });
}

} // namespace pollenwall::daemon
