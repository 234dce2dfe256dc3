#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenwall::configuration {

/// Objects with a longer JSON text are packed, so that a configuration of the size that the system
/// is designed for fits into one record of a log service that accepts at most 1 MiB.
inline constexpr std::size_t kPackThresholdBytes = 64 * 1024;

/// The text compressed by raw deflate (RFC 1951), in base64.
std::string Pack(std::string_view aText);

/// Inverse of Pack; nothing when the input is malformed or the text is longer than aMaxBytes.
std::optional<std::string> Unpack(std::string_view aPacked, std::size_t aMaxBytes);

} // namespace pollenwall::configuration
