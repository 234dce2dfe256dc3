#include <algorithm>

#include "cancels.h"

// The store's topic of cancels: what is appended and removed, and when it is read.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Appends per second, which bounds those of 45 entries to 180 of the 1,200 writes a second that
/// the store handles.
constexpr double kAppendsPerSecond = 4;
constexpr double kAppendBurst = 10;
constexpr milliseconds kAppendRetryDelay{ 250 };
/// Clocks of the entries and of the store's readers differ by up to 2 s, and may be stepped.
constexpr milliseconds kClockMargin{ 5000 };
/// A reader removes keys of others that are overdue by this: their writer is gone.
constexpr milliseconds kOverdue{ 30000 };
constexpr milliseconds kRemovalInterval{ 5000 };
/// An entry that starts waits no longer for the store.
constexpr milliseconds kInitialReadTimeout{ 2000 };
constexpr milliseconds kReadRetryDelay{ 250 };
/// While others cannot be heard: wait of one read, and pause after it.
constexpr milliseconds kReadWait{ 1000 };
constexpr milliseconds kReadPause{ 400 };
constexpr milliseconds kReachabilityInterval{ 100 };
/// After this time from its start, an entry is in touch with the others. Less than
/// kIsolatedTimeout, so that one that is alone has read the topic again by then.
constexpr milliseconds kStartTime{ 1500 };
/// Silent peers are taken for gone after this, as in MayHaveJobs.
constexpr milliseconds kPeerGoneAfter{ 60000 };
/// An entry that hears no other one and cannot read the topic accepts no submission after this, so
/// that none of a cancelled job is accepted more than 3 s after the acknowledgement.
constexpr milliseconds kIsolatedTimeout{ 2000 };
/// The same for an entry that hears none outside its data centre. Other data centres acknowledge no
/// cancel before kPeerGoneAfter.
constexpr milliseconds kCutOffTimeout{ 50000 };

/// Whether other entries may not be able to tell this one of cancels.
bool MayMissCancels(const State& aState, const Now& aNow)
{
  if (aNow.mTime - aState.mStarted < kStartTime) {
    return false;
  }
  const auto isAnyPresent = [&](const std::string& aDataCentre) {
    return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [&](const auto& aIt) {
      return aIt.second.mRecord.mDataCentre == aDataCentre && IsPresent(aState, aIt.second, aNow);
    });
  };
  for (const auto& [dataCentre, entries] : aState.mRankings) {
    const bool isLocal = dataCentre == aState.mOptions.mDataCentre;
    if (entries.size() > (isLocal ? 1 : 0) && !isAnyPresent(dataCentre)) {
      return true;
    }
  }
  return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [&](const auto& aIt) {
    const auto& peer = aIt.second;
    if (peer.mWantedInterval.count() == 0 || peer.mPresence.mLeaving ||
        peer.mRecord.mDataCentre != aState.mOptions.mDataCentre || IsPresent(aState, peer, aNow)) {
      return false;
    }
    const auto silence = aNow.mTime - peer.mHeardAt.value_or(peer.mSelectedAt);
    return silence < kPeerGoneAfter && (peer.mHeardAt || silence >= kFirstContact);
  });
}

/// Applies a record of the topic. Clocks differ, so one that has just expired still counts.
void ApplyStored(State& aState, const StoredCancel& aRecord, const Now& aNow, Actions& aActions)
{
  if (aRecord.mUntilMs <= 0) {
    return; // The key has been removed.
  }
  const auto now = aNow.mUnixMs;
  const auto until =
    std::clamp(aRecord.mUntilMs, now - 2 * kOverdue.count(), now + kStoredRetention.count());
  const milliseconds left{ until - now };
  if (left + kClockMargin > milliseconds{ 0 } && !IsCancelled(aState, aRecord.mJob, aNow)) {
    CancelHere(aState, aRecord.mJob, aNow, aActions, left + kClockMargin);
  }
  auto& stored = aState.mCancels.mStored;
  const bool isOwn = aRecord.mEntry == aState.mOptions.mName;
  if ((isOwn || left + kOverdue < milliseconds{ 0 }) && !stored.contains(aRecord.mJob) &&
      stored.size() < message::kMaxCancelledJobs) {
    stored.emplace(aRecord.mJob, aNow.mTime + Duration(left + kClockMargin));
  }
}

} // namespace

void StoreCancels(State& aState, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  const bool isRemovalDue = aNow.mTime >= cancels.mNextRemoval && !cancels.mStored.empty();
  if (cancels.mAppending || aNow.mTime < cancels.mNextAppend ||
      (cancels.mToStore.empty() && !isRemovalDue) ||
      !TakeToken(cancels.mAppendBucket, kAppendsPerSecond, kAppendBurst, aNow)) {
    return;
  }
  AppendCancels append{ cancels.mLastAppend + 1, {} };
  while (!cancels.mToStore.empty() && append.mRecords.size() < kMaxBatchJobs) {
    auto node = cancels.mToStore.extract(cancels.mToStore.begin());
    append.mRecords.push_back({ node.value(), aNow.mUnixMs + kStoredRetention.count(), "" });
    // Also if no answer arrives: the append may be carried out.
    cancels.mStored[node.value()] = aNow.mTime + Duration(kStoredRetention + kClockMargin);
    cancels.mStoring.insert(std::move(node));
  }
  if (isRemovalDue) {
    for (const auto& [job, removeAt] : cancels.mStored) {
      // A later cancel of the job, at another entry, has renewed the record.
      const bool isRenewed = IsCancelled(aState, job, aNow);
      if (removeAt <= aNow.mTime && !isRenewed && append.mRecords.size() < 2 * kMaxBatchJobs) {
        append.mRecords.push_back({ job, 0, "" });
        cancels.mRemoving.push_back(job);
      }
    }
    cancels.mNextRemoval = aNow.mTime + Duration(kRemovalInterval);
  }
  if (append.mRecords.empty()) {
    return;
  }
  ++cancels.mLastAppend;
  cancels.mAppending = true;
  aActions.emplace_back(std::move(append));
}

void UpdateReachability(State& aState, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  if (aNow.mTime < cancels.mNextReachabilityCheck) {
    return;
  }
  cancels.mNextReachabilityCheck = aNow.mTime + Duration(kReachabilityInterval);
  for (const auto& [address, peer] : aState.mPeers) {
    if (!IsPresent(aState, peer, aNow)) {
      continue;
    }
    cancels.mAnyEntryHeardAt = aNow.mTime;
    if (peer.mRecord.mDataCentre != aState.mOptions.mDataCentre) {
      cancels.mOtherDataCentreHeardAt = aNow.mTime;
      break;
    }
  }
  const bool cannotHear = MayMissCancels(aState, aNow);
  if (cannotHear != cancels.mMayMissCancels) {
    cancels.mMayMissCancels = cannotHear;
    cancels.mFollowing = false;
    // The records since the last read may fill many pages, of which only the first would be read
    // before submissions are accepted. The newest record of each key is read instead.
    cancels.mNextOffset.reset();
    AddReport(aActions, cannotHear ? "cancels_followed" : "cancels_followed_no_more", {});
  }
}

void HandleCancelsRead(State& aState, const CancelsRead& aEvent, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  if (!cancels.mReading || aEvent.mNumber != cancels.mLastRead) {
    return;
  }
  cancels.mReading = false;
  if (aEvent.mOutcome == CancelCallOutcome::Trimmed) {
    cancels.mNextOffset.reset();
    return;
  }
  if (aEvent.mOutcome != CancelCallOutcome::Ok) {
    cancels.mNextRead = aNow.mTime + Duration(kReadRetryDelay);
    return;
  }
  for (const auto& record : aEvent.mRecords) {
    ApplyStored(aState, record, aNow, aActions);
  }
  cancels.mNextOffset = aEvent.mNext;
  cancels.mReadAt = aNow.mTime;
  cancels.mFollowing = cancels.mMayMissCancels;
  cancels.mNextRead = aNow.mTime + Duration(kReadPause);
  cancels.mKnown = true;
}

void HandleCancelsAppended(State& aState,
                           const CancelsAppended& aEvent,
                           const Now& aNow,
                           Actions& aActions)
{
  auto& cancels = aState.mCancels;
  if (!cancels.mAppending || aEvent.mNumber != cancels.mLastAppend) {
    return;
  }
  ++aState.mCounts.mCancelAppends.at(static_cast<std::size_t>(aEvent.mOutcome));
  cancels.mAppending = false;
  const auto stored = std::exchange(cancels.mStoring, {});
  const auto removed = std::exchange(cancels.mRemoving, {});
  const bool isOk = aEvent.mOutcome == CancelCallOutcome::Ok;
  for (const auto& job : removed) {
    const auto it = cancels.mStored.find(job);
    if (isOk && it != cancels.mStored.end() && it->second <= aNow.mTime) {
      cancels.mStored.erase(it);
    }
  }
  std::vector<RequestId> waiting;
  for (const auto& [request, caller] : cancels.mCallers) {
    if (caller.mResult && stored.contains(caller.mJob)) {
      waiting.push_back(request);
    }
  }
  for (const auto request : waiting) {
    const auto& caller = cancels.mCallers.at(request);
    if (isOk) {
      AnswerCancel(aState, request, *caller.mResult, CancelOutcome::Acknowledged, aNow, aActions);
    } else {
      cancels.mToStore.insert(caller.mJob);
    }
  }
  if (!isOk) {
    // While the store is down, keys are left to later readers, which bounds the memory for them.
    std::erase_if(cancels.mStored, [&aNow](const auto& aIt) {
      return aNow.mTime - aIt.second > Duration(2 * kOverdue);
    });
    cancels.mNextAppend = aNow.mTime + Duration(kAppendRetryDelay);
  }
  StoreCancels(aState, aNow, aActions);
}

void FollowCancels(State& aState, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  if (!cancels.mKnown && aNow.mTime - cancels.mUnknownSince >= kInitialReadTimeout) {
    cancels.mKnown = true;
    AddReport(aActions, "cancels_unread", {}, true);
  }
  const bool isRead = cancels.mReadAt && *cancels.mReadAt >= cancels.mUnknownSince;
  if (cancels.mReading || aNow.mTime < cancels.mNextRead || (isRead && !cancels.mMayMissCancels)) {
    return;
  }
  cancels.mReading = true;
  const auto wait =
    isRead && cancels.mFollowing && cancels.mNextOffset ? kReadWait : milliseconds{ 0 };
  aActions.emplace_back(ReadCancels{ ++cancels.mLastRead, cancels.mNextOffset, wait });
}

void ForgetCancelsRead(State& aState, const Now& aNow)
{
  auto& cancels = aState.mCancels;
  cancels.mKnown = false;
  cancels.mUnknownSince = aNow.mTime;
  cancels.mReading = false; // The answer of a read from before the pause does not count.
  cancels.mNextRead = aNow.mTime;
  cancels.mNextOffset.reset(); // As in UpdateReachability.
}

bool MayLackCancels(const State& aState, const Now& aNow)
{
  const auto& cancels = aState.mCancels;
  if (!cancels.mKnown) {
    return aNow.mTime - cancels.mUnknownSince < kInitialReadTimeout;
  }
  const auto sinceRead = aNow.mTime - cancels.mReadAt.value_or(aState.mStarted);
  const bool isAlone = aState.mEntries.size() > 1 &&
                       aNow.mTime - cancels.mAnyEntryHeardAt >= kIsolatedTimeout &&
                       sinceRead >= kIsolatedTimeout;
  const bool isCutOff = aState.mRankings.size() > 1 &&
                        aNow.mTime - cancels.mOtherDataCentreHeardAt >= kCutOffTimeout &&
                        sinceRead >= kCutOffTimeout;
  return isAlone || isCutOff;
}

std::string_view ToString(CancelCallOutcome aOutcome)
{
  switch (aOutcome) {
    case CancelCallOutcome::Ok:
      return "ok";
    case CancelCallOutcome::Trimmed:
      return "trimmed";
    case CancelCallOutcome::Refused:
      return "refused";
    case CancelCallOutcome::Unreachable:
      break;
  }
  return "unreachable";
}

} // namespace pollenwall::entry
