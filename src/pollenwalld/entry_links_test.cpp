#include "entry_links.h"

#include <limits>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <pollenwall/net/frame.h>

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

/// The start of a frame that needs a larger buffer than the test lets the reader allocate.
std::string LargeFrame()
{
  constexpr std::size_t kPayloadBytes = std::size_t{ 1 } << 20;
  std::string frame{ 0, 0x10, 0, 0 };
  return frame.append(kPayloadBytes, 'x');
}

/// Writes the frame while large allocations fail, and returns whether the other side then closed
/// the connection within 2 s.
bool IsClosedAfterAFailure(boost::asio::io_context& aContext, net::Socket& aSocket)
{
  const auto frame = LargeFrame();
  LimitAllocations(256 * 1024);
  boost::asio::steady_timer timer(aContext, milliseconds(2000));
  bool late = false;
  timer.async_wait([&](const boost::system::error_code& aEc) {
    if (!aEc) {
      late = true;
      aSocket.close();
    }
  });
  boost::system::error_code ec;
  boost::asio::async_write(aSocket, boost::asio::buffer(frame), net::Await(ec));
  char byte = 0;
  ec = {};
  boost::asio::async_read(aSocket, boost::asio::buffer(&byte, 1), net::Await(ec));
  timer.cancel();
  LimitAllocations(std::numeric_limits<std::size_t>::max());
  net::SleepFor(aContext, milliseconds(5)); // The timer's handler refers to this frame.
  return ec && !late;
}

/// Guards against a reader that ends without closing its connection, so that the peer goes on
/// sending to nobody, and against a connection that is never opened again after its reader has
/// failed.
bool FailedReadersAreReplaced(boost::asio::io_context& aContext)
{
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
    [] { return false; });
  auto& links = *kernel::Find<EntryLinks>(daemonContext.mKernel, "entry_links");
  const auto failures = [](const std::string& aEvent) {
    return metrics::CounterValue(daemonContext.mMetrics,
                                 "failures_total{event=\"" + aEvent + "\"}");
  };
  boost::system::error_code ec;
  net::Socket inbound(aContext);
  inbound.async_connect(links.mAcceptor.local_endpoint(), net::Await(ec));
  bool passed = Expect(started && !ec, "connected to the entry");
  passed &= Expect(IsClosedAfterAFailure(aContext, inbound), "an accepted connection is closed");
  passed &= Expect(links.mInbound.empty() && failures("peer_read_failed") == 1,
                   "it is forgotten, and the failure counted");

  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> acceptor(
    aContext, { boost::asio::ip::address_v4::loopback(), 0 });
  entry::ConnectPeer action{ net::ToString(acceptor.local_endpoint()), false };
  loop.mHandlers.mConnectPeer(action);
  net::Socket first(aContext);
  acceptor.async_accept(first, net::Await(ec));
  passed &= Expect(IsClosedAfterAFailure(aContext, first), "an opened connection is closed");
  boost::asio::steady_timer timer(aContext, milliseconds(3000));
  timer.async_wait([&acceptor](const boost::system::error_code& aEc) {
    if (!aEc) {
      acceptor.cancel();
    }
  });
  net::Socket second(aContext);
  acceptor.async_accept(second, net::Await(ec));
  timer.cancel();
  passed &= Expect(!ec, "and opened again");
  passed &= Expect(failures("peer_connection_failed") == 1, "the failure is counted");
  kernel::Stop(daemonContext.mKernel);
  net::SleepFor(aContext, milliseconds(5));
  return passed;
}

/// Reads one frame, or returns nothing if none arrives within 2 s.
std::optional<message::Frame> ReadFrame(boost::asio::io_context& aContext, net::Socket& aSocket)
{
  boost::asio::steady_timer timer(aContext, milliseconds(2000));
  timer.async_wait([&aSocket](const boost::system::error_code& aEc) {
    if (!aEc) {
      aSocket.close();
    }
  });
  boost::system::error_code ec;
  std::string bytes(net::kFrameHeaderBytes, '\0');
  boost::asio::async_read(aSocket, boost::asio::buffer(bytes), net::Await(ec));
  std::size_t n = 0;
  for (const auto byte : bytes) {
    n = n * 256 + static_cast<unsigned char>(byte);
  }
  bytes.assign(ec ? 0 : n, '\0');
  ec = {};
  boost::asio::async_read(aSocket, boost::asio::buffer(bytes), net::Await(ec));
  timer.cancel();
  net::SleepFor(aContext, milliseconds(5)); // The timer's handler refers to the socket.
  auto problem = message::FrameProblem::Malformed;
  return message::DecodeFrame(bytes, problem);
}

/// Guards against messages that are attributed to the wrong process, an entry of the previous
/// release that is not understood, and a connection that ends because of one frame.
bool FramesAreAttributedToTheirSender(boost::asio::io_context& aContext)
{
  constexpr Incarnation kSelf{ 1000 };
  constexpr Incarnation kPeer{ 20 };
  static auto& daemonContext = *new DaemonContext(aContext);
  daemonContext.mSettings.mPeers = { "127.0.0.1", 0 };
  entry::Options options;
  options.mName = "self";
  options.mDataCentre = "a";
  options.mPeerAddress = "127.0.0.1:9";
  options.mIncarnation = kSelf;
  RegisterEntryLoop(daemonContext, options);
  RegisterEntryLinks(daemonContext);
  auto& loop = *kernel::Find<EntryLoop>(daemonContext.mKernel, "entry");
  const bool started = boost::leaf::try_handle_all(
    []() -> Result<bool> {
      BOOST_LEAF_CHECK(kernel::Start(daemonContext.mKernel));
      return true;
    },
    [] { return false; });
  auto& links = *kernel::Find<EntryLinks>(daemonContext.mKernel, "entry_links");
  boost::asio::basic_socket_acceptor<net::Tcp, net::Executor> acceptor(
    aContext, { boost::asio::ip::address_v4::loopback(), 0 });
  boost::system::error_code ec;
  net::Socket socket(aContext);
  socket.async_connect(links.mAcceptor.local_endpoint(), net::Await(ec));
  /// Sends a payload and returns by how much the counter of a reason has risen.
  const auto dropped = [&](const std::string& aPayload, const std::string& aReason) {
    const auto count = [&] {
      for (const auto& [name, value] : Counters(*loop.mState)) {
        if (name == "peer_messages_dropped_total{reason=\"" + aReason + "\"}") {
          return value;
        }
      }
      return std::uint64_t{ 0 };
    };
    const auto before = count();
    std::string frame;
    net::AppendFrame(frame, aPayload);
    boost::asio::async_write(socket, boost::asio::buffer(frame), net::Await(ec));
    for (int n = 0; n < 100 && count() == before; ++n) {
      net::SleepFor(aContext, milliseconds(1));
    }
    return count() - before;
  };
  message::Presence presence;
  presence.mIncarnation = kPeer;
  presence.mEntry =
    message::EntryRecord{ "peer", net::ToString(acceptor.local_endpoint()), "a", 1, 0 };
  const message::Cancel cancel{ 1, "j", "t" };
  bool passed = Expect(started && !ec, "connected to the entry");
  passed &= Expect(dropped(message::Encode(cancel), "unknown_sender") == 1, "before a presence");
  passed &= Expect(dropped(message::Encode(presence), "unknown_sender") == 0 &&
                     dropped(message::Encode(cancel), "unknown_sender") == 0,
                   "messages of version 1 are those of the process in the first presence");
  passed &= Expect(dropped("no message", "malformed") == 1 &&
                     dropped(message::EncodeFrame(cancel, { 19 }, kSelf), "former_sender") == 1 &&
                     dropped(message::EncodeFrame(cancel, kPeer, { 999 }), "other_receiver") == 1 &&
                     dropped(message::EncodeFrame(cancel, kPeer, kSelf), "unknown_sender") == 0,
                   "later frames are read, and each names its processes");
  net::Socket inbound(aContext);
  acceptor.async_accept(inbound, net::Await(ec));
  const auto frame = ReadFrame(aContext, inbound);
  passed &= Expect(frame && frame->mEnvelope == message::Envelope{ kSelf, {}, 2 },
                   "the first frame names its sender and no receiver");
  kernel::Stop(daemonContext.mKernel);
  net::SleepFor(aContext, milliseconds(5));
  return passed;
}

/// Guards against connections without messages that keep peers out, and against the loss of a peer
/// that has said who it is or has just connected.
bool UnnamedLinksMakeRoom(boost::asio::io_context& aContext)
{
  const auto now = std::chrono::steady_clock::now();
  PeerLinks links;
  const auto add = [&](std::chrono::milliseconds aAge) {
    auto link = std::make_shared<PeerLink>(net::Socket(aContext));
    link->mOpenedAt = now - aAge;
    links.insert(link);
    return link;
  };
  const auto named = add(milliseconds(9000));
  named->mNamed = true;
  const auto dialled = add(milliseconds(9000));
  dialled->mDialled = true;
  const auto fresh = add(milliseconds(0));
  bool passed = Expect(!ReplaceUnnamed(links) && CountUnnamed(links) == 1,
                       "named, dialled and fresh links are kept");
  const auto old = add(milliseconds(1500));
  const auto oldest = add(milliseconds(3000));
  passed &= Expect(ReplaceUnnamed(links) && oldest->mClosed && !old->mClosed, "the oldest first");
  passed &= Expect(ReplaceUnnamed(links) && old->mClosed, "then the other one");
  return passed && Expect(!ReplaceUnnamed(links) && !fresh->mClosed && !named->mClosed &&
                            !dialled->mClosed && CountUnnamed(links) == 1,
                          "closed links do not count");
}

} // namespace

bool EntryLinksTests(boost::asio::io_context& aContext)
{
  bool passed = ReconnectsAtOnceOnRequest(aContext);
  passed &= FailedReadersAreReplaced(aContext);
  passed &= FramesAreAttributedToTheirSender(aContext);
  passed &= UnnamedLinksMakeRoom(aContext);
  return passed;
}

} // namespace pollenwall::test
