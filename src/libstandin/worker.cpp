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
  if (aCounts.mOrder.size() < aCounts.mCapacity) {
    aCounts.mOrder.push_back(hash);
    return starts;
  }
  aCounts.mCounts.erase(aCounts.mOrder[aCounts.mOldest]);
  aCounts.mOrder[aCounts.mOldest] = hash;
  aCounts.mOldest = (aCounts.mOldest + 1) % aCounts.mCapacity;
  ++aCounts.mForgotten;
  return starts;
}

std::uint32_t StartsOf(const StartCounts& aCounts, std::string_view aTask)
{
  const auto it = aCounts.mCounts.find(Hash64(aTask));
  return it == aCounts.mCounts.end() ? 0 : it->second;
}

std::optional<ErrorCode> CheckStart(UpstreamPort& aPort, UnixMs aNotAfterMs, UnixMs aNowMs)
{
  if (aNowMs > aNotAfterMs) {
    ++aPort.mRefusedExpired;
    return ErrorCode::Expired;
  }
  if (aPort.mLeaving) {
    ++aPort.mRefusedLeaving;
    return ErrorCode::Stopping;
  }
  if (aPort.mBusy >= aPort.mSlots) {
    ++aPort.mRefusedBusy;
    return ErrorCode::Overloaded;
  }
  return std::nullopt;
}

void BeginRun(UpstreamPort& aPort, StartCounts& aCounts, std::string_view aTask, UnixMs aNowMs)
{
  ++aPort.mBusy;
  ++aPort.mStarts;
  aPort.mLastStartMs = aNowMs;
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
    payload.mRun = std::chrono::microseconds(std::llround(ms * 1000));
  }
  if (const auto* fail = object.if_contains("fail"); fail != nullptr) {
    payload.mFail = fail->is_bool() && fail->get_bool();
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
