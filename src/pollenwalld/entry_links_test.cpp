#include "entry_links.h"

#include <boost/leaf/handle_errors.hpp>

#include "daemon_test.h"

namespace pollenwall::test {
namespace {

using namespace daemon;
using std::chrono::milliseconds;

/// Guards against an entry that, after a start of its peer, sends nothing until a hanging attempt
/// and the delay after it have ended: the peer then considers it absent and claims its upstreams.
bool ReconnectsAtOnceOnRequest(boost::asio::io_context& aContext)
{
  // Fibers that outlive the test use it.
  static auto& daemonContext = *new DaemonContext(aContext);
  daemonContext.mSettings.mPeers = { "127.0.0.1", 0 };
  RegisterEntryLoop(daemonContext, entry::Options{});
  RegisterEntryLinks(daemonContext);
  auto& loop = *kernel::Find<EntryLoop>(daemonContext.mKernel, "entry");
  const bool started = boost::leaf::try_handle_all(
    []() -> Result<bool> {
      BOOST_LEAF_CHECK(kernel::Start(daemonContext.mKernel));
      return true;
    },
    [](const Error&) { return false; },
    [] { return false; });
  // A port that is bound but not yet listening.
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> acceptor(aContext);
  boost::system::error_code ec;
  acceptor.open(net::Tcp::v4(), ec);
  acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 }, ec);
  const auto address = net::ToString(acceptor.local_endpoint());
  entry::ConnectPeer action{ address, false };
  loop.mHandlers.mConnectPeer(action);
  net::SleepFor(aContext, milliseconds(20));
  const auto& link =
    *kernel::Find<EntryLinks>(daemonContext.mKernel, "entry_links")->mOutbound.at(address);
  bool passed = Expect(started && !ec && !link.mConnected, "the peer does not listen");
  acceptor.listen(1, ec);
  action.mReconnect = true;
  loop.mHandlers.mConnectPeer(action);
  for (int n = 0; n < 10 && !link.mConnected; ++n) {
    net::SleepFor(aContext, milliseconds(5));
  }
  passed &= Expect(link.mConnected, "connected within 50 ms, although the delay is 250 ms");
  kernel::Stop(daemonContext.mKernel);
  return passed;
}

} // namespace

bool EntryLinksTests(boost::asio::io_context& aContext)
{
  return ReconnectsAtOnceOnRequest(aContext);
}

} // namespace pollenwall::test
