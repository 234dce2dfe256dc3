#include <algorithm>

#include "slots.h"

// Slots: their division by the view, and their handing on when a view changes.

namespace pollenwall::node {
namespace {

constexpr std::chrono::milliseconds kSlotsPeriod{ 50 };
constexpr std::size_t kQueriesPerTick = 64;
constexpr std::chrono::milliseconds kQueryInterval{ 200 };
constexpr std::chrono::milliseconds kSlowQueryInterval{ 1000 };
/// After this many answers an upstream still busy runs long tasks, and is asked less often.
constexpr int kFastQueries = 25;

/// Beyond it a heartbeat says that all upstreams are occupied, to bound its bytes.
constexpr std::size_t kMaxOccupied = 128;
constexpr std::string_view kAllOccupied = "*";
constexpr std::chrono::milliseconds kNoteTime{ 3000 };

/// Learns the dispatch numbers of upstreams that dispatch has been told of.
void LearnIndices(State& aState)
{
  while (aState.mIndices < aState.mKeysTold.size()) {
    const auto key = dispatch::AddressOf(*aState.mDispatch, aState.mIndices).mKey;
    aState.mIndexByKey[key] = aState.mIndices++;
  }
}

std::uint32_t ShareOf(const State& aState, const std::string& aKey, const Slots& aSlots)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  return view == nullptr || !aSlots.mHere
           ? 0
           : ownership::SlotsOf(*view, aKey, aSlots.mTotal, aState.mOptions.mIncarnation);
}

/// Whether every living earlier holder has acknowledged the view and is done with the upstream.
bool AreHoldersDone(const State& aState, const std::string& aKey)
{
  return std::all_of(
    aState.mWaitFor.begin(), aState.mWaitFor.end(), [&](const Incarnation& aMember) {
      const auto known = aState.mAcknowledged.mVersions.find(aMember);
      const auto* peer = membership::FindPeer(aState.mMembers, aMember);
      return known != aState.mAcknowledged.mVersions.end() &&
             known->second >= aState.mWaitForVersion && peer != nullptr && !IsOccupied(*peer, aKey);
    });
}

void Release(State& aState,
             const std::string& aKey,
             Slots& aSlots,
             const Now& aNow,
             Actions& aActions)
{
  aSlots.mHeldBack = 0;
  aSlots.mDeparted = 0;
  aSlots.mQueries = 0;
  UpdateCredits(aState, aKey, aSlots, aNow, aActions);
}

void TickHeldBack(State& aState, const Now& aNow, Actions& aActions)
{
  std::size_t queries = 0;
  for (auto it = aState.mHeld.begin(); it != aState.mHeld.end();) {
    const auto& key = *it;
    const auto found = aState.mSlots.find(key);
    if (found == aState.mSlots.end() || found->second.mHeldBack == 0) {
      it = aState.mHeld.erase(it);
      continue;
    }
    auto& slots = found->second;
    if (AreHoldersDone(aState, key)) {
      if (slots.mDeparted == 0) {
        Release(aState, key, slots, aNow, aActions);
        it = aState.mHeld.erase(it);
        continue;
      }
      const auto index = aState.mIndexByKey.find(key);
      if (!slots.mQuerying && aNow.mTime >= slots.mQueryAt && queries < kQueriesPerTick &&
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

// Lending.

} // namespace

std::string_view ServiceOf(std::string_view aKey)
{
  return aKey.substr(0, aKey.find('/'));
}

void UpdateCredits(State& aState,
                   const std::string& aKey,
                   Slots& aSlots,
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
  // Running tasks that the new credits cover no longer show as occupied, and the lenders of ended
  // loans take theirs back then, so those must not stand for the tasks any more.
  if (hasMore) {
    ReturnEndedOn(aState, aKey, aActions);
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

std::uint32_t RunningOf(const Loads& aLoads, std::string_view aKey)
{
  const auto it = aLoads.find(aKey);
  return it == aLoads.end() ? 0 : it->second.mRunning;
}

bool IsOccupied(const membership::Peer& aPeer, std::string_view aKey)
{
  return aPeer.mOccupied.contains(aKey) || aPeer.mOccupied.contains(kAllOccupied);
}

void FollowConfiguration(State& aState, const Now& aNow, Actions& aActions)
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
    slots.mHere = worker->second.mDataCentre == aState.mOptions.mDataCentre;
    slots.mWorkerAddress = worker->second.mAddress;
    slots.mTotal = upstream.mSlots;
    slots.mShare = ShareOf(aState, key, slots);
    slots.mHeldBack = std::min(slots.mHeldBack, slots.mShare);
    if (aState.mKeysTold.insert(key).second) {
      Dispatch(aState, dispatch::SetCredits{ key, 0 }, aNow, aActions);
    }
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
  LearnIndices(aState);
}

void FollowView(State& aState, const ownership::View* aOld, const Now& aNow, Actions& aActions)
{
  const auto& view = *ownership::CurrentView(aState.mViews);
  const bool isFirst = aOld == nullptr && view.mVersion == 1;
  std::set<Incarnation> waitFor;
  std::vector<Incarnation> departed;
  if (aOld != nullptr) {
    for (const auto& it : aOld->mMembers) {
      if (!ownership::Contains(view.mMembers, it.mIncarnation)) {
        departed.push_back(it.mIncarnation);
      } else if (it.mIncarnation != aState.mOptions.mIncarnation) {
        waitFor.insert(it.mIncarnation);
      }
    }
  }
  if (!aState.mHeld.empty()) {
    for (const auto& it : aState.mWaitFor) {
      if (ownership::Contains(view.mMembers, it)) {
        waitFor.insert(it);
      }
    }
  }
  aState.mWaitFor = std::move(waitFor);
  aState.mWaitForVersion = view.mVersion;
  for (auto& [key, slots] : aState.mSlots) {
    const auto share = ShareOf(aState, key, slots);
    const auto usable =
      isFirst ? share : std::min(share, slots.mShare - std::min(slots.mShare, slots.mHeldBack));
    slots.mShare = share;
    slots.mHeldBack = share - usable;
    if (slots.mHeldBack == 0) {
      slots.mDeparted = 0;
    } else {
      aState.mHeld.insert(key);
      slots.mQueryAt = aNow.mTime;
      slots.mQueries = 0;
      for (const auto member : departed) {
        slots.mDeparted += ownership::SlotsOf(*aOld, key, slots.mTotal, member);
      }
      if (aOld == nullptr) {
        slots.mDeparted = slots.mTotal; // The earlier views are not known.
      }
      slots.mDeparted = std::min(slots.mDeparted, slots.mTotal);
    }
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
}

void OnSlotsAnswered(State& aState, const SlotsAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  if (aEvent.mUpstream >= aState.mIndices) {
    return;
  }
  const auto key = dispatch::AddressOf(*aState.mDispatch, aEvent.mUpstream).mKey;
  const auto it = aState.mSlots.find(key);
  if (it == aState.mSlots.end() || !it->second.mQuerying) {
    return;
  }
  auto& slots = it->second;
  slots.mQuerying = false;
  const auto interval = ++slots.mQueries > kFastQueries ? kSlowQueryInterval : kQueryInterval;
  slots.mQueryAt = aNow.mTime + Jitter(aState, interval / 2, interval);
  if (!aEvent.mBusy || slots.mHeldBack == 0 || slots.mDeparted == 0) {
    return;
  }
  // Free slots beyond this entry's own idle ones are those of the departed, and of other members
  // that leave theirs idle; the latter are rare when slots are short.
  const auto running = RunningOf(LoadsByKey(aState), key);
  const auto idle = slots.mCredits - std::min(slots.mCredits, running);
  const auto taken = *aEvent.mBusy + idle;
  const auto free = slots.mTotal - std::min(slots.mTotal, taken);
  const auto part = std::min<std::uint64_t>(
    slots.mHeldBack,
    (std::uint64_t{ std::min(free, slots.mDeparted) } * slots.mHeldBack + slots.mDeparted - 1) /
      slots.mDeparted);
  slots.mHeldBack -= static_cast<std::uint32_t>(part);
  slots.mDeparted -= std::min(slots.mDeparted, std::min(free, slots.mDeparted));
  if (slots.mHeldBack == 0) {
    Release(aState, key, slots, aNow, aActions);
  } else {
    slots.mDeparted = std::max(slots.mDeparted, slots.mHeldBack);
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
}

void NoteRefusal(State& aState, const UpstreamAnswered& aEvent, const Now& aNow)
{
  if (aEvent.mOutcome.mVerdict == Verdict::NotRun && aEvent.mOutcome.mCode == ErrorCode::Stopping &&
      aEvent.mUpstream < aState.mIndices) {
    aState.mLeavingNotes[dispatch::AddressOf(*aState.mDispatch, aEvent.mUpstream).mKey] =
      aNow.mTime + kNoteTime;
  }
}

void TickSlots(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mSlotsAt) {
    return;
  }
  aState.mSlotsAt = aNow.mTime + kSlotsPeriod;
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