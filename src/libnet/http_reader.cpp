#include "http_reader.h"

#include <algorithm>

#include <pollenwall/net/fiber.h>

namespace pollenwall::net {
namespace {

namespace http = boost::beast::http;

/// Bytes of a last chunk's line and of line ends, which are not part of trailers and extensions.
constexpr std::size_t kFramingBytes = 64;
/// Of one field in the parsed message, in addition to its text: list and set nodes, allocation.
constexpr std::size_t kFieldOverhead = 96;
/// Colon and line end of a field.
constexpr std::size_t kFieldFraming = 3;

std::size_t FieldText(const http::fields& aFields)
{
  std::size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += field.name_string().size() + field.value().size() + kFieldFraming;
  }
  return bytes;
}

/// Reads more input into the buffer, or tells the parser that the input has ended.
void ReadMore(RequestReader& aReader, boost::system::error_code& aEc)
{
  if (!aReader.mOnProgress()) {
    aEc = boost::asio::error::operation_aborted;
    return;
  }
  const auto n = aReader.mStream.async_read_some(aReader.mBuffer.prepare(kReadBytes), Await(aEc));
  aReader.mBuffer.commit(n);
  if (aEc != boost::asio::error::eof) {
    return;
  }
  if (!aReader.mParser.got_some()) {
    aEc = http::error::end_of_stream;
    return;
  }
  aEc = {};
  aReader.mParser.put_eof(aEc);
}

/// Feeds the parser until aDone holds. aMayRead is asked before each read.
template<typename Done, typename MayRead>
bool ReadUntil(RequestReader& aReader,
               boost::system::error_code& aEc,
               const Done& aDone,
               const MayRead& aMayRead)
{
  auto& buffer = aReader.mBuffer;
  while (!aDone()) {
    aEc = http::error::need_more;
    if (buffer.size() > 0) {
      buffer.consume(aReader.mParser.put(buffer.data(), aEc));
    }
    if (!aEc) {
      continue;
    }
    if (aEc != http::error::need_more) {
      return false;
    }
    aEc = {};
    if (!aMayRead()) {
      return false;
    }
    ReadMore(aReader, aEc);
    if (aEc) {
      return false;
    }
  }
  aEc = {};
  return true;
}

} // namespace

std::size_t MaxBufferBytes(std::size_t aMaxHeaderBytes, std::size_t aMaxTrailerBytes)
{
  return std::max(aMaxHeaderBytes, aMaxTrailerBytes) + kFramingBytes + 2 * kReadBytes;
}

ReadStatus ReadRequest(RequestReader& aReader, boost::system::error_code& aEc)
{
  auto& parser = aReader.mParser;
  const auto limit = aReader.mMaxTrailerBytes;
  std::size_t extensionBytes = 0;
  auto onChunk =
    [&](std::uint64_t, boost::beast::string_view aText, boost::system::error_code& aError) {
      extensionBytes += aText.size();
      if (extensionBytes > limit) {
        aError = http::error::buffer_overflow;
      }
    };
  parser.on_chunk_header(onChunk);
  parser.eager(false);
  const auto always = [] { return true; };
  if (!ReadUntil(
        aReader, aEc, [&parser] { return parser.is_header_done(); }, always)) {
    return ReadStatus::Failed;
  }
  const auto headerText = FieldText(parser.get());
  if (!aReader.mOnProgress()) {
    aEc = boost::asio::error::operation_aborted;
    return ReadStatus::Failed;
  }
  if (!parser.is_done() &&
      boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    http::async_write(aReader.mStream, proceed, Await(aEc));
    if (aEc) {
      return ReadStatus::Failed;
    }
  }
  parser.eager(true);
  // The parser leaves only an incomplete line of a chunk or incomplete trailers in the buffer.
  const auto fits = [&] {
    return aReader.mBuffer.size() + extensionBytes <= limit + kFramingBytes;
  };
  if (!ReadUntil(
        aReader, aEc, [&parser] { return parser.is_done(); }, fits)) {
    const bool tooLong = aEc ? aEc == http::error::buffer_overflow : true;
    return tooLong ? ReadStatus::TrailersTooLong : ReadStatus::Failed;
  }
  return extensionBytes + FieldText(parser.get()) - headerText > limit ? ReadStatus::TrailersTooLong
                                                                       : ReadStatus::Complete;
}

std::size_t FieldMemory(const http::fields& aFields)
{
  std::size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += field.name_string().size() + field.value().size() + kFieldOverhead;
  }
  return bytes;
}

} // namespace pollenwall::net
