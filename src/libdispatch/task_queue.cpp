#include <pollenwall/task_queue.h>

#include <algorithm>

#include <pollenwall/free_memory.h>

namespace pollenwall::queue {
namespace {

auto SlicePositionSetter(Queue& aQueue)
{
  return [&aQueue](std::uint32_t aSlice, std::uint32_t aPosition) {
    aQueue.mSlices[aSlice].mPosition = aPosition;
  };
}

auto TeamPositionSetter(Lane& aLane)
{
  return [&aLane](std::uint32_t aTeam, std::uint32_t aPosition) {
    aLane.mTeams[aTeam].mPosition = aPosition;
  };
}

void CountTasks(Queue& aQueue, const Slice& aSlice, std::size_t aAdded, std::size_t aRemoved)
{
  auto& team = aQueue.mTeams[aSlice.mTeam];
  const bool wasActive = team.mTasks > 0;
  team.mTasks += aAdded - aRemoved;
  aQueue.mTasks += aAdded - aRemoved;
  aQueue.mLanes[aSlice.mLane].mTasks += aAdded - aRemoved;
  if (wasActive == (team.mTasks > 0)) {
    return;
  }
  aQueue.mActiveWeight += wasActive ? -team.mWeight : team.mWeight;
  // An idle team accumulates no credit, but one that was served beyond its share stays behind.
  if (!wasActive) {
    team.mVirtualTime = std::max(team.mVirtualTime, aQueue.mVirtualTime);
  }
}

/// Inserts a team with slices into the lane's heap of teams or updates its position there.
void UpdateTeamPosition(Queue& aQueue, Lane& aLane, TeamIndex aTeam)
{
  auto& teamQueue = aLane.mTeams[aTeam];
  const TeamKey key{ aQueue.mTeams[aTeam].mVirtualTime,
                     aTeam,
                     teamQueue.mSlices.mItems.front().mKey.mCanWait };
  if (teamQueue.mPosition == heap::kNotInHeap) {
    heap::Push(aLane.mActive, key, aTeam, TeamPositionSetter(aLane));
  } else {
    heap::UpdateKey(aLane.mActive, teamQueue.mPosition, key, TeamPositionSetter(aLane));
  }
}

/// Inserts a slice that has tasks.
void AddToHeaps(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey)
{
  const auto& slice = aQueue.mSlices[aSlice];
  auto& lane = aQueue.mLanes[slice.mLane];
  if (lane.mTeams.size() <= slice.mTeam) {
    lane.mTeams.resize(aQueue.mTeams.size());
  }
  auto& teamQueue = lane.mTeams[slice.mTeam];
  heap::Push(teamQueue.mSlices, aKey, aSlice, SlicePositionSetter(aQueue));
  UpdateTeamPosition(aQueue, lane, slice.mTeam);
}

void RemoveFromHeaps(Queue& aQueue, SliceIndex aSlice)
{
  const auto& slice = aQueue.mSlices[aSlice];
  if (slice.mPosition == heap::kNotInHeap) {
    return;
  }
  auto& lane = aQueue.mLanes[slice.mLane];
  auto& teamQueue = lane.mTeams[slice.mTeam];
  heap::Remove(teamQueue.mSlices, slice.mPosition, SlicePositionSetter(aQueue));
  if (teamQueue.mSlices.mItems.empty()) {
    heap::Remove(lane.mActive, teamQueue.mPosition, TeamPositionSetter(lane));
  } else {
    UpdateTeamPosition(aQueue, lane, slice.mTeam);
  }
}

} // namespace

void SetWeight(Queue& aQueue, TeamIndex aTeam, double aWeight)
{
  if (aQueue.mTeams.size() <= aTeam) {
    aQueue.mTeams.resize(aTeam + 1);
  }
  auto& team = aQueue.mTeams[aTeam];
  if (team.mTasks > 0) {
    aQueue.mActiveWeight += aWeight - team.mWeight;
  }
  team.mWeight = aWeight;
}

SliceIndex AddSlice(Queue& aQueue,
                    LaneIndex aLane,
                    TeamIndex aTeam,
                    JobIndex aJob,
                    const JobKey& aKey,
                    std::vector<std::uint32_t> aTasks)
{
  if (aQueue.mLanes.size() <= aLane) {
    aQueue.mLanes.resize(aLane + 1);
  }
  if (aQueue.mFreeSlices.empty()) {
    aQueue.mFreeSlices.push_back(static_cast<SliceIndex>(aQueue.mSlices.size()));
    aQueue.mSlices.emplace_back();
  }
  const auto n = aQueue.mFreeSlices.back();
  aQueue.mFreeSlices.pop_back();
  auto& slice = aQueue.mSlices[n];
  slice = { aJob, aTeam, aLane, std::move(aTasks), heap::kNotInHeap };
  CountTasks(aQueue, slice, slice.mTasks.size(), 0);
  if (!slice.mTasks.empty()) {
    AddToHeaps(aQueue, n, aKey);
  }
  return n;
}

void AddTask(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey, std::uint32_t aTask)
{
  auto& slice = aQueue.mSlices[aSlice];
  slice.mTasks.push_back(aTask);
  CountTasks(aQueue, slice, 1, 0);
  if (slice.mPosition == heap::kNotInHeap) {
    AddToHeaps(aQueue, aSlice, aKey);
  }
}

std::optional<SliceIndex> Head(const Queue& aQueue, LaneIndex aLane)
{
  const auto& lane = aQueue.mLanes[aLane];
  if (lane.mActive.mItems.empty()) {
    return std::nullopt;
  }
  return lane.mTeams[lane.mActive.mItems.front().mId].mSlices.mItems.front().mId;
}

bool GoesBefore(const Queue& aQueue, LaneIndex aOne, LaneIndex aOther)
{
  const auto& one = aQueue.mLanes[aOne];
  const auto& other = aQueue.mLanes[aOther];
  const auto& team = one.mActive.mItems.front().mKey;
  const auto& otherTeam = other.mActive.mItems.front().mKey;
  if (team.mTeam != otherTeam.mTeam) {
    return team < otherTeam;
  }
  return one.mTeams[team.mTeam].mSlices.mItems.front().mKey <
         other.mTeams[team.mTeam].mSlices.mItems.front().mKey;
}

std::uint32_t TakeTask(Queue& aQueue, SliceIndex aSlice)
{
  auto& slice = aQueue.mSlices[aSlice];
  const auto task = slice.mTasks.back();
  slice.mTasks.pop_back();
  if (slice.mTasks.empty()) {
    RemoveFromHeaps(aQueue, aSlice);
  }
  CountTasks(aQueue, slice, 0, 1);
  return task;
}

void SetKey(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey)
{
  const auto& slice = aQueue.mSlices[aSlice];
  if (slice.mPosition == heap::kNotInHeap) {
    return;
  }
  auto& lane = aQueue.mLanes[slice.mLane];
  heap::UpdateKey(
    lane.mTeams[slice.mTeam].mSlices, slice.mPosition, aKey, SlicePositionSetter(aQueue));
  UpdateTeamPosition(aQueue, lane, slice.mTeam);
}

void DropSlice(Queue& aQueue, SliceIndex aSlice)
{
  auto& slice = aQueue.mSlices[aSlice];
  RemoveFromHeaps(aQueue, aSlice);
  CountTasks(aQueue, slice, 0, slice.mTasks.size());
  FreeMemory(slice.mTasks);
  aQueue.mFreeSlices.push_back(aSlice);
}

void Charge(Queue& aQueue, TeamIndex aTeam, double aMicroseconds)
{
  auto& team = aQueue.mTeams[aTeam];
  team.mVirtualTime += aMicroseconds / team.mWeight;
  for (auto& lane : aQueue.mLanes) {
    if (aTeam >= lane.mTeams.size() || lane.mTeams[aTeam].mPosition == heap::kNotInHeap) {
      continue;
    }
    UpdateTeamPosition(aQueue, lane, aTeam);
  }
}

void AdvanceVirtualTime(Queue& aQueue, TeamIndex aTeam)
{
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, aQueue.mTeams[aTeam].mVirtualTime);
}

void CountWork(Queue& aQueue, TeamIndex aTeam, bool aLong, std::int64_t aMicroseconds)
{
  aQueue.mTeams[aTeam].mWork[aLong ? 1 : 0] += aMicroseconds;
  aQueue.mWork[aLong ? 1 : 0] += aMicroseconds;
}

std::uint64_t HeapMoves(const Queue& aQueue)
{
  std::uint64_t moves = 0;
  for (const auto& lane : aQueue.mLanes) {
    moves += lane.mActive.mMoves;
    for (const auto& teamQueue : lane.mTeams) {
      moves += teamQueue.mSlices.mMoves;
    }
  }
  return moves;
}

} // namespace pollenwall::queue
