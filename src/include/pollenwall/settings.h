#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/entry.h>
#include <pollenwall/log.h>
#include <pollenwall/node.h>
#include <pollenwall/yaml_reader.h>

/// The settings of one entry daemon: everything that the process needs before it can read the
/// configuration. `examples/entry.yaml` describes every key.
namespace pollenwall::settings {

/// An IP address and a port.
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// "IP:PORT", or "[IP]:PORT" for IPv6.
std::string ToString(const Endpoint& aEndpoint);

/// Whether the address is 127.0.0.0/8 or ::1.
bool IsLoopback(const Endpoint& aEndpoint);

/// PEM files for connections with peers and operators. Both sides present a certificate signed by
/// the authority.
struct Tls
{
  bool mEnabled = true; ///< Off only in a trusted network, or when all addresses are loopback.
  std::string mCertificateFile;
  std::string mKeyFile;
  std::string mAuthorityFile;
};

/// Limits of the HTTP servers.
struct HttpLimits
{
  std::size_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxTrailerBytes = 16 * 1024; ///< Trailers and chunk extensions of one request.
  std::size_t mMaxConnections = 10000;      ///< Per listening port.
  /// Of the kernel for each direction of a connection; 0: derived from mMemoryMb.
  std::size_t mSocketBufferBytes = 0;
  std::chrono::milliseconds mReadTimeout{ 10000 };  ///< Limit for receiving one complete request.
  std::chrono::milliseconds mHeaderTimeout{ 3000 }; ///< Limit for receiving its header.
  std::chrono::milliseconds mIdleTimeout{ 15000 };  ///< Between two requests.
  std::size_t mMemoryMb = 1024; ///< Memory of the machine, from which the buffers' bound follows.
  std::size_t mMaxDescriptors = 0; ///< Of the process; 0: its limit at the start.
};

/// Services of a platform whose upstreams run tasks under leases and fencing tokens. With this
/// section the entry reads its configuration and the lists of entries and upstreams from the
/// platform's store.
struct Platform
{
  Endpoint mReadiness; ///< Listens for readiness checks of the load balancer.
  Endpoint mStore;
  Endpoint mMachines; ///< The machines service; port 0: none.
  entry::Options mEntry;
};

struct Settings
{
  /// Name, data centre, peer address, seed addresses, and the durations and limits of the decision
  /// core. The daemon sets the incarnation and the seed of the random generator.
  node::Options mNode;
  std::vector<std::string> mDataCentres; ///< All known data centres, including this entry's.
  Endpoint mCallers;                     ///< Listens for callers.
  Endpoint mOperators;                   ///< Listens for operators.
  Endpoint mPeers;                       ///< Listens for peers; the same as mNode.mPeerAddress.
  Endpoint mLogService;
  Endpoint mVmList;
  Tls mTls;
  /// Declares that only entries and operators can reach the ports for peers and operators, so that
  /// TLS may be off on addresses that are not loopback.
  bool mTrustedNetwork = false;
  std::optional<Platform> mPlatform;
  HttpLimits mHttp;
  log::RateLimits mLogLimits;
  std::size_t mMaxFrameBytes = 16 * 1024 * 1024; ///< Limit for one message between peers.
  /// Maps the address "IP:PORT" of a peer or upstream that this entry reaches only through a
  /// forwarder to the forwarder's address.
  std::map<std::string, std::string, std::less<>> mForwarders;
};

struct ReadResult
{
  Settings mSettings;   ///< Valid only if mReport has no problems.
  yaml::Report mReport; ///< All problems found in the text.
};

/// Returns the address to connect to in order to reach aAddress: its forwarder's, or aAddress
/// itself.
const std::string& ConnectAddress(const Settings& aSettings, const std::string& aAddress);

/// Reads settings. aFile is used only in the text of problems. Opens no file, so it does not check
/// that the TLS files exist.
ReadResult ReadSettings(std::string_view aFile, std::string_view aText);

/// Parses "IP:PORT" or "[IP]:PORT". Returns nullopt for any other text.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace pollenwall::settings
