#include <pollenwall/look_ahead.h>

#include <algorithm>
#include <bitset>
#include <cmath>

namespace pollenwall::placement {
namespace {

constexpr std::size_t kSteps = 255;
/// Steps by which a selection may fill the room less than the best one, if it serves a more urgent
/// task: 2% of the room.
constexpr std::size_t kTolerance = 5;

/// Bit n: some selection of tasks needs n steps.
using Sums = std::bitset<kSteps + 1>;

Needs Plus(const Needs& aOne, const Needs& aOther)
{
  return { aOne.mMilliCores + aOther.mMilliCores,
           aOne.mMemoryBytes + aOther.mMemoryBytes,
           aOne.mAccelerators + aOther.mAccelerators };
}

} // namespace

std::optional<std::size_t> ChooseForRoom(std::uint32_t aRoomMilliCores,
                                         const std::vector<WaitingGroup>& aGroups)
{
  const std::uint32_t step = std::max<std::uint32_t>(1, (aRoomMilliCores + kSteps - 1) / kSteps);
  const std::size_t room = aRoomMilliCores / step;
  const auto stepsOf = [step](const WaitingGroup& aGroup) -> std::size_t {
    return (aGroup.mMilliCores + step - 1) / step;
  };
  const auto countOf = [room](std::size_t aSteps, const WaitingGroup& aGroup) {
    return aSteps == 0 ? 0 : std::min(aGroup.mTasks, room / aSteps);
  };
  Sums others;
  others.set(0);
  for (const auto& group : aGroups) {
    const auto steps = stepsOf(group);
    for (auto n = group.mMayStart ? 0 : countOf(steps, group); n > 0; --n) {
      others |= others << steps;
    }
  }
  // The sums of selections with a task that may start, by the first group that they may contain.
  std::vector<Sums> sums(aGroups.size() + 1);
  for (auto n = aGroups.size(); n-- > 0;) {
    sums[n] = sums[n + 1];
    if (!aGroups[n].mMayStart) {
      continue;
    }
    const auto steps = stepsOf(aGroups[n]);
    auto shifted = sums[n + 1] | others;
    for (auto count = countOf(steps, aGroups[n]); count > 0; --count) {
      shifted <<= steps;
      sums[n] |= shifted;
    }
  }
  auto best = room + 1;
  while (best-- > 0 && !sums[0][best]) {
  }
  if (best > room) {
    return std::nullopt;
  }
  const auto least = best - std::min(best, kTolerance);
  // A selection without the groups before n exists only if none of these could be part of one.
  for (std::size_t n = 0; n < aGroups.size(); ++n) {
    if (!aGroups[n].mMayStart) {
      continue;
    }
    const auto steps = stepsOf(aGroups[n]);
    auto shifted = sums[n + 1] | others;
    for (auto count = countOf(steps, aGroups[n]); count > 0; --count) {
      shifted <<= steps;
      for (auto sum = least; sum <= best; ++sum) {
        if (shifted[sum]) {
          return n;
        }
      }
    }
  }
  return std::nullopt;
}

bool MayUse(const Reservation& aReservation, const Request& aRequest)
{
  return aReservation.mLane == kNone || aReservation.mLane == aRequest.mLane ||
         aRequest.mRank < aReservation.mRank || aRequest.mLikelyEnd <= aReservation.mFrom ||
         MeetsNeeds(aReservation.mSpare, aRequest.mNeeds);
}

std::optional<ExpectedRoom> FindExpectedRoom(const Needs& aFree,
                                             std::span<const RunningTask> aRunning,
                                             const Needs& aNeeds,
                                             Time aNow)
{
  ExpectedRoom expected{ aNow, aFree, Duration{ 0 } };
  for (const auto& running : aRunning) {
    if (MeetsNeeds(expected.mSpare, aNeeds)) {
      break;
    }
    const auto end = std::max(expected.mAt, running.mEnd);
    const double share = std::min(
      1.0, static_cast<double>(expected.mSpare.mMilliCores) / std::max(1U, aNeeds.mMilliCores));
    expected.mIdle +=
      Duration{ std::llround(share * static_cast<double>((end - expected.mAt).count())) };
    expected.mAt = end;
    expected.mSpare = Plus(expected.mSpare, running.mNeeds);
  }
  if (!MeetsNeeds(expected.mSpare, aNeeds)) {
    return std::nullopt;
  }
  expected.mSpare = Minus(expected.mSpare, aNeeds);
  return expected;
}

Needs Minus(const Needs& aOne, const Needs& aOther)
{
  return { aOne.mMilliCores - std::min(aOne.mMilliCores, aOther.mMilliCores),
           aOne.mMemoryBytes - std::min(aOne.mMemoryBytes, aOther.mMemoryBytes),
           aOne.mAccelerators - std::min(aOne.mAccelerators, aOther.mAccelerators) };
}

Needs RoomOn(const State& aState, UpstreamIndex aUpstream)
{
  const auto& upstream = aState.mUpstreams[aUpstream];
  return Minus(aState.mPools[upstream.mService].mShapes[upstream.mShape].mCapacity, upstream.mUsed);
}

Needs LargestRoom(const State& aState, ServiceIndex aService)
{
  Needs largest;
  for (const auto& shape : aState.mPools[aService].mShapes) {
    for (const auto index : shape.mFree) {
      const auto& upstream = aState.mUpstreams[index];
      if (upstream.mReservation.mLane != kNone) {
        continue;
      }
      const auto room = Minus(shape.mCapacity, upstream.mUsed);
      largest.mMilliCores = std::max(largest.mMilliCores, room.mMilliCores);
      largest.mMemoryBytes = std::max(largest.mMemoryBytes, room.mMemoryBytes);
      largest.mAccelerators = std::max(largest.mAccelerators, room.mAccelerators);
    }
  }
  return largest;
}

} // namespace pollenwall::placement
