#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Frames over TCP: a 4-byte big-endian length, then that many bytes.
namespace pollenwall::net {

inline constexpr std::size_t kFrameHeaderBytes = 4;

void AppendFrame(std::string& aOut, std::string_view aPayload);

enum class FrameStatus
{
  Complete,
  Incomplete,
  TooLarge, ///< The length is 0 or exceeds the limit: the connection cannot be used further.
};

/// Looks for a frame at the start of the input. When complete, aPayload refers into the input and
/// the frame occupies kFrameHeaderBytes + aPayload.size() bytes.
FrameStatus TakeFrame(std::string_view aInput, std::size_t aMaxBytes, std::string_view& aPayload);

} // namespace pollenwall::net
