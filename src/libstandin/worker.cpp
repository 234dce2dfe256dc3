#include <pollenwall/standin/worker.h>

#include <cmath>

#include <boost/json.hpp>

#include <pollenwall/hash.h>

namespace pollenwall::standin {
namespace {

constexpr std::size_t kMaxDuplicateIds = 100;
constexpr double kMaxRunMs = 3600000;

} // namespace

std::uint32_t CountStart(StartCounts& aCounts, std::string_view aTask)
{
  ++aCounts.mStarts;
  const auto hash = Hash64(aTask);
  auto& n = aCounts.mCounts[hash];
  ++n;
  const auto starts = n;
  if (starts > 1) {
    ++aCounts.mDuplicates;
    if (aCounts.mDuplicateIds.size() < kMaxDuplicateIds) {
      aCounts.mDuplicateIds.emplace_back(aTask);
    }
    return starts;
  }
  if (aCounts.mRing.size() < aCounts.mCapacity) {
    aCounts.mRing.push_back(hash);
    return starts;
  }
  aCounts.mCounts.erase(aCounts.mRing[aCounts.mOldestIndex]);
  aCounts.mRing[aCounts.mOldestIndex] = hash;
  aCounts.mOldestIndex = (aCounts.mOldestIndex + 1) % aCounts.mCapacity;
  ++aCounts.mEvicted;
  return starts;
}

std::uint32_t StartCountOf(const StartCounts& aCounts, std::string_view aTask)
{
  const auto it = aCounts.mCounts.find(Hash64(aTask));
  return it == aCounts.mCounts.end() ? 0 : it->second;
}

std::optional<ErrorCode> CheckStart(UpstreamState& aState, UnixMs aNotAfterMs, UnixMs aNowMs)
{
  if (aNowMs > aNotAfterMs) {
    ++aState.mRefusedExpired;
    return ErrorCode::Expired;
  }
  if (aState.mLeaving) {
    ++aState.mRefusedLeaving;
    return ErrorCode::Stopping;
  }
  if (aState.mBusy >= aState.mSlots) {
    ++aState.mRefusedBusy;
    return ErrorCode::Overloaded;
  }
  return std::nullopt;
}

void BeginRun(UpstreamState& aState, StartCounts& aCounts, std::string_view aTask, UnixMs aNowMs)
{
  ++aState.mBusy;
  ++aState.mStarts;
  aState.mLastStartMs = aNowMs;
  CountStart(aCounts, aTask);
}

std::optional<Payload> ParsePayload(std::string_view aBody)
{
  unsigned char buf[4096];
  boost::json::monotonic_resource memory(buf, sizeof buf);
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec, &memory);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  Payload payload;
  const auto& object = value.get_object();
  if (const auto* run = object.if_contains("run_ms"); run != nullptr) {
    boost::system::error_code notNumber;
    const auto ms = run->to_number<double>(notNumber);
    if (notNumber || !(ms >= 0 && ms <= kMaxRunMs)) {
      return std::nullopt;
    }
    payload.mRunTime = std::chrono::microseconds(std::llround(ms * 1000));
  }
  if (const auto* fail = object.if_contains("fail"); fail != nullptr) {
    payload.mShouldFail = fail->is_bool() && fail->get_bool();
  }
  if (const auto* key = object.if_contains("key"); key != nullptr && key->is_string()) {
    payload.mKey = key->get_string();
  }
  if (const auto* echo = object.if_contains("echo"); echo != nullptr) {
    payload.mEcho = boost::json::serialize(*echo);
  } else {
    payload.mEcho = boost::json::serialize(boost::json::string_view(payload.mKey));
  }
  return payload;
}

} // namespace pollenwall::standin
