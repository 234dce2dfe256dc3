#include <pollenwall/net/frame.h>

#include <cstdint>

#include <boost/endian/conversion.hpp>

namespace pollenwall::net {

void AppendFrame(std::string& aOut, std::string_view aPayload)
{
  unsigned char header[kFrameHeaderBytes];
  boost::endian::store_big_u32(header, static_cast<std::uint32_t>(aPayload.size()));
  aOut.append(reinterpret_cast<const char*>(header), sizeof header);
  aOut += aPayload;
}

FrameStatus ParseFrame(std::string_view aInput, std::size_t aMaxBytes, std::string_view& aPayload)
{
  if (aInput.size() < kFrameHeaderBytes) {
    return FrameStatus::Incomplete;
  }
  const std::size_t n =
    boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(aInput.data()));
  if (n == 0 || n > aMaxBytes) {
    return FrameStatus::TooLarge;
  }
  if (aInput.size() - kFrameHeaderBytes < n) {
    return FrameStatus::Incomplete;
  }
  aPayload = aInput.substr(kFrameHeaderBytes, n);
  return FrameStatus::Complete;
}

} // namespace pollenwall::net
