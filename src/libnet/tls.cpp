#include <pollenwall/net/tls.h>

#include <boost/leaf/error.hpp>

namespace pollenwall::net {
namespace {

namespace ssl = boost::asio::ssl;

Error FileError(const std::string& aFile, const boost::system::error_code& aEc)
{
  return { ErrorCode::Internal, Verdict::NotRun, "TLS file " + aFile + ": " + aEc.message(), {} };
}

Result<std::shared_ptr<ssl::context>> MakeContext(const TlsFiles& aFiles)
{
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  boost::system::error_code ec;
  context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                         ssl::context::no_sslv3 | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                       ec);
  context->use_certificate_chain_file(aFiles.mCertificate, ec);
  if (ec) {
    return boost::leaf::new_error(FileError(aFiles.mCertificate, ec));
  }
  // Also fails if the key does not match the certificate.
  context->use_private_key_file(aFiles.mKey, ssl::context::pem, ec);
  if (ec) {
    return boost::leaf::new_error(FileError(aFiles.mKey, ec));
  }
  context->load_verify_file(aFiles.mAuthority, ec);
  if (ec) {
    return boost::leaf::new_error(FileError(aFiles.mAuthority, ec));
  }
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, ec);
  return context;
}

} // namespace

Result<std::shared_ptr<TlsKeys>> LoadTls(const TlsFiles& aFiles)
{
  auto keys = std::make_shared<TlsKeys>();
  keys->mFiles = aFiles;
  BOOST_LEAF_CHECK(ReloadTls(*keys));
  return keys;
}

Result<void> ReloadTls(TlsKeys& aKeys)
{
  BOOST_LEAF_AUTO(server, MakeContext(aKeys.mFiles));
  BOOST_LEAF_AUTO(client, MakeContext(aKeys.mFiles));
  aKeys.mServer = std::move(server);
  aKeys.mClient = std::move(client);
  return {};
}

} // namespace pollenwall::net
