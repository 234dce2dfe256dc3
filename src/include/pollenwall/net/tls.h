#pragma once

#include <memory>
#include <string>

#include <boost/asio/ssl/context.hpp>

#include <pollenwall/verdict.h>

namespace pollenwall::net {

/// Files in PEM form. Both sides of a connection present a certificate that the authority signed.
struct TlsFiles
{
  std::string mCertificate;
  std::string mKey;
  std::string mAuthority;

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

/// The keys in use. New connections take the contexts of the time; a reload does not touch
/// connections that exist.
struct TlsKeys
{
  TlsFiles mFiles;
  std::shared_ptr<boost::asio::ssl::context> mServer;
  std::shared_ptr<boost::asio::ssl::context> mClient;
};

/// Loads the files. The error names the file and the reason.
Result<std::shared_ptr<TlsKeys>> LoadTls(const TlsFiles& aFiles);

/// Reads the same files again. On failure the keys in use stay.
Result<void> ReloadTls(TlsKeys& aKeys);

} // namespace pollenwall::net
