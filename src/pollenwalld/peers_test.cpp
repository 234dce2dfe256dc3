#include "peers.h"

#include <boost/leaf/handle_errors.hpp>
#include <rapidcheck.h>

#include <pollenwall/net/frame.h>

#include <tls_test_files.h>

#include "daemon_test.h"

namespace pollenwall::test {
namespace {

using namespace daemon;

/// The peer service of an entry, whose events are queued for the test instead of handled.
struct Entry
{
  Entry(boost::asio::io_context& aContext,
        std::uint64_t aIncarnation,
        std::uint16_t aPort,
        std::shared_ptr<net::TlsKeys> aTls)
    : mDaemon(aContext)
    , mOptions(MakeOptions(aIncarnation))
    , mLoop(mDaemon, mOptions)
  {
    mDaemon.mSettings.mPeers = { "127.0.0.1", aPort };
    mDaemon.mSettings.mMaxFrameBytes = 1000;
    mPeers = std::make_unique<Peers>(mDaemon, mLoop, mOptions);
    mPeers->mTls = std::move(aTls);
    mStarted = boost::leaf::try_handle_all(
      [this]() -> Result<bool> {
        BOOST_LEAF_CHECK(StartPeers(*mPeers));
        return true;
      },
      [](const Error&) { return false; },
      [] { return false; });
    mPeers->mOwnHello.mPeerAddress = net::ToString(mPeers->mAcceptor.local_endpoint());
  }

  static node::Options MakeOptions(std::uint64_t aIncarnation)
  {
    node::Options options;
    options.mName = "entry-" + std::to_string(aIncarnation);
    options.mDataCentre = "north";
    options.mIncarnation = { aIncarnation };
    options.mSeed = aIncarnation;
    return options;
  }

  std::string Address() const { return mPeers->mOwnHello.mPeerAddress; }

  void Connect(const std::string& aAddress)
  {
    node::Connect action{ aAddress };
    mLoop.mHandlers.mConnect(action);
  }

  void Send(std::uint64_t aTo, std::uint64_t aNumber)
  {
    node::SendPeer action{ { aTo }, message::ConfigFetch{ aNumber } };
    mLoop.mHandlers.mSendPeer(action);
  }

  /// Waits for the next event of the kind and removes it from the queue; other events stay.
  template<typename Kind>
  Kind TakeEvent()
  {
    for (;;) {
      for (auto it = mLoop.mEvents.begin(); it != mLoop.mEvents.end(); ++it) {
        if (std::holds_alternative<Kind>(*it)) {
          auto event = std::get<Kind>(std::move(*it));
          mLoop.mEvents.erase(it);
          return event;
        }
      }
      mLoop.mWakeup.Wait();
    }
  }

  std::uint64_t TakeNumber()
  {
    return std::get<message::ConfigFetch>(TakeEvent<node::PeerMessage>().mMessage).mCurrentVersion;
  }

  template<typename Kind>
  std::size_t PendingCount() const
  {
    std::size_t n = 0;
    for (const auto& event : mLoop.mEvents) {
      n += std::holds_alternative<Kind>(event) ? 1 : 0;
    }
    return n;
  }

  std::uint64_t Counter(const char* aName)
  {
    return metrics::CounterValue(mDaemon.mMetrics, aName);
  }

  DaemonContext mDaemon;
  node::Options mOptions;
  NodeLoop mLoop;
  std::unique_ptr<Peers> mPeers;
  bool mStarted = false;
};

/// Makes an entry that exists until the process ends, because its fibers outlive the test.
Entry& MakeEntry(boost::asio::io_context& aContext,
                 std::uint64_t aIncarnation,
                 std::uint16_t aPort = 0,
                 std::shared_ptr<net::TlsKeys> aTls = nullptr)
{
  static std::vector<std::unique_ptr<Entry>> entries;
  entries.push_back(std::make_unique<Entry>(aContext, aIncarnation, aPort, std::move(aTls)));
  return *entries.back();
}

std::string Frame(const message::Message& aMessage)
{
  std::string frame;
  net::AppendFrame(frame, message::Encode(aMessage));
  return frame;
}

message::Message HelloOf(std::uint64_t aIncarnation)
{
  return message::Hello{ { aIncarnation }, "raw", "south", "127.0.0.1:1" };
}

/// Guards against two entries that connect to each other at the same time and then lose messages,
/// count a peer twice, or report it as down.
bool SimultaneousDialsKeepOneConnection(boost::asio::io_context& aContext)
{
  auto& one = MakeEntry(aContext, 1);
  auto& two = MakeEntry(aContext, 2);
  if (!Expect(one.mStarted && two.mStarted, "entries listen")) {
    return false;
  }
  one.Connect(two.Address());
  two.Connect(one.Address());
  bool passed = Expect(one.TakeEvent<node::PeerUp>().mHello.mIncarnation.mValue == 2, "two is up");
  passed &= Expect(two.TakeEvent<node::PeerUp>().mHello.mName == "entry-1", "one is up");
  // Some of these are sent while the second connection replaces the first.
  std::set<std::uint64_t> atOne;
  std::set<std::uint64_t> atTwo;
  for (std::uint64_t n = 0; n < 100; ++n) {
    one.Send(2, n);
    two.Send(1, n);
    atTwo.insert(two.TakeNumber());
    atOne.insert(one.TakeNumber());
  }
  passed &= Expect(atOne.size() == 100 && atTwo.size() == 100, "every message arrives once");
  passed &=
    Expect(one.PendingCount<node::PeerUp>() == 0 && one.PendingCount<node::PeerDown>() == 0 &&
             two.PendingCount<node::PeerUp>() == 0 && two.PendingCount<node::PeerDown>() == 0,
           "a peer comes up once");
  passed &= Expect(one.mPeers->mActiveLinks.size() == 1 && two.mPeers->mActiveLinks.size() == 1,
                   "one link in use");
  StopPeers(*one.mPeers);
  StopPeers(*two.mPeers);
  return passed;
}

/// Guards against a peer that stays disconnected after its process was replaced.
bool ReconnectsToANewIncarnation(boost::asio::io_context& aContext)
{
  auto& one = MakeEntry(aContext, 11);
  auto& two = MakeEntry(aContext, 12);
  const auto address = two.Address();
  const auto port = two.mPeers->mAcceptor.local_endpoint().port();
  one.Connect(address);
  bool passed = Expect(one.TakeEvent<node::PeerUp>().mHello.mIncarnation.mValue == 12, "up");
  StopPeers(*two.mPeers);
  passed &= Expect(one.TakeEvent<node::PeerDown>().mPeer.mValue == 12, "down");
  auto& next = MakeEntry(aContext, 13, port);
  passed &= Expect(next.mStarted, "the address can be used again at once");
  passed &= Expect(one.TakeEvent<node::PeerUp>().mHello.mIncarnation.mValue == 13, "up again");
  one.Send(13, 7);
  passed &= Expect(next.TakeNumber() == 7, "messages reach the new incarnation");
  StopPeers(*one.mPeers);
  StopPeers(*next.mPeers);
  return passed;
}

/// Guards against invalid input from a faulty or hostile peer that crashes the entry, is passed on,
/// or affects the connections of other peers.
bool BadFramesCloseOnlyTheirConnection(boost::asio::io_context& aContext)
{
  auto& entry = MakeEntry(aContext, 21);
  auto& good = MakeEntry(aContext, 22);
  good.Connect(entry.Address());
  entry.TakeEvent<node::PeerUp>();
  good.TakeEvent<node::PeerUp>();
  const auto hello = Frame(HelloOf(99));
  const auto heartbeat = Frame(message::Heartbeat{});
  std::string oversize("\0\0\x03\xE9", 4); // 1001: one byte over the limit.
  std::string garbage;
  net::AppendFrame(garbage, "this is no msgpack");
  const std::vector<std::pair<const char*, std::string>> cases{
    { "a frame over the limit", hello + oversize },
    { "an empty frame", hello + std::string(4, '\0') },
    { "invalid msgpack", hello + garbage },
    { "a truncated message", hello + Frame(message::Heartbeat{}).replace(0, 4, "\0\0\0\x05", 4) },
    { "a first message other than Hello", heartbeat },
    { "a second Hello", hello + hello },
  };
  bool passed = true;
  std::uint64_t bad = 0;
  for (const auto& [what, bytes] : cases) {
    Client client(aContext, entry.mPeers->mAcceptor.local_endpoint());
    client.Write(bytes);
    client.ReadAll();
    passed &= Expect(entry.Counter("peer_bad_frames_total") == ++bad, what);
  }
  const auto ups = entry.PendingCount<node::PeerUp>();
  passed &=
    Expect(ups == 5 && entry.PendingCount<node::PeerDown>() == ups, "each is reported as down");
  good.Send(21, 5);
  passed &= Expect(entry.TakeNumber() == 5, "the other peer is still connected");
  {
    Client client(aContext, entry.mPeers->mAcceptor.local_endpoint());
    client.Write(Frame(HelloOf(21)));
    client.ReadAll();
    passed &= Expect(entry.PendingCount<node::PeerUp>() == ups, "no connection to itself");
  }
  StopPeers(*entry.mPeers);
  StopPeers(*good.mPeers);
  return passed;
}

/// Guards against corrupted frames that crash the entry or affect other peers. RapidCheck supplies
/// the seed.
bool FuzzedFramesDoNotAffectOthers(boost::asio::io_context& aContext)
{
  auto& entry = MakeEntry(aContext, 31);
  auto& good = MakeEntry(aContext, 32);
  good.Connect(entry.Address());
  entry.TakeEvent<node::PeerUp>();
  std::uint64_t sent = 0;
  const bool passed = rc::check("corrupted frames do not affect other peers", [&] {
    message::Heartbeat heartbeat;
    heartbeat.mViews = { { "north", 3, 2 } };
    heartbeat.mOccupiedUpstreams = { "dispatch/w1" };
    auto bytes =
      Frame(HelloOf(99)) + Frame(heartbeat) + Frame(message::Grant{ 1, { { "a", 1 } }, {} });
    const int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes; ++n) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    Client client(aContext, entry.mPeers->mAcceptor.local_endpoint());
    client.Write(bytes);
    client.EndSending();
    client.ReadAll();
    entry.mLoop.mEvents.clear();
    good.Send(31, ++sent);
    for (;;) {
      const auto event = entry.TakeEvent<node::PeerMessage>();
      if (event.mFrom.mValue == 32) {
        RC_ASSERT(std::get<message::ConfigFetch>(event.mMessage).mCurrentVersion == sent);
        break;
      }
    }
  });
  StopPeers(*entry.mPeers);
  StopPeers(*good.mPeers);
  return passed;
}

/// Guards against peers that are accepted without a certificate signed by the authority, and
/// against concurrent reads and writes that corrupt each other on one TLS connection.
bool PeersRequireACertificate(boost::asio::io_context& aContext)
{
  auto authority = MakeKeyPair("authority", nullptr);
  auto other = MakeKeyPair("other authority", nullptr);
  auto pair = MakeKeyPair("entry", &authority);
  auto foreignPair = MakeKeyPair("stranger", &other);
  const TlsTestFiles files("peer");
  const TlsTestFiles foreignFiles("peer-stranger");
  files.Write(pair, authority);
  foreignFiles.Write(foreignPair, authority);
  const auto keys = ValueOf([&] { return net::LoadTls(files.mFiles); });
  const auto foreignKeys = ValueOf([&] { return net::LoadTls(foreignFiles.mFiles); });
  for (auto* it : { &authority, &other, &pair, &foreignPair }) {
    FreeKeyPair(*it);
  }
  if (!Expect(keys && foreignKeys, "keys load")) {
    return false;
  }
  auto& one = MakeEntry(aContext, 41, 0, *keys);
  auto& two = MakeEntry(aContext, 42, 0, *keys);
  one.Connect(two.Address());
  one.TakeEvent<node::PeerUp>();
  two.TakeEvent<node::PeerUp>();
  // Frames that span several TLS records, sent in both directions concurrently.
  node::SendPeer large{ { 42 }, message::ConfigItems{ 1, std::string(100000, 'x') } };
  bool passed = true;
  one.mPeers->mLimits.mMaxFrameBytes = two.mPeers->mLimits.mMaxFrameBytes = 1000000;
  for (int n = 0; n < 20; ++n) {
    large.mTo = { 42 };
    one.mLoop.mHandlers.mSendPeer(large);
    large.mTo = { 41 };
    two.mLoop.mHandlers.mSendPeer(large);
  }
  for (int n = 0; n < 20; ++n) {
    passed &=
      Expect(one.TakeEvent<node::PeerMessage>().mMessage == large.mMessage, "arrives whole");
    passed &=
      Expect(two.TakeEvent<node::PeerMessage>().mMessage == large.mMessage, "arrives whole");
  }
  // A peer with a foreign certificate and one without TLS are refused; the good peer stays
  // connected.
  auto& foreign = MakeEntry(aContext, 43, 0, *foreignKeys);
  foreign.Connect(one.Address());
  Client plain(aContext, one.mPeers->mAcceptor.local_endpoint());
  plain.Write(Frame(HelloOf(44)));
  plain.ReadAll();
  while (one.Counter("tls_failures_total{listener=\"peers\"}") < 2) {
    net::SleepFor(aContext, std::chrono::milliseconds(1));
  }
  one.Send(42, 9);
  passed &= Expect(two.TakeNumber() == 9, "the good peer is still connected");
  passed &= Expect(one.PendingCount<node::PeerUp>() == 0, "no other peer came up");
  for (auto* it : { &one, &two, &foreign }) {
    StopPeers(*it->mPeers);
  }
  return passed;
}

} // namespace

bool PeersTests(boost::asio::io_context& aContext)
{
  bool passed = SimultaneousDialsKeepOneConnection(aContext);
  passed &= ReconnectsToANewIncarnation(aContext);
  passed &= BadFramesCloseOnlyTheirConnection(aContext);
  passed &= FuzzedFramesDoNotAffectOthers(aContext);
  passed &= PeersRequireACertificate(aContext);
  return passed;
}

} // namespace pollenwall::test
