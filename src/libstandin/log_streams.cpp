#include <pollenwall/standin/log_streams.h>

#include <algorithm>

#include <boost/json.hpp>

namespace pollenwall::standin {

void ExpireRecords(Stream& aStream, const StreamLimits& aLimits, UnixMs aNowMs)
{
  while (!aStream.mRecords.empty()) {
    const auto& oldest = aStream.mRecords.front();
    const bool tooOld = aNowMs - oldest.mAtMs > aLimits.mRetention.count();
    const bool tooLarge = aStream.mBytes > aLimits.mRetentionBytes && aStream.mRecords.size() > 1;
    if (!tooOld && !tooLarge) {
      return;
    }
    aStream.mBytes -= oldest.mData.size();
    aStream.mRecords.pop_front();
  }
}

std::uint64_t AppendRecord(Stream& aStream,
                           const StreamLimits& aLimits,
                           std::string aData,
                           UnixMs aNowMs)
{
  const auto offset = aStream.mEnd++;
  aStream.mBytes += aData.size();
  aStream.mRecords.push_back({ offset, aNowMs, std::move(aData) });
  ExpireRecords(aStream, aLimits, aNowMs);
  return offset;
}

std::uint64_t FirstOffset(const Stream& aStream)
{
  return aStream.mRecords.empty() ? aStream.mEnd : aStream.mRecords.front().mOffset;
}

Page ReadRecords(const Stream& aStream,
                 std::uint64_t aFrom,
                 std::uint64_t aMaxRecords,
                 std::size_t aMaxBytes)
{
  Page page;
  page.mFirst = FirstOffset(aStream);
  page.mEnd = aStream.mEnd;
  page.mNext = std::clamp(aFrom, page.mFirst, page.mEnd);
  std::size_t bytes = 0;
  while (page.mNext < page.mEnd && page.mRecords.size() < aMaxRecords && bytes < aMaxBytes) {
    const auto& record = aStream.mRecords[page.mNext - page.mFirst];
    page.mRecords.push_back(&record);
    bytes += record.mData.size();
    ++page.mNext;
  }
  return page;
}

std::string PageToJson(const Page& aPage)
{
  std::string text = "{\"first\":" + std::to_string(aPage.mFirst) +
                     ",\"next\":" + std::to_string(aPage.mNext) +
                     ",\"end\":" + std::to_string(aPage.mEnd) + ",\"records\":[";
  for (const auto* record : aPage.mRecords) {
    if (record != aPage.mRecords.front()) {
      text += ",";
    }
    text += "{\"offset\":" + std::to_string(record->mOffset) +
            ",\"at_ms\":" + std::to_string(record->mAtMs) +
            ",\"data\":" + boost::json::serialize(boost::json::string_view(record->mData)) + "}";
  }
  return text + "]}";
}

bool TakeToken(RateLimiter& aLimiter, Time aNow)
{
  const std::chrono::duration<double> passed = aNow - aLimiter.mLastRefill;
  aLimiter.mTokens =
    std::min(aLimiter.mBurst, aLimiter.mTokens + passed.count() * aLimiter.mPerSecond);
  aLimiter.mLastRefill = aNow;
  if (aLimiter.mTokens < 1) {
    return false;
  }
  aLimiter.mTokens -= 1;
  return true;
}

} // namespace pollenwall::standin
