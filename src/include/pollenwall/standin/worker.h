#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pollenwall/time.h>
#include <pollenwall/verdict.h>

/// State and logic of the stand-in worker, without I/O.
namespace pollenwall::standin {

/// Number of starts of each task id. Holds the hashes of at most mCapacity ids and evicts the
/// oldest first.
struct StartCounts
{
  std::size_t mCapacity = 4000000;
  std::unordered_map<std::uint64_t, std::uint32_t> mCounts;
  std::vector<std::uint64_t> mRing; ///< Ring buffer of the hashes, ordered by first start.
  std::size_t mOldestIndex = 0;     ///< Index in mRing of the next hash to evict, once it is full.
  std::uint64_t mStarts = 0;
  std::uint64_t mDuplicates = 0; ///< Starts of an id that had started before.
  std::uint64_t mEvicted = 0;
  std::vector<std::string> mDuplicateIds; ///< The first 100, for a report.
};

/// Counts one start and returns the number of starts of this id so far.
std::uint32_t CountStart(StartCounts& aCounts, std::string_view aTask);
std::uint32_t StartCountOf(const StartCounts& aCounts, std::string_view aTask);

/// State of one upstream; each upstream has its own port.
struct UpstreamState
{
  std::uint32_t mSlots = 8;
  std::uint32_t mBusy = 0;
  bool mLeaving = false;
  std::uint64_t mStarts = 0;
  std::uint64_t mSucceeded = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mRefusedBusy = 0;
  std::uint64_t mRefusedLeaving = 0;
  std::uint64_t mRefusedExpired = 0;
  std::uint64_t mRefusedByFault = 0;
  UnixMs mLeavingSinceMs = 0;
  UnixMs mLastStartMs = 0;
};

/// Returns why a start is refused, or nothing when it may run: Expired, Stopping or Overloaded.
/// Counts the refusal.
std::optional<ErrorCode> CheckStart(UpstreamState& aState, UnixMs aNotAfterMs, UnixMs aNowMs);

/// Occupies a slot of the upstream and counts the start.
void BeginRun(UpstreamState& aState, StartCounts& aCounts, std::string_view aTask, UnixMs aNowMs);

struct Payload
{
  std::chrono::microseconds mRunTime{ 0 };
  std::string mKey;         ///< Task key chosen by the caller; empty when there is none.
  std::string mEcho;        ///< JSON text for the result; the key when there is no echo.
  bool mShouldFail = false; ///< The task fails when its run ends.
};

/// Parses {"run_ms": N, "echo": any, "key": "...", "fail": bool}, all optional; run_ms may have a
/// fraction. Returns nothing for any other text.
std::optional<Payload> ParsePayload(std::string_view aBody);

} // namespace pollenwall::standin
