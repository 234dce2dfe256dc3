#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <pollenwall/net/tls.h>

#include "node_loop.h"
#include "peer_link.h"

/// The service `peers`: connections between entries.
namespace pollenwall::daemon {

struct Peers
{
  Peers(Shell& aShell, NodeLoop& aLoop, const node::Options& aOptions);

  Shell& mShell;
  NodeLoop& mLoop;
  message::Hello mOwnHello;
  PeerLimits mLimits;
  std::shared_ptr<net::TlsKeys> mTls; ///< Null: no TLS.
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> mAcceptor;
  std::set<std::string> mWanted;                          ///< Addresses to keep a connection to.
  std::set<std::string> mDialling;                        ///< Addresses that have a dialling fiber.
  std::set<std::shared_ptr<PeerLink>> mLinks;             ///< All connections.
  std::map<std::uint64_t, std::shared_ptr<PeerLink>> mUp; ///< In use, by incarnation.
  std::mt19937_64 mRandom;                                ///< For the jitter of reconnects.
  bool mStopped = false;
};

/// Begins to accept peers and takes over the actions for them.
Result<void> StartPeers(Peers& aPeers);

/// Closes connections once what was queued has been written. Does not suspend.
void StopPeers(Peers& aPeers);

void RegisterPeers(Shell& aShell,
                   const node::Options& aOptions,
                   std::shared_ptr<net::TlsKeys> aTls);

/// Addresses and state of the connections, as JSON text for the dump.
std::string DescribePeers(const Peers& aPeers);

} // namespace pollenwall::daemon
