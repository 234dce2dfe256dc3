#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry_loop.h"
#include "peer_link.h"

/// The service `entry_links`: connections between entries that use fencing tokens. Each entry opens
/// one connection to each other entry and sends only on that one, so that each side can replace a
/// connection on which its messages no longer arrive.
namespace pollenwall::daemon {

/// The connection over which this entry sends to a peer.
struct OutboundLink
{
  std::shared_ptr<PeerLink> mLink; ///< Null during the delay between two attempts.
  bool mConnected = false;
  bool mRemoved = false; ///< No connection is to be kept any more.
  /// Runs during the delay between two attempts; cancelling it starts the next attempt.
  std::shared_ptr<boost::asio::steady_timer> mReconnectTimer;
};

struct EntryLinks
{
  EntryLinks(DaemonContext& aDaemon, EntryLoop& aLoop)
    : mDaemon(aDaemon)
    , mLoop(aLoop)
    , mAcceptor(aDaemon.mContext)
  {
  }

  DaemonContext& mDaemon;
  EntryLoop& mLoop;
  PeerLimits mLimits;
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> mAcceptor;
  std::map<std::string, std::shared_ptr<OutboundLink>, std::less<>> mOutbound; ///< By address.
  PeerLinks mInbound;
  bool mStopped = false;
};

void RegisterEntryLinks(DaemonContext& aDaemon);

} // namespace pollenwall::daemon
