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

/// The settings of one entry daemon. They hold what a process has to know before it can read the
/// configuration; see `examples/entry.yaml` for every key.
namespace pollenwall::settings {

/// An IP number and a port.
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

/// PEM files for connections of peers and operators. Both sides show a certificate that the
/// authority signed.
struct Tls
{
  bool mOn = true; ///< Off only in a trusted network, or when all addresses are loopback.
  std::string mCertificateFile;
  std::string mKeyFile;
  std::string mAuthorityFile;
};

/// Limits of the HTTP servers.
struct HttpLimits
{
  std::size_t mMaxBodyBytes = 4 * 1024 * 1024;
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxConnections = 10000;             ///< Of each listening port.
  std::chrono::milliseconds mReadTimeout{ 10000 }; ///< For one request to arrive completely.
};

/// Services of a platform whose upstreams run tasks under leases and fencing tokens. With this
/// section the entry takes its configuration, the other entries and the upstreams from the
/// platform's store.
struct Platform
{
  Endpoint mReadiness; ///< Listens for the balancer's question whether this entry is ready.
  Endpoint mStore;
  Endpoint mMachines; ///< Port 0: there is no such service.
  entry::Options mEntry;
};

struct Settings
{
  /// Name, data centre, peer address, seeds, and every duration and limit of the core. The
  /// incarnation and the seed of the random generator are left for the daemon to set.
  node::Options mNode;
  std::vector<std::string> mDataCentres; ///< All known ones, this entry's included.
  Endpoint mCallers;                     ///< Listens for callers.
  Endpoint mOperators;                   ///< Listens for operators.
  Endpoint mPeers;                       ///< Listens for peers; the same as mNode.mPeerAddress.
  Endpoint mLogService;
  Endpoint mVmList;
  Tls mTls;
  /// The network lets nobody but the entries and operators reach the ports of peers and operators,
  /// so TLS may be off although they are not loopback.
  bool mTrustedNetwork = false;
  std::optional<Platform> mPlatform;
  HttpLimits mHttp;
  log::Budget mLogs;
  std::size_t mMaxFrameBytes = 16 * 1024 * 1024; ///< Of one message between peers.
  /// Addresses of peers and upstreams, "IP:PORT", that this entry reaches only through a forwarder,
  /// and the forwarder's address.
  std::map<std::string, std::string, std::less<>> mForwarders;
};

struct ReadResult
{
  Settings mSettings;   ///< Usable only when there is no problem.
  yaml::Report mReport; ///< Every problem of the text.
};

/// The address to connect to in order to reach aAddress: its forwarder's, or itself.
const std::string& ConnectAddress(const Settings& aSettings, const std::string& aAddress);

/// Reads settings. The file's name is used in problems only; no file is opened, so that whether the
/// TLS files exist is not checked.
ReadResult ReadSettings(std::string_view aFile, std::string_view aText);

/// Parses "IP:PORT" or "[IP]:PORT"; nothing for any other text.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace pollenwall::settings
