#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include <pollenwall/net/tls.h>

#include "node_loop.h"
#include "peer_link.h"

/// The service `peers`: keeps the connections between entries.
namespace pollenwall::daemon {

struct Peers
{
  Peers(DaemonContext& aDaemon, NodeLoop& aLoop, const node::Options& aOptions);

  DaemonContext& mDaemon;
  NodeLoop& mLoop;
  message::Hello mOwnHello;
  PeerLimits mLimits;
  std::shared_ptr<net::TlsKeys> mTls; ///< Null: no TLS.
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> mAcceptor;
  std::set<std::string> mDesiredAddresses;  ///< Addresses to stay connected to.
  std::set<std::string> mDiallingAddresses; ///< Addresses with a running connect fiber.
  PeerLinks mLinks;                         ///< All connections.
  std::map<std::uint64_t, std::shared_ptr<PeerLink>> mActiveLinks; ///< In use, by incarnation.
  std::mt19937_64 mRandom; ///< For the jitter of reconnect delays.
  bool mStopped = false;
};

/// Starts to accept peers and registers the handlers of peer actions.
Result<void> StartPeers(Peers& aPeers);

/// Closes each connection after its queued messages have been written. Does not suspend.
void StopPeers(Peers& aPeers);

void RegisterPeers(DaemonContext& aDaemon,
                   const node::Options& aOptions,
                   std::shared_ptr<net::TlsKeys> aTls);

/// Peer, address and traffic of each connection, as JSON for the dump.
std::string DescribePeers(const Peers& aPeers);

} // namespace pollenwall::daemon
