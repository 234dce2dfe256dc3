// A stand-in for the network between data centres: replaces connect() of the process into which it
// is preloaded and leads connections to some addresses to a forwarder instead. The forwarder can
// then stall them, which needs no privileges. The environment variable POLLENWALL_CONNECT_MAP has
// the form "IP:PORT=IP:PORT,..."; connections to other addresses are untouched.
//
// It also counts the bytes that the process receives and sends through sockets, in two 64-bit
// numbers at the start of the file that POLLENWALL_BYTES_FILE names: the kernel keeps no such count
// for a process.

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Key = std::pair<std::uint32_t, std::uint16_t>; ///< Address and port in network order.

bool ParseKey(std::string_view aText, Key& aKey)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string address(aText.substr(0, colon));
  const std::string port(aText.substr(colon + 1));
  in_addr number{};
  if (inet_pton(AF_INET, address.c_str(), &number) != 1) {
    return false;
  }
  aKey = { number.s_addr,
           htons(static_cast<std::uint16_t>(std::strtoul(port.c_str(), nullptr, 10))) };
  return true;
}

std::map<Key, Key> ReadMap()
{
  std::map<Key, Key> map;
  const char* text = std::getenv("POLLENWALL_CONNECT_MAP");
  std::string_view rest = text == nullptr ? "" : text;
  while (!rest.empty()) {
    const auto item = rest.substr(0, rest.find(','));
    rest.remove_prefix(item.size() < rest.size() ? item.size() + 1 : rest.size());
    const auto equals = item.find('=');
    Key from;
    Key to;
    if (equals != std::string_view::npos && ParseKey(item.substr(0, equals), from) &&
        ParseKey(item.substr(equals + 1), to)) {
      map[from] = to;
    }
  }
  return map;
}

struct ByteCounts
{
  std::atomic<std::uint64_t> mReceived;
  std::atomic<std::uint64_t> mSent;
};

/// The counts in the file, or in memory that nobody reads when there is no file.
ByteCounts& Counts()
{
  static ByteCounts* counts = [] {
    static ByteCounts unread;
    const char* name = std::getenv("POLLENWALL_BYTES_FILE");
    const int file = name == nullptr ? -1 : ::open(name, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(ByteCounts)) != 0) {
      return &unread;
    }
    void* memory = ::mmap(nullptr, sizeof(ByteCounts), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return memory == MAP_FAILED ? &unread : static_cast<ByteCounts*>(memory);
  }();
  return *counts;
}

/// The next definition of a function, which is the C library's.
template<typename Function>
Function* Next(const char* aName)
{
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, aName));
}

void Count(std::atomic<std::uint64_t>& aCount, ssize_t aBytes)
{
  if (aBytes > 0) {
    aCount.fetch_add(static_cast<std::uint64_t>(aBytes), std::memory_order_relaxed);
  }
}

} // namespace

extern "C" ssize_t recv(int aSocket, void* aBuffer, size_t aSize, int aFlags)
{
  static auto* const kReal = Next<decltype(recv)>("recv");
  const auto n = kReal(aSocket, aBuffer, aSize, aFlags);
  Count(Counts().mReceived, (aFlags & MSG_PEEK) != 0 ? 0 : n);
  return n;
}

extern "C" ssize_t recvmsg(int aSocket, msghdr* aMessage, int aFlags)
{
  static auto* const kReal = Next<decltype(recvmsg)>("recvmsg");
  const auto n = kReal(aSocket, aMessage, aFlags);
  Count(Counts().mReceived, (aFlags & MSG_PEEK) != 0 ? 0 : n);
  return n;
}

extern "C" ssize_t send(int aSocket, const void* aBuffer, size_t aSize, int aFlags)
{
  static auto* const kReal = Next<decltype(send)>("send");
  const auto n = kReal(aSocket, aBuffer, aSize, aFlags);
  Count(Counts().mSent, n);
  return n;
}

extern "C" ssize_t sendmsg(int aSocket, const msghdr* aMessage, int aFlags)
{
  static auto* const kReal = Next<decltype(sendmsg)>("sendmsg");
  const auto n = kReal(aSocket, aMessage, aFlags);
  Count(Counts().mSent, n);
  return n;
}

extern "C" int connect(int aSocket, const sockaddr* aAddress, socklen_t aLength)
{
  static auto* const kReal = Next<decltype(connect)>("connect");
  static const auto kMap = ReadMap();
  if (aAddress == nullptr || aAddress->sa_family != AF_INET || aLength < sizeof(sockaddr_in)) {
    return kReal(aSocket, aAddress, aLength);
  }
  sockaddr_in address{};
  std::memcpy(&address, aAddress, sizeof address);
  const auto it = kMap.find({ address.sin_addr.s_addr, address.sin_port });
  if (it == kMap.end()) {
    return kReal(aSocket, aAddress, aLength);
  }
  address.sin_addr.s_addr = it->second.first;
  address.sin_port = it->second.second;
  return kReal(aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}
