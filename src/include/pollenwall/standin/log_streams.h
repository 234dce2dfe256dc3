#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <pollenwall/time.h>

/// State and logic of the stand-in log service, without I/O.
namespace pollenwall::standin {

struct StreamLimits
{
  std::chrono::milliseconds mRetention{ 3600000 };
  std::size_t mRetentionBytes = 64 << 20; ///< Per stream.
};

struct StreamRecord
{
  std::uint64_t mOffset = 0;
  UnixMs mAtMs = 0;
  std::string mData;
};

/// Offsets rise by 1 from 0 and are never reused.
struct Stream
{
  std::uint64_t mEnd = 0;
  std::size_t mBytes = 0;
  std::deque<StreamRecord> mRecords;
};

/// Removes records beyond the limits. The newest record is removed for its age only, whatever its
/// size.
void ExpireRecords(Stream& aStream, const StreamLimits& aLimits, UnixMs aNowMs);

/// Appends a record and returns its offset.
std::uint64_t AppendRecord(Stream& aStream,
                           const StreamLimits& aLimits,
                           std::string aData,
                           UnixMs aNowMs);

/// Offset of the oldest retained record; mEnd when there is none.
std::uint64_t FirstOffset(const Stream& aStream);

struct Page
{
  std::uint64_t mFirst = 0;
  std::uint64_t mNext = 0; ///< Where the next read begins.
  std::uint64_t mEnd = 0;  ///< Offset of the next append.
  std::vector<const StreamRecord*> mRecords;
};

/// Reads at most aMaxRecords records from aFrom on and stops after the record that reaches
/// aMaxBytes. A read below the oldest retained offset begins at that offset.
Page ReadRecords(const Stream& aStream,
                 std::uint64_t aFrom,
                 std::uint64_t aMaxRecords,
                 std::size_t aMaxBytes);

/// {"first", "next", "end", "records": [{"offset", "at_ms", "data"}]}; data is the record's text as
/// a JSON string.
std::string PageToJson(const Page& aPage);

/// A token bucket.
struct RateLimiter
{
  double mPerSecond = 500;
  double mBurst = 100;
  double mTokens = 100;
  Time mLastRefill{};
};

bool TakeToken(RateLimiter& aLimiter, Time aNow);

} // namespace pollenwall::standin
