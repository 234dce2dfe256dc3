#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/basic_socket_acceptor.hpp>

#include "entry_loop.h"
#include "peer_link.h"

/// The service `entry_links`: connections between entries that work with fencing tokens. Each entry
/// opens one connection to each other entry and sends only on it, so that either side can replace a
/// connection on which the other no longer hears it.
namespace pollenwall::daemon {

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
  std::map<std::string, std::shared_ptr<PeerLink>> mOut; ///< By address; null while connecting.
  std::set<std::shared_ptr<PeerLink>> mIn;
  bool mStopped = false;
};

void RegisterEntryLinks(Shell& aShell);

} // namespace pollenwall::daemon
