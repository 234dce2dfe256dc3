#pragma once

#include <functional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <pollenwall/net/stream.h>

namespace pollenwall::net {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Bytes that one read takes from a connection.
inline constexpr std::size_t kReadBytes = 4096;

enum class ReadStatus
{
  Complete,
  Failed,          ///< The error code has the reason.
  TrailersTooLong, ///< Trailers and chunk extensions together exceed their limit.
};

/// Reads one request. Unlike Beast's own functions it also bounds trailers and chunk extensions,
/// which Beast keeps in the buffer until they are complete.
struct RequestReader
{
  Stream& mStream;
  boost::beast::flat_buffer& mBuffer;
  RequestParser& mParser;
  std::size_t mMaxTrailerBytes;
  /// Called after the header, and before each read of a connection. False ends the reading with the
  /// error operation_aborted.
  std::function<bool()> mOnProgress;
};

/// The largest buffer that ReadRequest fills with these limits.
std::size_t MaxBufferBytes(std::size_t aMaxHeaderBytes, std::size_t aMaxTrailerBytes);

ReadStatus ReadRequest(RequestReader& aReader, boost::system::error_code& aEc);

/// Memory that the fields of a request take.
std::size_t FieldMemory(const boost::beast::http::fields& aFields);

} // namespace pollenwall::net
