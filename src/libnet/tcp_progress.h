#pragma once

#include <cstdint>

namespace pollenwall::net {

/// Bytes that the other side of a TCP connection has acknowledged; 0 if the system does not tell.
std::uint64_t AcknowledgedBytes(int aSocket);

} // namespace pollenwall::net
