#pragma once

#include <memory>
#include <string>

#include <boost/asio/ssl/context.hpp>

#include <pollenwall/verdict.h>

namespace pollenwall::net {

/// PEM files. Both sides of a connection must present a certificate signed by the certificate
/// authority in mAuthority.
struct TlsFiles
{
  std::string mCertificate;
  std::string mKey;
  std::string mAuthority;

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

/// The keys in use. A connection uses the context that is current when it is opened; a reload does
/// not affect existing connections.
struct TlsKeys
{
  TlsFiles mFiles;
  std::shared_ptr<boost::asio::ssl::context> mServer;
  std::shared_ptr<boost::asio::ssl::context> mClient;
};

/// Loads the files. The error message has the file's name and the reason.
Result<std::shared_ptr<TlsKeys>> LoadTls(const TlsFiles& aFiles);

/// Reloads the same files. On failure the keys in use are kept.
Result<void> ReloadTls(TlsKeys& aKeys);

} // namespace pollenwall::net
