#include <algorithm>
#include <limits>
#include <utility>

#include <pollenwall/look_ahead.h>

#include "state.h"

// Selection of queued tasks by what else waits. See docs/design/look-ahead.md.

namespace pollenwall::dispatch {
namespace {

/// A task goes first, whatever room it leaves, once it has waited this fraction of the time within
/// which it can start and still meet its target. This bounds its wait behind tasks of its rank that
/// fill rooms better.
constexpr double kMaxPassedOverFraction = 0.5;

/// A task that may end before reserved room is needed is expected to have ended in this share of
/// the cases.
constexpr double kLikelyEndQuantile = 0.9;

constexpr Needs kAnyNeeds{ std::numeric_limits<std::uint32_t>::max(),
                           std::numeric_limits<std::uint64_t>::max(),
                           std::numeric_limits<std::uint32_t>::max() };

bool AreEqualInRank(const Job& aOne, const Job& aOther)
{
  return aOne.mPriority == aOther.mPriority && aOne.mLateness == aOther.mLateness &&
         aOne.mUrgent == aOther.mUrgent && aOne.mTeam == aOther.mTeam;
}

/// Whether the task can start on any upstream with room, without regard to its history.
bool IsOrdinary(const Task& aTask, const Now& aNow)
{
  const bool avoids = aTask.mAvoidedUpstream != kNone && aNow.mTime < aTask.mAvoidUntil;
  return !avoids && !aTask.mSuspect && !aTask.mMoved && aTask.mFailures == 0;
}

} // namespace

QueueHead HeadOf(const State& aState, ServiceIndex aService, queue::LaneIndex aLane)
{
  const auto& queue = aState.mServices[aService].mQueue;
  const auto n = *queue::Head(queue, aLane);
  const auto& slice = queue.mSlices[n];
  return { n, slice.mJob, slice.mTasks.back() };
}

const Needs& NeedsOf(const State& aState, const QueueHead& aHead)
{
  return aState.mJobs[aHead.mJob].mSpec->mTasks[aHead.mTask].mNeeds;
}

double WaitedFraction(const Job& aJob, const Now& aNow)
{
  const auto latest = aJob.mTarget.count() > 0 ? LatestStart(aJob, aJob.mSpec->mPriorWait, 1)
                                               : aJob.mDeadline - aJob.mExpectedRun;
  const auto slack = static_cast<double>((latest - aJob.mAccepted).count());
  const auto waited = static_cast<double>((aNow.mTime - aJob.mAccepted).count());
  return waited / std::max(1.0, slack);
}

std::vector<queue::LaneIndex> LanesByUrgency(const queue::Queue& aQueue)
{
  std::vector<queue::LaneIndex> lanes;
  for (queue::LaneIndex n = 0; n < aQueue.mLanes.size(); ++n) {
    if (aQueue.mLanes[n].mTasks > 0) {
      lanes.push_back(n);
    }
  }
  std::sort(lanes.begin(), lanes.end(), [&](queue::LaneIndex aOne, queue::LaneIndex aOther) {
    return queue::GoesBefore(aQueue, aOne, aOther);
  });
  return lanes;
}

void AddClaim(const State& aState,
              queue::LaneIndex aLane,
              const QueueHead& aHead,
              const Now& aNow,
              placement::Request& aRequest)
{
  const auto& job = aState.mJobs[aHead.mJob];
  const auto& spec = job.mSpec->mTasks[aHead.mTask];
  aRequest.mLane = aLane;
  aRequest.mRank = TaskRankOf(job);
  const auto* sketch = run_times::SketchOf(*job.mKind, spec.mDeclaredRunTime);
  const auto likely = sketch == nullptr
                        ? std::nullopt
                        : run_times::QuantileBeyond(*sketch, Duration{ 0 }, kLikelyEndQuantile);
  aRequest.mLikelyEnd = aNow.mTime + likely.value_or(job.mTasks[aHead.mTask].mMean);
}

LargestRooms FindLargestRooms(const State& aState, ServiceIndex aService)
{
  LargestRooms rooms{ placement::LargestRoom(aState.mPlacement, aService), {} };
  for (const auto& record : aState.mServices[aService].mReservations) {
    const auto room = placement::RoomOn(aState.mPlacement, record.mUpstream);
    rooms.mReserved = { std::max(rooms.mReserved.mMilliCores, room.mMilliCores),
                        std::max(rooms.mReserved.mMemoryBytes, room.mMemoryBytes),
                        std::max(rooms.mReserved.mAccelerators, room.mAccelerators) };
  }
  return rooms;
}

bool HeadFits(const State& aState,
              ServiceIndex aService,
              queue::LaneIndex aLane,
              const LargestRooms& aLargest,
              const Now& aNow)
{
  const auto& service = aState.mServices[aService];
  const auto head = HeadOf(aState, aService, aLane);
  const auto& job = aState.mJobs[head.mJob];
  const auto& shapes = service.mGroups[aLane / 2].mShapes;
  placement::Request request{ .mService = aService,
                              .mShapes = &shapes,
                              .mNeeds = NeedsOf(aState, head),
                              .mNow = aNow.mTime,
                              .mLane = aLane,
                              .mRank = TaskRankOf(job),
                              .mLikelyEnd = Time::max() };
  if (placement::MeetsNeeds(aLargest.mUnreserved, request.mNeeds) &&
      placement::HasFreeUpstream(aState.mPlacement, request)) {
    return true;
  }
  if (service.mReservations.empty() || !placement::MeetsNeeds(aLargest.mReserved, request.mNeeds)) {
    return false;
  }
  AddClaim(aState, aLane, head, aNow, request);
  return std::any_of(
    service.mReservations.begin(), service.mReservations.end(), [&](const auto& aRecord) {
      const auto& upstream = aState.mPlacement.mUpstreams[aRecord.mUpstream];
      const auto room = placement::RoomOn(aState.mPlacement, aRecord.mUpstream);
      return upstream.mFreePosition != kNone && placement::MeetsNeeds(room, request.mNeeds) &&
             std::find(shapes.begin(), shapes.end(), upstream.mShape) != shapes.end() &&
             placement::MayUse(upstream.mReservation, request);
    });
}

std::optional<queue::LaneIndex> PickAhead(const State& aState,
                                          ServiceIndex aService,
                                          std::uint32_t aClass,
                                          const Now& aNow)
{
  const auto& queue = aState.mServices[aService].mQueue;
  std::vector<queue::LaneIndex> lanes;
  std::optional<LargestRooms> largest;
  for (queue::LaneIndex lane = aClass; lane < queue.mLanes.size(); lane += 2) {
    if (queue.mLanes[lane].mTasks == 0) {
      continue;
    }
    if (!largest) {
      // Without a choice between lanes, the search for one upstream is shorter than that for the
      // largest room.
      const bool only = queue.mLanes[lane].mTasks == queue.mTasks;
      largest = only ? LargestRooms{ kAnyNeeds, kAnyNeeds } : FindLargestRooms(aState, aService);
    }
    const auto& needs = NeedsOf(aState, HeadOf(aState, aService, lane));
    if (placement::MeetsNeeds(largest->mUnreserved, needs) ||
        placement::MeetsNeeds(largest->mReserved, needs)) {
      lanes.push_back(lane);
    }
  }
  // Seldom more than one search: most tasks within the largest room fit.
  while (!lanes.empty()) {
    const auto best = std::min_element(lanes.begin(), lanes.end(), [&](auto aOne, auto aOther) {
      return queue::GoesBefore(queue, aOne, aOther);
    });
    if (HeadFits(aState, aService, *best, *largest, aNow)) {
      return *best;
    }
    lanes.erase(best);
  }
  return std::nullopt;
}

queue::LaneIndex FillRoom(const State& aState,
                          ServiceIndex aService,
                          queue::LaneIndex aLane,
                          UpstreamIndex aUpstream,
                          const Now& aNow)
{
  const auto& service = aState.mServices[aService];
  const auto& queue = service.mQueue;
  const auto& first = aState.mJobs[HeadOf(aState, aService, aLane).mJob];
  // The task that was chosen for an upstream under test is not exchanged for one that may not test.
  if (queue.mTasks < 2 || !placement::IsUsable(aState.mPlacement, aUpstream) ||
      aState.mPlacement.mUpstreams[aUpstream].mHalfOpen ||
      WaitedFraction(first, aNow) > kMaxPassedOverFraction ||
      aState.mPlacement.mUpstreams[aUpstream].mReservation.mLane != kNone) {
    return aLane;
  }
  const auto room = placement::RoomOn(aState.mPlacement, aUpstream);
  const auto shape = aState.mPlacement.mUpstreams[aUpstream].mShape;
  std::vector<queue::LaneIndex> lanes;
  for (auto lane = aLane % 2; lane < queue.mLanes.size(); lane += 2) {
    if (queue.mLanes[lane].mTasks == 0) {
      continue;
    }
    const auto& shapes = service.mGroups[lane / 2].mShapes;
    if (std::find(shapes.begin(), shapes.end(), shape) != shapes.end() &&
        placement::MeetsNeeds(room, NeedsOf(aState, HeadOf(aState, aService, lane)))) {
      lanes.push_back(lane);
    }
  }
  if (lanes.size() < 2) {
    return aLane;
  }
  std::sort(lanes.begin(), lanes.end(), [&](queue::LaneIndex aOne, queue::LaneIndex aOther) {
    return queue::GoesBefore(queue, aOne, aOther);
  });
  std::vector<placement::WaitingGroup> groups;
  for (const auto lane : lanes) {
    const auto head = HeadOf(aState, aService, lane);
    const auto& job = aState.mJobs[head.mJob];
    const bool mayStart =
      lane == aLane || (AreEqualInRank(first, job) && IsOrdinary(job.mTasks[head.mTask], aNow));
    groups.push_back({ NeedsOf(aState, head).mMilliCores, queue.mLanes[lane].mTasks, mayStart });
  }
  const auto chosen = placement::ChooseForRoom(room.mMilliCores, groups);
  return chosen ? lanes[*chosen] : aLane;
}

} // namespace pollenwall::dispatch
