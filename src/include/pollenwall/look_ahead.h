#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <pollenwall/placement.h>

/// Decisions about the room of upstreams that consider which tasks wait. Pure functions.
namespace pollenwall::placement {

/// Waiting tasks of about the same needs.
struct WaitingGroup
{
  std::uint32_t mMilliCores = 0; ///< Of the first task of the group.
  std::size_t mTasks = 0;
  bool mMayStart = false; ///< Otherwise the group only counts as use for the rest of the room.
};

/// The first group in the given order whose next task can be part of a selection of waiting tasks
/// that fills the room best, or within a small tolerance of that (a subset sum). The selection has
/// to contain a task of a group with mMayStart, and the result is such a group; nothing when none
/// of them fits. Cores count in steps of a 255th of the room.
std::optional<std::size_t> ChooseForRoom(std::uint32_t aRoomMilliCores,
                                         const std::vector<WaitingGroup>& aGroups);

/// Whether a task may start on an upstream with this reservation: if it is the reserved one, goes
/// before it, will have ended by then or does not need the reserved room (backfilling: EASY, Lifka
/// 1995).
bool MayUse(const Reservation& aReservation, const Request& aRequest);

/// The expected end of a run and the room that it then leaves.
struct RunningTask
{
  Time mEnd{};
  Needs mNeeds;
};

/// When a task is expected to fit on an upstream.
struct ExpectedRoom
{
  Time mAt{};
  Needs mSpare; ///< What the task leaves free at that time.
  /// Time for which room as large as the task stays unused until then if nothing else starts.
  Duration mIdle{ 0 };
};

/// The running tasks are in the order of their ends. Nothing if the task does not fit even when all
/// of them have ended.
std::optional<ExpectedRoom> FindExpectedRoom(const Needs& aFree,
                                             std::span<const RunningTask> aRunning,
                                             const Needs& aNeeds,
                                             Time aNow);

/// For each resource the largest amount that is free on one of the service's upstreams that can
/// take a task and has no reservation. Needs beyond it fit on none of these.
Needs LargestRoom(const State& aState, ServiceIndex aService);

/// The difference of each resource; 0 where it would be negative.
Needs Minus(const Needs& aOne, const Needs& aOther);

/// What is free on an upstream.
Needs RoomOn(const State& aState, UpstreamIndex aUpstream);

} // namespace pollenwall::placement
