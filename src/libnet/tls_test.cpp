#include "net_test.h"

#include <filesystem>

#include <boost/beast/http/verb.hpp>
#include <pollenwall/net/fiber.h>
#include <pollenwall/net/http_client.h>

#include "tls_test_files.h"

namespace pollenwall::test {
namespace {

namespace http = boost::beast::http;

unsigned FetchStatus(boost::asio::io_context& aContext,
                     const net::Tcp::endpoint& aServer,
                     std::shared_ptr<net::TlsKeys> aKeys)
{
  net::HttpClient client(aContext, aServer);
  client.mTls = std::move(aKeys);
  return net::Fetch(client, http::verb::get, "/", "", std::chrono::seconds(60), 1000).mStatus;
}

bool Reload(net::TlsKeys& aKeys)
{
  return boost::leaf::try_handle_all(
    [&aKeys]() -> Result<bool> {
      BOOST_LEAF_CHECK(net::ReloadTls(aKeys));
      return true;
    },
    [](const Error&) { return false; },
    [] { return false; });
}

/// Guards against a listener that serves a client without a certificate or with one of another
/// authority, against a client that accepts such a server, and against keys that change only on a
/// restart.
bool BothSidesRequireACertificate(boost::asio::io_context& aContext)
{
  auto authority = MakeKeyPair("authority", nullptr);
  auto other = MakeKeyPair("other authority", nullptr);
  auto serverPair = MakeKeyPair("server", &authority);
  auto clientPair = MakeKeyPair("client", &authority);
  auto foreignPair = MakeKeyPair("stranger", &other);
  const TlsTestFiles serverFiles("server");
  const TlsTestFiles clientFiles("client");
  const TlsTestFiles foreignFiles("stranger");
  serverFiles.Write(serverPair, authority);
  clientFiles.Write(clientPair, authority);
  // The foreign client trusts the server's authority, but another one signed its own certificate.
  foreignFiles.Write(foreignPair, authority);
  const auto serverKeys = ValueOf([&] { return net::LoadTls(serverFiles.mFiles); });
  const auto clientKeys = ValueOf([&] { return net::LoadTls(clientFiles.mFiles); });
  const auto foreignKeys = ValueOf([&] { return net::LoadTls(foreignFiles.mFiles); });
  if (!Expect(serverKeys && clientKeys && foreignKeys, "keys load")) {
    return false;
  }
  net::HttpServerOptions options;
  options.mName = "tls";
  options.mListen = *net::ParseEndpoint("127.0.0.1:0");
  options.mTls = *serverKeys;
  metrics::Registry metrics;
  const auto server = ValueOf([&] {
    return net::StartHttpServer(
      aContext,
      options,
      [](net::HttpRequest&, net::HttpConnection&) {
        return net::JsonResponse(http::status::ok, "{}");
      },
      metrics);
  });
  if (!Expect(server.has_value(), "the server starts")) {
    return false;
  }
  const auto endpoint = net::LocalEndpoint(**server);
  bool passed = Expect(FetchStatus(aContext, endpoint, *clientKeys) == 200, "a known client");
  passed &=
    Expect(FetchStatus(aContext, endpoint, *foreignKeys) == 0, "another authority's client");
  passed &= Expect(FetchStatus(aContext, endpoint, nullptr) == 0, "a client without TLS");

  // The server switches to the other authority without a restart.
  net::HttpClient kept(aContext, endpoint);
  kept.mTls = *clientKeys;
  const auto fetch = [&kept] {
    return net::Fetch(kept, http::verb::get, "/", "", std::chrono::seconds(60), 1000).mStatus;
  };
  passed &= Expect(fetch() == 200, "a connection opened before the reload");
  auto renewed = MakeKeyPair("renewed server", &other);
  serverFiles.Write(renewed, other);
  passed &= Expect(Reload(**serverKeys), "the new files load");
  passed &= Expect(fetch() == 200, "the connection opened before the reload still works");
  passed &=
    Expect(FetchStatus(aContext, endpoint, *clientKeys) == 0, "the old authority is refused");
  foreignFiles.Write(foreignPair, other);
  passed &= Expect(Reload(**foreignKeys), "the client's files load");
  passed &=
    Expect(FetchStatus(aContext, endpoint, *foreignKeys) == 200, "the new authority is accepted");

  // If the key does not match the certificate, the keys in use are kept.
  const TlsTestFiles broken("broken");
  broken.Write({ authority.mKey, renewed.mCertificate }, other);
  std::filesystem::copy_file(
    broken.mFiles.mKey, serverFiles.mFiles.mKey, std::filesystem::copy_options::overwrite_existing);
  passed &= Expect(!Reload(**serverKeys), "mismatched files are refused");
  passed &=
    Expect(FetchStatus(aContext, endpoint, *foreignKeys) == 200, "the keys in use are kept");
  for (auto* pair : { &authority, &other, &serverPair, &clientPair, &foreignPair, &renewed }) {
    FreeKeyPair(*pair);
  }
  return passed;
}

} // namespace

bool TlsTests(boost::asio::io_context& aContext)
{
  return BothSidesRequireACertificate(aContext);
}

} // namespace pollenwall::test
