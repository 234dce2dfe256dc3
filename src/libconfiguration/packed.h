#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenwall::configuration {

/// Objects with a longer text are packed, so that a configuration of design size fits into one
/// record of a log service that takes 1 MiB.
inline constexpr std::size_t kPackAboveBytes = 64 * 1024;

/// Raw deflate (RFC 1951) in base64.
std::string Pack(std::string_view aText);

/// The text of a packed one; nothing when it is malformed or longer than the limit.
std::optional<std::string> Unpack(std::string_view aPacked, std::size_t aMaxBytes);

} // namespace pollenwall::configuration
