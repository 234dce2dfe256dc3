#include <algorithm>
#include <utility>

#include <pollenwall/look_ahead.h>

#include "state.h"

// Room kept for queued tasks that fit nowhere. See docs/design/look-ahead.md.

namespace pollenwall::dispatch {
namespace {

/// A task gets a reservation once it has waited this fraction of the time within which it can still
/// meet its target. Most tasks find room earlier without one.
constexpr double kReserveAfterFraction = 0.25;
/// Until this fraction its needs have to be free in sum, otherwise it waits because the service is
/// full. Later they need not: smaller tasks may keep the service full for any time.
constexpr double kReserveWhenFullFraction = 0.5;
/// Largest share of the usable upstreams with a reservation, which bounds the room that smaller
/// tasks lose. With an eighth, more of the largest tasks are served at 110% load (worth 0.46
/// instead of 0.38), but fewer jobs of the lowest priority (0.53 instead of 0.57).
constexpr double kMaxReservedShare = 0.0625;
/// Weight of idle room against wait in the choice of the upstream.
constexpr double kIdleWeight = 1;
/// A reservation moves to an upstream that is expected to have room earlier by this time.
constexpr Duration kMinMoveGain = std::chrono::milliseconds(30);
/// Share of the runs that have ended at their expected end.
constexpr double kEndQuantile = 0.75;
/// A run without outcomes to learn from, or longer than all of them, is expected to last for
/// another half of its time so far, and at least this long.
constexpr Duration kMinRest = std::chrono::milliseconds(20);
/// Progress is projected from this fraction on; reports are rounded to 1%.
constexpr double kMinFraction = 0.1;

/// The next task of a lane, for which room is to be reserved.
struct ReservationRequest
{
  queue::LaneIndex mLane = 0;
  Needs mNeeds;
  const std::vector<ReservationRecord>* mFormer = nullptr; ///< Of all lanes.
  bool mAlsoWhenFull = false; ///< Even if the needs are not free in sum.
};

/// The lane's former reservation on the upstream; null without one.
const ReservationRecord* FindFormer(const ReservationRequest& aRequest, UpstreamIndex aUpstream)
{
  for (const auto& record : *aRequest.mFormer) {
    if (record.mLane == aRequest.mLane && record.mUpstream == aUpstream) {
      return &record;
    }
  }
  return nullptr;
}

/// The expected end of a run, which may have passed only for an instant.
Time ExpectedEndOf(State& aState, Attempt& aAttempt, const Now& aNow)
{
  if (aAttempt.mStopped || aAttempt.mMoving) {
    return aNow.mTime + kMinRest;
  }
  if (aAttempt.mDoneFraction >= kMinFraction) {
    const auto ran = static_cast<double>((aAttempt.mFractionChangedAt - aAttempt.mStarted).count());
    const Duration total{ std::llround(ran / aAttempt.mDoneFraction) };
    return std::max(aAttempt.mStarted + total, aNow.mTime + kMinRest);
  }
  if (aAttempt.mExpectedEnd > aNow.mTime) {
    return aAttempt.mExpectedEnd;
  }
  const auto& job = aState.mJobs[aAttempt.mJob];
  const auto elapsed = aNow.mTime - aAttempt.mStarted;
  const auto rest = std::max(kMinRest, elapsed / 2);
  aAttempt.mExpectedEnd = aNow.mTime + rest;
  if (job.mSpec == nullptr) {
    return aAttempt.mExpectedEnd;
  }
  const auto declared = job.mSpec->mTasks[aAttempt.mTask].mDeclaredRunTime;
  const double relative = placement::RelativeRunTime(aState.mPlacement, aAttempt.mUpstream);
  const auto* sketch = run_times::SketchOf(*job.mKind, declared);
  if (sketch == nullptr) {
    aAttempt.mExpectedEnd =
      std::max(aAttempt.mExpectedEnd, aAttempt.mStarted + job.mTasks[aAttempt.mTask].mMean);
    return aAttempt.mExpectedEnd;
  }
  const Duration atUsualSpeed{ std::llround(static_cast<double>(elapsed.count()) / relative) };
  if (const auto run = run_times::QuantileBeyond(*sketch, atUsualSpeed, kEndQuantile)) {
    const Duration total{ std::llround(static_cast<double>(run->count()) * relative) };
    aAttempt.mExpectedEnd = std::max(aAttempt.mStarted + total, aNow.mTime + kMinRest);
  }
  return aAttempt.mExpectedEnd;
}

/// Whether room on the upstream may be reserved: it takes ordinary tasks once there is room.
bool MayReserve(const State& aState, UpstreamIndex aUpstream, const Now& aNow)
{
  const auto& upstream = aState.mPlacement.mUpstreams[aUpstream];
  return upstream.mCredits > 0 && placement::IsUsable(aState.mPlacement, aUpstream) &&
         !upstream.mHalfOpen && upstream.mSuspects == 0 && upstream.mBackoffUntil <= aNow.mTime;
}

/// When the running tasks of one upstream are expected to end.
struct Outlook
{
  UpstreamIndex mUpstream = kNone;
  placement::ShapeIndex mShape = kNone;
  Needs mFree;
  std::vector<placement::RunningTask> mRunning; ///< In the order of their ends.
};

/// The outlooks of all upstreams of the service on which room may be reserved.
std::vector<Outlook> MakeOutlooks(State& aState, ServiceIndex aService, const Now& aNow)
{
  std::vector<Outlook> outlooks;
  for (const auto n : aState.mPlacement.mPools[aService].mMembers) {
    if (!MayReserve(aState, n, aNow)) {
      continue;
    }
    outlooks.push_back(
      { n, aState.mPlacement.mUpstreams[n].mShape, placement::RoomOn(aState.mPlacement, n), {} });
    if (n >= aState.mAttemptsByUpstream.size()) {
      continue;
    }
    auto& running = outlooks.back().mRunning;
    running.reserve(aState.mAttemptsByUpstream[n].size());
    for (const auto attempt : aState.mAttemptsByUpstream[n]) {
      auto& run = aState.mAttempts[attempt];
      running.push_back({ ExpectedEndOf(aState, run, aNow), run.mNeeds });
    }
    std::sort(running.begin(), running.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mEnd < aOther.mEnd;
    });
  }
  return outlooks;
}

struct Candidate
{
  double mCost = 0; ///< In microseconds.
  UpstreamIndex mUpstream = kNone;
  placement::ExpectedRoom mRoom;
};

/// The aCount best upstreams that are expected to have room for a lane's first task, the best
/// first.
std::vector<Candidate> FindCandidates(const State& aState,
                                      const std::vector<Outlook>& aOutlooks,
                                      const std::vector<placement::ShapeIndex>& aShapes,
                                      const ReservationRequest& aRequest,
                                      std::size_t aCount,
                                      const Now& aNow)
{
  std::vector<Candidate> candidates;
  std::uint64_t free = 0;
  for (const auto& outlook : aOutlooks) {
    const auto& upstream = aState.mPlacement.mUpstreams[outlook.mUpstream];
    if (upstream.mReservation.mLane != kNone ||
        std::find(aShapes.begin(), aShapes.end(), outlook.mShape) == aShapes.end()) {
      continue;
    }
    free += outlook.mFree.mMilliCores;
    const auto expected =
      placement::FindExpectedRoom(outlook.mFree, outlook.mRunning, aRequest.mNeeds, aNow.mTime);
    if (!expected || expected->mAt <= aNow.mTime) {
      continue;
    }
    const bool reserved = FindFormer(aRequest, outlook.mUpstream) != nullptr;
    const Duration wait = expected->mAt - aNow.mTime - (reserved ? kMinMoveGain : Duration{ 0 });
    candidates.push_back({ static_cast<double>(wait.count()) +
                             kIdleWeight * static_cast<double>(expected->mIdle.count()),
                           outlook.mUpstream,
                           *expected });
  }
  if (free < aRequest.mNeeds.mMilliCores && !aRequest.mAlsoWhenFull) {
    return {};
  }
  const auto count = std::min(aCount, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return std::tie(aOne.mCost, aOne.mUpstream) <
                             std::tie(aOther.mCost, aOther.mUpstream);
                    });
  candidates.resize(count);
  return candidates;
}

/// The record of a reservation that is made or kept, with the room kept idle so far.
ReservationRecord MakeRecord(const State& aState,
                             const ReservationRequest& aRequest,
                             UpstreamIndex aUpstream,
                             const Now& aNow)
{
  ReservationRecord record{ aRequest.mLane, aUpstream, aNow.mTime, Duration{ 0 } };
  if (const auto* former = FindFormer(aRequest, aUpstream)) {
    const auto room = placement::RoomOn(aState.mPlacement, aUpstream).mMilliCores;
    const double share =
      std::min(1.0, static_cast<double>(room) / std::max(1U, aRequest.mNeeds.mMilliCores));
    const auto passed = static_cast<double>((aNow.mTime - former->mCheckedAt).count());
    record.mIdle = former->mIdle + Duration{ std::llround(share * passed) };
    return record;
  }
  // A reservation that moves keeps its idle time, which would otherwise be unbounded.
  for (const auto& former : *aRequest.mFormer) {
    record.mIdle =
      std::max(record.mIdle, former.mLane == aRequest.mLane ? former.mIdle : Duration{ 0 });
  }
  return record;
}

/// Reserves room for at most aMaxCount of the next tasks of a lane.
void Reserve(State& aState,
             ServiceIndex aService,
             const ReservationRequest& aRequest,
             const std::vector<Outlook>& aOutlooks,
             std::size_t aMaxCount,
             const Now& aNow)
{
  auto& service = aState.mServices[aService];
  const auto head = HeadOf(aState, aService, aRequest.mLane);
  const auto& job = aState.mJobs[head.mJob];
  const auto count = std::min(aMaxCount, service.mQueue.mSlices[head.mSlice].mTasks.size());
  const auto& shapes = service.mGroups[aRequest.mLane / 2].mShapes;
  for (const auto& candidate : FindCandidates(aState, aOutlooks, shapes, aRequest, count, aNow)) {
    const auto record = MakeRecord(aState, aRequest, candidate.mUpstream, aNow);
    if (record.mIdle > job.mTasks[head.mTask].mMean) {
      service.mNoReservationBefore[aRequest.mLane] = aNow.mTime + job.mTasks[head.mTask].mMean;
      return;
    }
    service.mReservations.push_back(record);
    aState.mPlacement.mUpstreams[candidate.mUpstream].mReservation = {
      aRequest.mLane, TaskRankOf(job), candidate.mRoom.mAt, candidate.mRoom.mSpare
    };
  }
}

/// Counts the former reservations that do not exist any more.
void CountChanges(State& aState,
                  const std::vector<ReservationRecord>& aFormer,
                  const std::vector<ReservationRecord>& aMade)
{
  std::map<queue::LaneIndex, std::pair<std::size_t, std::size_t>> ended; // Of former and made ones.
  const auto contains = [](const auto& aRecords, const ReservationRecord& aRecord) {
    return std::any_of(aRecords.begin(), aRecords.end(), [&](const auto& aOther) {
      return aOther.mLane == aRecord.mLane && aOther.mUpstream == aRecord.mUpstream;
    });
  };
  for (const auto& record : aFormer) {
    ended[record.mLane].first += contains(aMade, record) ? 0 : 1;
  }
  for (const auto& record : aMade) {
    ended[record.mLane].second += contains(aFormer, record) ? 0 : 1;
  }
  for (const auto& [lane, counts] : ended) {
    const auto moved = std::min(counts.first, counts.second);
    aState.mCounts.mReservationsMoved += moved;
    aState.mCounts.mReservationsGivenUp += counts.first - moved;
  }
}

void ClearUpstreams(State& aState, const std::vector<ReservationRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    aState.mPlacement.mUpstreams[record.mUpstream].mReservation = {};
  }
}

} // namespace

void UpdateReservations(State& aState, ServiceIndex aService, const Now& aNow)
{
  auto& service = aState.mServices[aService];
  if (!aState.mPlacement.mOptions.mLookAhead ||
      (service.mReservations.empty() && service.mQueue.mTasks == 0)) {
    return;
  }
  const auto former = std::exchange(service.mReservations, {});
  ClearUpstreams(aState, former);
  std::erase_if(service.mNoReservationBefore,
                [&](const auto& aIt) { return aIt.second <= aNow.mTime; });
  const auto usable = std::count_if(
    aState.mPlacement.mPools[aService].mMembers.begin(),
    aState.mPlacement.mPools[aService].mMembers.end(),
    [&](UpstreamIndex aUpstream) { return placement::IsUsable(aState.mPlacement, aUpstream); });
  const auto limit = std::max<std::size_t>(
    1, static_cast<std::size_t>(kMaxReservedShare * static_cast<double>(usable)));
  const bool longClassIsFull = service.mRunning[1] >= LongLimit(aState, aService);
  std::optional<std::vector<Outlook>> outlooks;
  std::optional<LargestRooms> largest;
  for (const auto lane : LanesByUrgency(service.mQueue)) {
    if (service.mReservations.size() >= limit) {
      break;
    }
    const auto head = HeadOf(aState, aService, lane);
    const auto& job = aState.mJobs[head.mJob];
    if (!largest) {
      largest = FindLargestRooms(aState, aService);
    }
    const double waited = WaitedFraction(job, aNow);
    if ((lane % 2 == 1 && longClassIsFull) || waited < kReserveAfterFraction ||
        service.mNoReservationBefore.contains(lane) ||
        HeadFits(aState, aService, lane, *largest, aNow)) {
      continue;
    }
    if (!outlooks) {
      outlooks = MakeOutlooks(aState, aService, aNow);
    }
    Reserve(aState,
            aService,
            { lane, NeedsOf(aState, head), &former, waited >= kReserveWhenFullFraction },
            *outlooks,
            limit - service.mReservations.size(),
            aNow);
    largest.reset();
  }
  CountChanges(aState, former, service.mReservations);
}

void DropReservations(State& aState, ServiceIndex aService)
{
  auto& records = aState.mServices[aService].mReservations;
  aState.mCounts.mReservationsGivenUp += records.size();
  ClearUpstreams(aState, records);
  records.clear();
}

void CountStartAhead(State& aState, const placement::Request& aRequest, UpstreamIndex aUpstream)
{
  auto& service = aState.mServices[aRequest.mService];
  auto& records = service.mReservations;
  if (records.empty()) {
    return;
  }
  auto& reservation = aState.mPlacement.mUpstreams[aUpstream].mReservation;
  if (reservation.mLane == aRequest.mLane) {
    ++aState.mCounts.mReservationsUsed;
    std::erase_if(records, [&](const auto& aRecord) { return aRecord.mUpstream == aUpstream; });
    reservation = {};
    return;
  }
  if (reservation.mLane != kNone) {
    aState.mCounts.mBackfilledTasks += aRequest.mRank < reservation.mRank ? 0 : 1;
    if (aRequest.mLikelyEnd > reservation.mFrom) {
      reservation.mSpare = placement::Minus(reservation.mSpare, aRequest.mNeeds);
    }
  }
  // A lane has no more reservations than tasks that remain.
  const auto left = service.mQueue.mLanes[aRequest.mLane].mTasks - 1;
  const auto isOfLane = [&](const auto& aRecord) { return aRecord.mLane == aRequest.mLane; };
  if (static_cast<std::size_t>(std::count_if(records.begin(), records.end(), isOfLane)) <= left) {
    return;
  }
  const auto it = std::find_if(records.rbegin(), records.rend(), isOfLane);
  aState.mPlacement.mUpstreams[it->mUpstream].mReservation = {};
  records.erase(std::next(it).base());
  ++aState.mCounts.mReservationsGivenUp;
}

void AddAttempt(State& aState, std::uint32_t aAttempt)
{
  if (!aState.mPlacement.mOptions.mLookAhead) {
    return;
  }
  auto& lists = aState.mAttemptsByUpstream;
  const auto upstream = aState.mAttempts[aAttempt].mUpstream;
  lists.resize(std::max<std::size_t>(lists.size(), upstream + 1));
  lists[upstream].push_back(aAttempt);
}

void RemoveAttempt(State& aState, std::uint32_t aAttempt)
{
  const auto upstream = aState.mAttempts[aAttempt].mUpstream;
  if (upstream < aState.mAttemptsByUpstream.size()) {
    std::erase(aState.mAttemptsByUpstream[upstream], aAttempt);
  }
}

} // namespace pollenwall::dispatch
