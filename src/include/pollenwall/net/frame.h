#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Message frames over TCP: a 4-byte big-endian payload length, then the payload.
namespace pollenwall::net {

inline constexpr std::size_t kFrameHeaderBytes = 4;

void AppendFrame(std::string& aOut, std::string_view aPayload);

enum class FrameStatus
{
  Complete,
  Incomplete,
  TooLarge, ///< The length is 0 or exceeds the limit; the connection must be closed.
};

/// Parses the frame at the start of the input. If it is complete, aPayload refers into the input,
/// and the frame occupies kFrameHeaderBytes + aPayload.size() bytes.
FrameStatus ParseFrame(std::string_view aInput, std::size_t aMaxBytes, std::string_view& aPayload);

} // namespace pollenwall::net
