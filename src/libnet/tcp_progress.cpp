#include "tcp_progress.h"

#include <cstddef>

// The tcp_info of <netinet/tcp.h>, which Asio includes, lacks tcpi_bytes_acked.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace pollenwall::net {

std::uint64_t AcknowledgedBytes(int aSocket)
{
  tcp_info info{};
  socklen_t length = sizeof info;
  const bool known = ::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
                     length >= offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
  return known ? info.tcpi_bytes_acked : 0;
}

} // namespace pollenwall::net
