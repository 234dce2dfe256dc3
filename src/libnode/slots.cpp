#include <algorithm>

#include "slots.h"

// Division of an upstream's slots by the view, and their release to new holders when a view
// changes.

namespace pollenwall::node {
namespace {

constexpr std::chrono::milliseconds kSlotsInterval{ 50 };
constexpr std::size_t kMaxQueriesPerTick = 64;
constexpr std::chrono::milliseconds kQueryInterval{ 200 };
constexpr std::chrono::milliseconds kSlowQueryInterval{ 1000 };
/// After this many queries an upstream that is still busy runs long tasks, and is queried less
/// often.
constexpr int kMaxFastQueries = 25;

/// Beyond this number a heartbeat reports all upstreams as occupied, to bound its bytes.
constexpr std::size_t kMaxOccupied = 128;
constexpr std::string_view kAllOccupied = "*";
constexpr std::chrono::milliseconds kLeavingNoteDuration{ 3000 };

/// Looks up the dispatch indices of upstreams that were passed to dispatch.
void UpdateUpstreamIndices(State& aState)
{
  while (aState.mIndexCount < aState.mAnnouncedUpstreams.size()) {
    const auto key = dispatch::AddressOf(*aState.mDispatch, aState.mIndexCount).mKey;
    aState.mIndexByKey[key] = aState.mIndexCount++;
  }
}

std::uint32_t OwnShare(const State& aState, const std::string& aKey, const UpstreamSlots& aSlots)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  return view == nullptr || !aSlots.mIsLocal
           ? 0
           : ownership::SlotCountOf(*view, aKey, aSlots.mTotal, aState.mOptions.mIncarnation);
}

/// Whether every live previous holder has acknowledged the view and runs no more tasks on the
/// upstream than its credits allow.
bool AreEarlierHoldersDone(const State& aState, const std::string& aKey)
{
  return std::all_of(
    aState.mAwaitedMembers.begin(), aState.mAwaitedMembers.end(), [&](const Incarnation& aMember) {
      const auto known = aState.mAcknowledged.mVersions.find(aMember);
      const auto* peer = membership::FindPeer(aState.mMembers, aMember);
      return known != aState.mAcknowledged.mVersions.end() &&
             known->second >= aState.mAwaitedVersion && peer != nullptr && !IsOccupied(*peer, aKey);
    });
}

void ReleaseHeldBack(State& aState,
                     const std::string& aKey,
                     UpstreamSlots& aSlots,
                     const Now& aNow,
                     Actions& aActions)
{
  aSlots.mHeldBack = 0;
  aSlots.mDepartedSlots = 0;
  aSlots.mQueries = 0;
  UpdateCredits(aState, aKey, aSlots, aNow, aActions);
}

void TickHeldBack(State& aState, const Now& aNow, Actions& aActions)
{
  std::size_t queries = 0;
  for (auto it = aState.mHeldBackUpstreams.begin(); it != aState.mHeldBackUpstreams.end();) {
    const auto& key = *it;
    const auto found = aState.mSlots.find(key);
    if (found == aState.mSlots.end() || found->second.mHeldBack == 0) {
      it = aState.mHeldBackUpstreams.erase(it);
      continue;
    }
    auto& slots = found->second;
    if (AreEarlierHoldersDone(aState, key)) {
      if (slots.mDepartedSlots == 0) {
        ReleaseHeldBack(aState, key, slots, aNow, aActions);
        it = aState.mHeldBackUpstreams.erase(it);
        continue;
      }
      const auto index = aState.mIndexByKey.find(key);
      if (!slots.mQuerying && aNow.mTime >= slots.mNextQuery && queries < kMaxQueriesPerTick &&
          index != aState.mIndexByKey.end()) {
        ++queries;
        slots.mQuerying = true;
        ++aState.mCounters.mSlotQueries;
        aActions.emplace_back(QuerySlots{ index->second });
      }
    }
    ++it;
  }
}

} // namespace

std::string_view ServiceOf(std::string_view aKey)
{
  return aKey.substr(0, aKey.find('/'));
}

void UpdateCredits(State& aState,
                   const std::string& aKey,
                   UpstreamSlots& aSlots,
                   const Now& aNow,
                   Actions& aActions)
{
  const auto own = aSlots.mShare - std::min(aSlots.mShare, aSlots.mHeldBack + aSlots.mLent);
  const auto credits = own + aSlots.mBorrowed;
  if (credits == aSlots.mCredits) {
    return;
  }
  const bool hasMore = credits > aSlots.mCredits;
  aSlots.mCredits = credits;
  Dispatch(aState, dispatch::SetCredits{ aKey, credits, aSlots.mBorrowed }, aNow, aActions);
  // Running tasks that the new credits cover are no longer reported as occupying the upstream. The
  // lenders of ended loans then take their credits back, so those loans must no longer account for
  // the tasks.
  if (hasMore) {
    ReturnFreedCreditsOn(aState, aKey, aActions);
  }
}

Loads LoadsByKey(const State& aState)
{
  Loads loads;
  for (auto& it : dispatch::UpstreamLoads(*aState.mDispatch)) {
    auto key = it.mKey;
    loads.emplace_hint(loads.end(), std::move(key), std::move(it));
  }
  return loads;
}

std::uint32_t RunningTasksOn(const Loads& aLoads, std::string_view aKey)
{
  const auto it = aLoads.find(aKey);
  return it == aLoads.end() ? 0 : it->second.mRunning;
}

bool IsOccupied(const membership::Peer& aPeer, std::string_view aKey)
{
  return aPeer.mOccupiedUpstreams.contains(aKey) || aPeer.mOccupiedUpstreams.contains(kAllOccupied);
}

void UpdateSlotsForConfiguration(State& aState, const Now& aNow, Actions& aActions)
{
  const auto current = aState.mConfiguration.mConfiguration;
  for (auto& [key, slots] : aState.mSlots) {
    if (!current->mUpstreams.contains(key)) {
      slots.mTotal = 0;
      slots.mShare = 0;
      slots.mHeldBack = 0;
      UpdateCredits(aState, key, slots, aNow, aActions);
    }
  }
  for (const auto& [key, upstream] : current->mUpstreams) {
    const auto worker = current->mWorkers.find(upstream.mWorker);
    if (worker == current->mWorkers.end()) {
      continue;
    }
    auto& slots = aState.mSlots[key];
    slots.mIsLocal = worker->second.mDataCentre == aState.mOptions.mDataCentre;
    slots.mWorkerAddress = worker->second.mAddress;
    slots.mTotal = upstream.mSlots;
    slots.mShare = OwnShare(aState, key, slots);
    slots.mHeldBack = std::min(slots.mHeldBack, slots.mShare);
    if (aState.mAnnouncedUpstreams.insert(key).second) {
      Dispatch(aState, dispatch::SetCredits{ key, 0 }, aNow, aActions);
    }
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
  UpdateUpstreamIndices(aState);
}

void UpdateSlotsForView(State& aState,
                        const ownership::View* aOld,
                        const Now& aNow,
                        Actions& aActions)
{
  const auto& view = *ownership::CurrentView(aState.mViews);
  const bool isFirst = aOld == nullptr && view.mVersion == 1;
  std::set<Incarnation> awaitedMembers;
  std::vector<Incarnation> departed;
  if (aOld != nullptr) {
    for (const auto& it : aOld->mMembers) {
      if (!ownership::Contains(view.mMembers, it.mIncarnation)) {
        departed.push_back(it.mIncarnation);
      } else if (it.mIncarnation != aState.mOptions.mIncarnation) {
        awaitedMembers.insert(it.mIncarnation);
      }
    }
  }
  if (!aState.mHeldBackUpstreams.empty()) {
    for (const auto& it : aState.mAwaitedMembers) {
      if (ownership::Contains(view.mMembers, it)) {
        awaitedMembers.insert(it);
      }
    }
  }
  aState.mAwaitedMembers = std::move(awaitedMembers);
  aState.mAwaitedVersion = view.mVersion;
  for (auto& [key, slots] : aState.mSlots) {
    const auto share = OwnShare(aState, key, slots);
    const auto usable =
      isFirst ? share : std::min(share, slots.mShare - std::min(slots.mShare, slots.mHeldBack));
    slots.mShare = share;
    slots.mHeldBack = share - usable;
    if (slots.mHeldBack == 0) {
      slots.mDepartedSlots = 0;
    } else {
      aState.mHeldBackUpstreams.insert(key);
      slots.mNextQuery = aNow.mTime;
      slots.mQueries = 0;
      for (const auto member : departed) {
        slots.mDepartedSlots += ownership::SlotCountOf(*aOld, key, slots.mTotal, member);
      }
      if (aOld == nullptr) {
        slots.mDepartedSlots = slots.mTotal; // The earlier views are unknown.
      }
      slots.mDepartedSlots = std::min(slots.mDepartedSlots, slots.mTotal);
    }
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
}

void OnSlotsAnswered(State& aState, const SlotsAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  if (aEvent.mUpstream >= aState.mIndexCount) {
    return;
  }
  const auto key = dispatch::AddressOf(*aState.mDispatch, aEvent.mUpstream).mKey;
  const auto it = aState.mSlots.find(key);
  if (it == aState.mSlots.end() || !it->second.mQuerying) {
    return;
  }
  auto& slots = it->second;
  slots.mQuerying = false;
  const auto interval = ++slots.mQueries > kMaxFastQueries ? kSlowQueryInterval : kQueryInterval;
  slots.mNextQuery = aNow.mTime + Jitter(aState, interval / 2, interval);
  if (!aEvent.mBusy || slots.mHeldBack == 0 || slots.mDepartedSlots == 0) {
    return;
  }
  // Free slots beyond this entry's own idle ones are those of departed members, or of other members
  // that leave theirs idle. The latter are rare when slots are short.
  const auto running = RunningTasksOn(LoadsByKey(aState), key);
  const auto idle = slots.mCredits - std::min(slots.mCredits, running);
  const auto unavailable = *aEvent.mBusy + idle;
  const auto free = slots.mTotal - std::min(slots.mTotal, unavailable);
  const auto part = std::min<std::uint64_t>(
    slots.mHeldBack,
    (std::uint64_t{ std::min(free, slots.mDepartedSlots) } * slots.mHeldBack +
     slots.mDepartedSlots - 1) /
      slots.mDepartedSlots);
  slots.mHeldBack -= static_cast<std::uint32_t>(part);
  slots.mDepartedSlots -= std::min(slots.mDepartedSlots, std::min(free, slots.mDepartedSlots));
  if (slots.mHeldBack == 0) {
    ReleaseHeldBack(aState, key, slots, aNow, aActions);
  } else {
    slots.mDepartedSlots = std::max(slots.mDepartedSlots, slots.mHeldBack);
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
}

void RecordLeavingRefusal(State& aState, const UpstreamAnswered& aEvent, const Now& aNow)
{
  if (aEvent.mOutcome.mVerdict == Verdict::NotRun && aEvent.mOutcome.mCode == ErrorCode::Stopping &&
      aEvent.mUpstream < aState.mIndexCount) {
    aState.mLeavingNotes[dispatch::AddressOf(*aState.mDispatch, aEvent.mUpstream).mKey] =
      aNow.mTime + kLeavingNoteDuration;
  }
}

void TickSlots(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextSlotsTick) {
    return;
  }
  aState.mNextSlotsTick = aNow.mTime + kSlotsInterval;
  TickHeldBack(aState, aNow, aActions);
  TickLending(aState, aNow, aActions);
  std::erase_if(aState.mLeavingNotes,
                [&aNow](const auto& aIt) { return aNow.mTime >= aIt.second; });
}

std::vector<std::string> OccupiedUpstreams(const State& aState)
{
  std::vector<std::string> keys;
  for (const auto& it : dispatch::UpstreamLoads(*aState.mDispatch)) {
    const auto slots = aState.mSlots.find(it.mKey);
    const bool overLent =
      slots != aState.mSlots.end() && slots->second.mLent > slots->second.mShare;
    if (it.mRunning <= it.mCredits && !overLent) {
      continue;
    }
    if (keys.size() == kMaxOccupied) {
      return { std::string(kAllOccupied) };
    }
    keys.push_back(it.mKey);
  }
  return keys;
}

} // namespace pollenwall::node