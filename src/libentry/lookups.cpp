#include <algorithm>

#include <pollenwall/admission.h>

#include "state.h"

// Jobs by their ids. A job may be at any entry: only its owner knows it while it waits for a
// holder. The entry that is asked sends a lookup to a candidate of its data centre, which sends it
// to all entries of the data centre and to one candidate of each other one; these ask the entries
// there. See docs/platform.md, section 3.

namespace pollenwall::entry {
namespace {

using message::LookupResult;
using message::LookupScope;
using std::chrono::milliseconds;

/// Lookups per second for callers of this entry, and those that this entry sends to all entries of
/// its data centre. The latter cost a message and a reply for each of them, so their rate bounds
/// what a flood of unknown ids costs.
constexpr double kCallerLookupsPerSecond = 5;
constexpr double kCallerLookupBurst = 20;
constexpr double kRelayedLookupsPerSecond = 5;
constexpr double kRelayedLookupBurst = 30;
/// Longest waits for replies. An entry that is slow but counts as alive answers within
/// Options::mSilentAfter; each relay leaves the entry that asked it time for its answer.
constexpr milliseconds kCallerTimeout{ 900 };
constexpr milliseconds kEverywhereTimeout{ 750 };
constexpr milliseconds kDataCentreTimeout{ 600 };
constexpr milliseconds kUnknownRetryAfter{ 500 };
constexpr milliseconds kLimitedRetryAfter{ 1000 };
/// A cancelled job is not started for this long. Submissions of the same job arrive after the
/// caller's connection has broken and its retry delay has passed, or seconds late.
constexpr milliseconds kCancelledRetention{ 30000 };
/// An entry that has not been heard for this long is treated as gone, with its jobs. Before that
/// it may be cut off and run them. Records of removed machines stay in the list of entries for
/// good, so that without this limit no job would ever be denied.
constexpr milliseconds kGoneAfter{ 60000 };
/// The same after Options::mDrainLimit for an entry that was stopping.
constexpr milliseconds kStoppedAfterDrain{ 1000 };

LookupResult FindHere(const State& aState, std::string_view aJob)
{
  for (const auto& [number, call] : aState.mCalls) {
    if (call.mJob.mId == aJob) {
      return LookupResult::Owned;
    }
  }
  for (const auto& [request, origin] : aState.mOrigins) {
    if (origin.mJob == aJob) {
      return LookupResult::Held;
    }
  }
  return LookupResult::NotFound;
}

/// Looks for a job at this entry only, or cancels it here.
LookupResult LookHere(State& aState,
                      const std::string& aJob,
                      bool aCancel,
                      const Now& aNow,
                      Actions& aActions)
{
  return aCancel ? CancelHere(aState, aJob, aNow, aActions) : FindHere(aState, aJob);
}

void ForgetEarliest(Lookups& aLookups)
{
  const auto it = aLookups.mCancelledByExpiry.begin();
  aLookups.mCancelled.erase(it->second);
  aLookups.mCancelledByExpiry.erase(it);
}

void Ask(std::uint64_t aNumber,
         PendingLookup& aPending,
         const std::string& aAddress,
         LookupScope aScope,
         Actions& aActions)
{
  aPending.mAsked.insert(aAddress);
  aActions.emplace_back(
    SendPeer{ aAddress, message::Lookup{ aNumber, aPending.mJob, aPending.mCancel, aScope } });
}

void AddResult(PendingLookup& aPending, LookupResult aResult)
{
  aPending.mResult = aPending.mCancel ? CombineCancels(aPending.mResult, aResult)
                                      : std::max(aPending.mResult, aResult);
}

/// Asks all entries of this data centre but the one that has asked, and with Everywhere a candidate
/// of each other one.
void AskOthers(State& aState,
               std::uint64_t aNumber,
               PendingLookup& aPending,
               LookupScope aScope,
               const Now& aNow,
               Actions& aActions)
{
  ++aState.mCounts.mLookupsRelayed;
  for (const auto& [dataCentre, ranking] : aState.mRankings) {
    const bool isLocal = dataCentre == aState.mOptions.mDataCentre;
    if (!isLocal && aScope != LookupScope::Everywhere) {
      continue;
    }
    if (!isLocal) {
      const auto candidate = FindCandidate(aState, dataCentre, false, aNow);
      if (!candidate.empty()) {
        Ask(aNumber, aPending, candidate, LookupScope::DataCentre, aActions);
        continue;
      }
    }
    for (const auto& address : ranking) {
      if (address == aState.mOptions.mPeerAddress || address == aPending.mPeer) {
        continue;
      }
      if (isLocal && FindPresent(aState, address, aNow) != nullptr) {
        Ask(aNumber, aPending, address, LookupScope::Entry, aActions);
      } else if (MayHaveJobs(aState, address, aNow)) {
        AddResult(aPending, LookupResult::Unknown);
      }
    }
  }
}

bool MayRelay(State& aState, const Now& aNow)
{
  const bool may =
    TakeToken(aState.mLookups.mRelayBucket, kRelayedLookupsPerSecond, kRelayedLookupBurst, aNow);
  aState.mCounts.mLookupsLimited += may ? 0 : 1;
  return may;
}

/// Asks a candidate of this data centre to ask the others, or asks them if this entry is one.
void AskForCaller(State& aState,
                  std::uint64_t aNumber,
                  PendingLookup& aPending,
                  const Now& aNow,
                  Actions& aActions)
{
  const bool isFirst = aState.mFirstLive.contains(aState.mOptions.mPeerAddress);
  if (aState.mCandidate && isFirst) {
    if (!MayRelay(aState, aNow)) {
      AddResult(aPending, LookupResult::Unknown);
      return;
    }
    AskOthers(aState, aNumber, aPending, LookupScope::Everywhere, aNow, aActions);
    return;
  }
  std::vector<std::string> candidates;
  for (const auto& address : aState.mFirstLive) {
    const auto* peer = FindPresent(aState, address, aNow);
    if (peer != nullptr && peer->mPresence.mCandidate && !peer->mPresence.mLeaving) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    AddResult(aPending, LookupResult::Unknown);
    return;
  }
  // At random, so that a repeated lookup mostly goes to another candidate.
  Ask(aNumber,
      aPending,
      candidates[aState.mRandom() % candidates.size()],
      LookupScope::Everywhere,
      aActions);
}

void Finish(State& aState, const PendingLookup& aPending, LookupResult aResult, Actions& aActions)
{
  if (!aPending.mRequest) {
    aActions.emplace_back(SendPeer{ aPending.mPeer,
                                    message::LookupReply{ aPending.mPeerNumber, aResult },
                                    aPending.mPeerIncarnation });
    return;
  }
  AnswerLookup answer{ *aPending.mRequest, aResult };
  if (aResult == LookupResult::Unknown) {
    answer.mRetryAfter = admission::RetryAfter(kUnknownRetryAfter, aState.mRandom);
    AddReport(aActions, "lookup_unknown", { { "job", aPending.mJob } }, true);
  }
  aActions.emplace_back(answer);
}

/// Whether the answer can no longer change. A cancel waits for all entries, so that each has
/// cancelled the job, and none starts it, when it is acknowledged.
bool IsDecided(const PendingLookup& aPending)
{
  const bool isFound =
    aPending.mResult == LookupResult::Held || aPending.mResult == LookupResult::Owned;
  return aPending.mAsked.empty() || (isFound && !aPending.mCancel);
}

/// Keeps a lookup until the entries that were asked have replied, or ends it if none was.
void KeepOrFinish(State& aState, std::uint64_t aNumber, PendingLookup aPending, Actions& aActions)
{
  if (IsDecided(aPending)) {
    Finish(aState, aPending, aPending.mResult, aActions);
    return;
  }
  aState.mLookups.mPending.emplace(aNumber, std::move(aPending));
}

} // namespace

bool TakeToken(TokenBucket& aBucket, double aPerSecond, double aBurst, const Now& aNow)
{
  if (!aBucket.mFilledAt) {
    aBucket.mTokens = aBurst;
  } else {
    const auto passed = std::chrono::duration<double>(aNow.mTime - *aBucket.mFilledAt).count();
    aBucket.mTokens = std::min(aBucket.mTokens + aPerSecond * passed, aBurst);
  }
  aBucket.mFilledAt = aNow.mTime;
  if (aBucket.mTokens < 1) {
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

LookupResult CombineCancels(LookupResult aOne, LookupResult aOther)
{
  if (aOne == LookupResult::Unknown || aOther == LookupResult::Unknown) {
    return LookupResult::Unknown;
  }
  return std::max(aOne, aOther);
}

LookupResult CancelHere(State& aState,
                        std::string_view aJob,
                        const Now& aNow,
                        Actions& aActions,
                        milliseconds aRetention)
{
  const bool owned = CancelCallsOf(aState, aJob, aNow, aActions);
  const bool held = CancelPeerJobsOf(aState, aJob, aNow, aActions);
  if (owned || held) {
    AddReport(aActions, "job_cancelled", { { "job", std::string(aJob) } });
  }
  if (!RememberCancelled(aState, aJob, owned, aNow, aRetention)) {
    return LookupResult::Unknown;
  }
  auto& known = aState.mLookups.mCancelled.find(aJob)->second;
  known.mWasHeld = known.mWasHeld || held;
  if (known.mWasOwned) {
    return LookupResult::Owned;
  }
  return known.mWasHeld ? LookupResult::Held : LookupResult::NotFound;
}

bool MayHaveJobs(const State& aState, const std::string& aAddress, const Now& aNow)
{
  const auto it = aState.mLookups.mHeard.find(aAddress);
  const bool heard = it != aState.mLookups.mHeard.end();
  const auto since = heard ? it->second.mHeardAt : aState.mStarted;
  const bool leaving = heard && it->second.mLeaving;
  return aNow.mTime - since <
         (leaving ? aState.mOptions.mDrainLimit + kStoppedAfterDrain : kGoneAfter);
}

const Peer* FindPresent(const State& aState, const std::string& aAddress, const Now& aNow)
{
  const auto it = aState.mPeers.find(aAddress);
  return it != aState.mPeers.end() && IsPresent(aState, it->second, aNow) ? &it->second : nullptr;
}

/// Chosen at random: the work is spread, and a repeated lookup mostly goes to another one. Most
/// candidates send presences only once a second, so IsPresent finds them dead late.
std::string FindCandidate(State& aState,
                          std::string_view aDataCentre,
                          bool aCancels,
                          const Now& aNow)
{
  const auto recent =
    aNow.mTime - Duration(aState.mOptions.mIdlePresenceInterval + aState.mOptions.mSilentAfter);
  std::vector<std::string> candidates;
  for (const auto& [address, peer] : aState.mPeers) {
    if (peer.mRecord.mDataCentre == aDataCentre && peer.mPresence.mCandidate &&
        !peer.mPresence.mLeaving && IsPresent(aState, peer, aNow) && peer.mHeardAt >= recent &&
        (!aCancels || peer.mPresence.mAnswersCancels)) {
      candidates.push_back(address);
    }
  }
  return candidates.empty() ? "" : candidates[aState.mRandom() % candidates.size()];
}

void LookUp(State& aState, const CallerLookup& aEvent, const Now& aNow, Actions& aActions)
{
  ++aState.mCounts.mLookups;
  auto& lookups = aState.mLookups;
  PendingLookup pending;
  pending.mJob = aEvent.mJob;
  pending.mRequest = aEvent.mRequest;
  pending.mExpiresAt = aNow.mTime + Duration(kCallerTimeout);
  pending.mResult = FindHere(aState, aEvent.mJob);
  if (pending.mResult != LookupResult::NotFound) {
    Finish(aState, pending, pending.mResult, aActions);
    return;
  }
  const bool mayAsk =
    !aState.mStopped &&
    TakeToken(lookups.mCallerBucket, kCallerLookupsPerSecond, kCallerLookupBurst, aNow);
  if (!mayAsk) {
    // Counted and not logged: the lines of a flood would cost more than its answers.
    ++aState.mCounts.mLookupsLimited;
    const auto retryAfter = admission::RetryAfter(kLimitedRetryAfter, aState.mRandom);
    aActions.emplace_back(AnswerLookup{ aEvent.mRequest, LookupResult::Unknown, retryAfter });
    return;
  }
  const auto number = ++lookups.mLastNumber;
  AskForCaller(aState, number, pending, aNow, aActions);
  KeepOrFinish(aState, number, std::move(pending), aActions);
}

void HandleLookup(State& aState,
                  const std::string& aFrom,
                  const message::Lookup& aLookup,
                  const Now& aNow,
                  Actions& aActions)
{
  const bool isRelay = aLookup.mScope != LookupScope::Entry;
  PendingLookup pending;
  pending.mJob = aLookup.mJob;
  pending.mCancel = aLookup.mCancel;
  pending.mPeer = aFrom;
  pending.mPeerNumber = aLookup.mNumber;
  const auto peer = aState.mPeers.find(aFrom);
  pending.mPeerIncarnation =
    peer == aState.mPeers.end() ? Incarnation{} : peer->second.mIncarnation;
  if (isRelay && !MayRelay(aState, aNow)) {
    Finish(aState, pending, LookupResult::Unknown, aActions);
    return;
  }
  pending.mResult = LookHere(aState, aLookup.mJob, aLookup.mCancel, aNow, aActions);
  const auto number = ++aState.mLookups.mLastNumber;
  if (isRelay && (aLookup.mCancel || pending.mResult == LookupResult::NotFound)) {
    AskOthers(aState, number, pending, aLookup.mScope, aNow, aActions);
    pending.mExpiresAt =
      aNow.mTime +
      Duration(aLookup.mScope == LookupScope::Everywhere ? kEverywhereTimeout : kDataCentreTimeout);
  }
  KeepOrFinish(aState, number, std::move(pending), aActions);
}

void HandleLookupReply(State& aState,
                       const std::string& aFrom,
                       const message::LookupReply& aReply,
                       Actions& aActions)
{
  const auto it = aState.mLookups.mPending.find(aReply.mNumber);
  if (it == aState.mLookups.mPending.end() || it->second.mAsked.erase(aFrom) == 0) {
    return; // It has ended.
  }
  auto& pending = it->second;
  if (!pending.mCancel && aReply.mResult == LookupResult::Held) {
    pending.mResult = LookupResult::Held; // It runs, whatever the entries that can't be asked have.
  } else {
    AddResult(pending, aReply.mResult);
  }
  if (!IsDecided(pending)) {
    return;
  }
  const auto node = aState.mLookups.mPending.extract(it);
  Finish(aState, node.mapped(), node.mapped().mResult, aActions);
}

void HandleCancelledJobs(State& aState,
                         const message::CancelledJobs& aMessage,
                         const Now& aNow,
                         Actions& aActions)
{
  for (const auto& cancelled : aMessage.mJobs) {
    if (!IsCancelled(aState, cancelled.mJob, aNow)) {
      CancelHere(aState, cancelled.mJob, aNow, aActions, cancelled.mRetention);
    }
  }
}

void SendCancelledJobs(const State& aState,
                       const std::string& aTo,
                       const Now& aNow,
                       Actions& aActions)
{
  message::CancelledJobs cancelled;
  for (const auto& [job, known] : aState.mLookups.mCancelled) {
    if (aNow.mTime < known.mUntil) {
      cancelled.mJobs.push_back(
        { job, std::chrono::duration_cast<milliseconds>(known.mUntil - aNow.mTime) });
    }
  }
  if (!cancelled.mJobs.empty()) {
    // For any process: the peer may have restarted, and its new process is not known yet.
    aActions.emplace_back(SendPeer{ aTo, std::move(cancelled), Incarnation{} });
  }
}

void RecordHeard(State& aState,
                 const std::string& aFrom,
                 const message::Presence& aPresence,
                 const Now& aNow)
{
  aState.mLookups.mHeard[aFrom] = { aNow.mTime, aPresence.mLeaving };
}

bool RememberCancelled(State& aState,
                       std::string_view aJob,
                       bool aWasOwned,
                       const Now& aNow,
                       milliseconds aRetention)
{
  auto& lookups = aState.mLookups;
  const auto until = aNow.mTime + Duration(std::min(aRetention, kCancelledRetention));
  // None is forgotten early for another one: its cancel may have been acknowledged.
  if (lookups.mCancelled.size() >= message::kMaxCancelledJobs &&
      !lookups.mCancelled.contains(aJob)) {
    return false;
  }
  const auto [it, added] = lookups.mCancelled.try_emplace(std::string(aJob));
  auto& cancelled = it->second;
  cancelled.mWasOwned = cancelled.mWasOwned || aWasOwned;
  if (!added) {
    lookups.mCancelledByExpiry.erase({ cancelled.mUntil, it->first });
  }
  cancelled.mUntil = std::max(cancelled.mUntil, until);
  lookups.mCancelledByExpiry.emplace(cancelled.mUntil, it->first);
  return true;
}

bool IsCancelled(const State& aState, std::string_view aJob, const Now& aNow)
{
  const auto it = aState.mLookups.mCancelled.find(aJob);
  return it != aState.mLookups.mCancelled.end() && aNow.mTime < it->second.mUntil;
}

Error CancelledError()
{
  return { ErrorCode::Cancelled, Verdict::MayHaveRun, "The job was cancelled.", {} };
}

void AdvanceLookups(State& aState, const Now& aNow, Actions& aActions)
{
  auto& lookups = aState.mLookups;
  for (auto it = lookups.mPending.begin(); it != lookups.mPending.end();) {
    auto& pending = it->second;
    if (aNow.mTime < pending.mExpiresAt) {
      ++it;
      continue;
    }
    AddResult(pending, LookupResult::Unknown);
    Finish(aState, pending, pending.mResult, aActions);
    it = lookups.mPending.erase(it);
  }
  auto& byExpiry = lookups.mCancelledByExpiry;
  while (!byExpiry.empty() && byExpiry.begin()->first <= aNow.mTime) {
    ForgetEarliest(lookups);
  }
}

void EndAllLookups(State& aState, Actions& aActions)
{
  for (auto& [number, pending] : aState.mLookups.mPending) {
    AddResult(pending, LookupResult::Unknown);
    Finish(aState, pending, pending.mResult, aActions);
  }
  aState.mLookups.mPending.clear();
}

} // namespace pollenwall::entry
