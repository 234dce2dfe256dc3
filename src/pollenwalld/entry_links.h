#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry_loop.h"
#include "peer_link.h"

/// The service `entry_links`: connections between entries that work with fencing tokens. Each entry
/// opens one connection to each other entry and sends only on it, so that either side can replace a
/// connection on which the other no longer hears it.
namespace pollenwall::daemon {

/// The connection over which this entry sends to a peer.
struct OutLink
{
  std::shared_ptr<PeerLink> mLink; ///< Null while it pauses between two attempts.
  bool mConnected = false;
  /// Runs during the pause; cancelling it ends the pause.
  std::shared_ptr<boost::asio::steady_timer> mPause;
};

struct EntryLinks
{
  EntryLinks(Shell& aShell, EntryLoop& aLoop)
    : mShell(aShell)
    , mLoop(aLoop)
    , mAcceptor(aShell.mContext)
  {
  }

  Shell& mShell;
  EntryLoop& mLoop;
  PeerLimits mLimits;
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> mAcceptor;
  std::map<std::string, OutLink, std::less<>> mOut; ///< By address.
  std::set<std::shared_ptr<PeerLink>> mIn;
  bool mStopped = false;
};

void RegisterEntryLinks(Shell& aShell);

} // namespace pollenwall::daemon
