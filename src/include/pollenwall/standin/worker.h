#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <pollenwall/time.h>
#include <pollenwall/verdict.h>

/// The rules of the stand-in worker, without I/O.
namespace pollenwall::standin {

/// Starts of each task id. Holds hashes of at most mCapacity ids; the oldest are forgotten first.
struct StartCounts
{
  std::size_t mCapacity = 4000000;
  std::unordered_map<std::uint64_t, std::uint32_t> mCounts;
  std::vector<std::uint64_t> mOrder; ///< Ring of the known ids in the order of their first start.
  std::size_t mOldest = 0;           ///< Place in the ring, once it is full.
  std::uint64_t mStarts = 0;
  std::uint64_t mDuplicates = 0; ///< Starts of an id that had started before.
  std::uint64_t mForgotten = 0;
  std::vector<std::string> mDuplicateIds; ///< The first hundred, for a report.
};

/// Counts one start; returns the starts of this id so far.
std::uint32_t CountStart(StartCounts& aCounts, std::string_view aTask);
std::uint32_t StartsOf(const StartCounts& aCounts, std::string_view aTask);

/// One upstream, which has a port of its own.
struct UpstreamPort
{
  std::uint32_t mSlots = 8;
  std::uint32_t mBusy = 0;
  bool mLeaving = false;
  std::uint64_t mStarts = 0;
  std::uint64_t mEnded = 0;
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
std::optional<ErrorCode> CheckStart(UpstreamPort& aPort, UnixMs aNotAfterMs, UnixMs aNowMs);

/// Counts a start on the port and in the counts.
void BeginRun(UpstreamPort& aPort, StartCounts& aCounts, std::string_view aTask, UnixMs aNowMs);

struct Payload
{
  std::chrono::microseconds mRun{ 0 };
  std::string mKey;   ///< The caller's own name of the task; empty when there is none.
  std::string mEcho;  ///< As JSON text; the key when the payload has no echo.
  bool mFail = false; ///< The task fails when its run ends.
};

/// Parses {"run_ms": N, "echo": any, "key": "...", "fail": bool}, all optional; run_ms may have a
/// fraction. Returns nothing for any other text.
std::optional<Payload> ParsePayload(std::string_view aBody);

} // namespace pollenwall::standin
