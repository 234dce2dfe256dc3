#include <algorithm>

#include "cancels.h"

// Batches of cancels, which are told to all entries through candidates.

namespace pollenwall::entry {
namespace {

using message::LookupResult;
using message::LookupScope;
using std::chrono::milliseconds;

/// Batches of one scope per second. A cancel is sent at once unless many were sent just before; it
/// then waits for the next batch. The rate bounds the messages, whatever the number of cancels.
constexpr double kBatchesPerSecond = 6;
constexpr double kBatchBurst = 20;
/// Longest waits for replies. Each relay leaves the entry that asked it time for its answer.
constexpr milliseconds kAskTimeout{ 850 };
constexpr milliseconds kEverywhereTimeout{ 700 };
constexpr milliseconds kDataCentreTimeout{ 500 };
/// An entry of the previous release relays five lookups a second.
constexpr std::size_t kMaxFormerRelays = 5;

/// Just after its start an entry may not know the other entries yet.
bool IsRelay(const State& aState, const Now& aNow)
{
  return aState.mCandidate && aState.mFirstLive.contains(aState.mOptions.mPeerAddress) &&
         (aState.mEntriesRead || aNow.mTime - aState.mStarted >= kFirstContact);
}

/// Whether an entry of this data centre that is silent to this one notices that it cannot hear it.
/// A new candidate has not been in touch with all entries yet.
bool KnowsItsEntries(const State& aState, const Now& aNow)
{
  return IsRelay(aState, aNow) && aNow.mTime - aState.mCandidateSince >= kFirstContact;
}

message::CancelledJobs MakeMessage(const CancelBatch& aBatch,
                                   std::uint64_t aNumber,
                                   LookupScope aScope)
{
  message::CancelledJobs cancelled;
  cancelled.mNumber = aNumber;
  cancelled.mScope = aScope;
  for (const auto& [job, result] : aBatch.mJobs) {
    cancelled.mJobs.push_back({ job, kStoredRetention });
  }
  return cancelled;
}

void SetAllUnknown(CancelBatch& aBatch)
{
  for (auto& [job, result] : aBatch.mJobs) {
    result = LookupResult::Unknown;
  }
}

/// Lets an entry of the previous release cancel the jobs, as far as it relays them. Its answer may
/// hide that it could not ask some entries, so the result is unknown.
void AskFormerRelay(State& aState,
                    CancelBatch& aBatch,
                    const std::string& aTo,
                    LookupScope aScope,
                    Actions& aActions)
{
  std::size_t sent = 0;
  for (const auto& [job, result] : aBatch.mJobs) {
    if (sent++ == kMaxFormerRelays) {
      break;
    }
    aActions.emplace_back(
      SendPeer{ aTo, message::Lookup{ ++aState.mLookups.mLastNumber, job, true, aScope } });
  }
  SetAllUnknown(aBatch);
}

/// Asks one candidate of this data centre to tell all entries. Chosen at random, so that a repeated
/// cancel mostly goes to another one.
void AskCandidate(State& aState,
                  std::uint64_t aNumber,
                  CancelBatch& aBatch,
                  const Now& aNow,
                  Actions& aActions)
{
  std::vector<std::string> candidates;
  std::string former;
  for (const auto& address : aState.mFirstLive) {
    const auto* peer = FindPresent(aState, address, aNow);
    if (peer == nullptr || !peer->mPresence.mCandidate || peer->mPresence.mLeaving) {
      continue;
    }
    if (peer->mPresence.mAnswersCancels) {
      candidates.push_back(address);
    } else {
      former = address;
    }
  }
  if (candidates.empty()) {
    if (!former.empty()) {
      AskFormerRelay(aState, aBatch, former, LookupScope::Everywhere, aActions);
    }
    SetAllUnknown(aBatch);
    return;
  }
  const auto& to = candidates[aState.mRandom() % candidates.size()];
  aBatch.mAsked.emplace(to, 1);
  aActions.emplace_back(SendPeer{ to, MakeMessage(aBatch, aNumber, LookupScope::Everywhere) });
}

/// Tells a candidate of another data centre, which tells the entries there.
void NotifyDataCentre(State& aState,
                      std::uint64_t aNumber,
                      CancelBatch& aBatch,
                      const std::string& aDataCentre,
                      const std::vector<std::string>& aEntries,
                      const Now& aNow,
                      Actions& aActions)
{
  const auto candidate = FindCandidate(aState, aDataCentre, true, aNow);
  if (!candidate.empty()) {
    aBatch.mAsked.emplace(candidate, 1);
    aActions.emplace_back(
      SendPeer{ candidate, MakeMessage(aBatch, aNumber, LookupScope::DataCentre) });
    return;
  }
  const auto former = FindCandidate(aState, aDataCentre, false, aNow);
  if (!former.empty()) {
    AskFormerRelay(aState, aBatch, former, LookupScope::DataCentre, aActions);
    return;
  }
  if (std::any_of(aEntries.begin(), aEntries.end(), [&](const auto& aAddress) {
        return MayHaveJobs(aState, aAddress, aNow);
      })) {
    SetAllUnknown(aBatch);
  }
}

/// Sends the cancels of a batch as lookups to an entry of the previous release in this data centre.
/// It answers only for itself.
void NotifyFormer(State& aState,
                  std::uint64_t aNumber,
                  CancelBatch& aBatch,
                  const std::string& aTo,
                  Actions& aActions)
{
  for (const auto& [job, result] : aBatch.mJobs) {
    const auto number = ++aState.mLookups.mLastNumber;
    aState.mCancels.mFormer.emplace(number, FormerCancel{ aNumber, aTo, job });
    ++aBatch.mAsked[aTo];
    aActions.emplace_back(
      SendPeer{ aTo, message::Lookup{ number, job, true, LookupScope::Entry } });
  }
}

/// Tells the entries of this data centre.
void NotifyLocal(State& aState,
                 std::uint64_t aNumber,
                 CancelBatch& aBatch,
                 const std::vector<std::string>& aEntries,
                 const Now& aNow,
                 Actions& aActions)
{
  auto cancelled = MakeMessage(aBatch, aNumber, LookupScope::Entry);
  std::vector<std::string> present;
  const auto* asker = aBatch.mPeers.size() == 1 && aBatch.mCallers.empty() &&
                          aBatch.mPeers[0].mJobs.size() == aBatch.mJobs.size()
                        ? &aBatch.mPeers[0].mPeer
                        : nullptr;
  for (const auto& address : aEntries) {
    if (address == aState.mOptions.mPeerAddress || (asker != nullptr && address == *asker)) {
      continue;
    }
    if (const auto* peer = FindPresent(aState, address, aNow)) {
      if (peer->mPresence.mAnswersCancels) {
        present.push_back(address);
      } else {
        NotifyFormer(aState, aNumber, aBatch, address, aActions);
      }
      continue;
    }
    // A new candidate cannot tell an entry that is gone from one that it has not heard yet.
    const bool isKnown = KnowsItsEntries(aState, aNow);
    if (isKnown && !MayHaveJobs(aState, address, aNow)) {
      continue;
    }
    // It may be in touch with another candidate; otherwise it notices that and reads the topic.
    cancelled.mMissed.push_back(address);
    if (isKnown) {
      aBatch.mSilent = true;
    } else {
      SetAllUnknown(aBatch);
    }
  }
  for (const auto& address : present) {
    ++aBatch.mAsked[address];
    aActions.emplace_back(SendPeer{ address, cancelled });
  }
}

void Finish(State& aState, CancelBatch aBatch, const Now& aNow, Actions& aActions)
{
  for (const auto& peer : aBatch.mPeers) {
    message::CancelledJobsReply reply{ peer.mNumber, {}, aBatch.mSilent };
    for (const auto& job : peer.mJobs) {
      reply.mResults.push_back(aBatch.mJobs.at(job));
    }
    aActions.emplace_back(SendPeer{ peer.mPeer, std::move(reply), peer.mPeerIncarnation });
  }
  for (const auto request : aBatch.mCallers) {
    const auto it = aState.mCancels.mCallers.find(request);
    if (it != aState.mCancels.mCallers.end()) {
      HandleNotified(
        aState, request, aBatch.mJobs.at(it->second.mJob), aBatch.mSilent, aNow, aActions);
    }
  }
  StoreCancels(aState, aNow, aActions);
}

void FinishIfNotified(State& aState, std::uint64_t aNumber, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mCancels.mBatches.find(aNumber);
  if (it == aState.mCancels.mBatches.end() || !it->second.mAsked.empty()) {
    return;
  }
  auto node = aState.mCancels.mBatches.extract(it);
  Finish(aState, std::move(node.mapped()), aNow, aActions);
}

} // namespace

void SendBatch(State& aState,
               CancelQueue& aQueue,
               LookupScope aScope,
               const Now& aNow,
               Actions& aActions)
{
  if (aQueue.mNext.mJobs.empty() ||
      !TakeToken(aQueue.mBucket, kBatchesPerSecond, kBatchBurst, aNow)) {
    return;
  }
  const auto number = ++aState.mLookups.mLastNumber;
  auto& batch =
    aState.mCancels.mBatches.emplace(number, std::exchange(aQueue.mNext, {})).first->second;
  batch.mScope = aScope;
  if (aScope == LookupScope::Everywhere && !IsRelay(aState, aNow)) {
    batch.mExpiresAt = aNow.mTime + Duration(kAskTimeout);
    if (batch.mPeers.empty()) {
      AskCandidate(aState, number, batch, aNow, aActions);
    } else {
      SetAllUnknown(batch); // This entry has ceased to be a candidate.
    }
  } else {
    ++aState.mCounts.mLookupsRelayed;
    batch.mExpiresAt =
      aNow.mTime +
      Duration(aScope == LookupScope::Everywhere ? kEverywhereTimeout : kDataCentreTimeout);
    for (const auto& [dataCentre, entries] : aState.mRankings) {
      if (dataCentre == aState.mOptions.mDataCentre) {
        NotifyLocal(aState, number, batch, entries, aNow, aActions);
      } else if (aScope == LookupScope::Everywhere) {
        NotifyDataCentre(aState, number, batch, dataCentre, entries, aNow, aActions);
      }
    }
  }
  FinishIfNotified(aState, number, aNow, aActions);
}

void AddToBatch(CancelBatch& aBatch, const std::string& aJob, LookupResult aResult)
{
  const auto [it, added] = aBatch.mJobs.emplace(aJob, aResult);
  it->second = CombineCancels(it->second, aResult);
}

void EndLateBatches(State& aState, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  std::vector<std::uint64_t> late;
  for (const auto& [number, batch] : cancels.mBatches) {
    if (aNow.mTime >= batch.mExpiresAt) {
      late.push_back(number);
    }
  }
  for (const auto number : late) {
    std::erase_if(cancels.mFormer,
                  [number](const auto& aIt) { return aIt.second.mBatch == number; });
    auto node = cancels.mBatches.extract(number);
    SetAllUnknown(node.mapped());
    Finish(aState, std::move(node.mapped()), aNow, aActions);
  }
}

void HandleNewCancels(State& aState,
                      const std::string& aFrom,
                      const message::CancelledJobs& aMessage,
                      const Now& aNow,
                      Actions& aActions)
{
  message::CancelledJobsReply reply{ aMessage.mNumber, {}, false };
  for (const auto& cancelled : aMessage.mJobs) {
    reply.mResults.push_back(
      CancelHere(aState, cancelled.mJob, aNow, aActions, cancelled.mRetention));
  }
  for (const auto& address : aMessage.mMissed) {
    if (address != aState.mOptions.mPeerAddress && FindPresent(aState, address, aNow) != nullptr) {
      aActions.emplace_back(SendPeer{ address, message::CancelledJobs{ aMessage.mJobs } });
    }
  }
  if (aMessage.mScope == LookupScope::Entry) {
    aActions.emplace_back(SendPeer{ aFrom, std::move(reply) });
    return;
  }
  const bool isEverywhere = aMessage.mScope == LookupScope::Everywhere;
  auto& queue = isEverywhere ? aState.mCancels.mEverywhere : aState.mCancels.mDataCentre;
  if (!IsRelay(aState, aNow) ||
      queue.mNext.mJobs.size() + aMessage.mJobs.size() > 2 * kMaxBatchJobs) {
    std::fill(reply.mResults.begin(), reply.mResults.end(), LookupResult::Unknown);
    aActions.emplace_back(SendPeer{ aFrom, std::move(reply) });
    return;
  }
  const auto it = aState.mPeers.find(aFrom);
  const auto process = it == aState.mPeers.end() ? Incarnation{} : it->second.mIncarnation;
  PeerCancels peer{ aFrom, process, aMessage.mNumber, {} };
  for (std::size_t n = 0; n < aMessage.mJobs.size(); ++n) {
    AddToBatch(queue.mNext, aMessage.mJobs[n].mJob, reply.mResults[n]);
    peer.mJobs.push_back(aMessage.mJobs[n].mJob);
  }
  queue.mNext.mPeers.push_back(std::move(peer));
  SendBatch(aState, queue, aMessage.mScope, aNow, aActions);
}

void HandleCancelledJobsReply(State& aState,
                              const std::string& aFrom,
                              const message::CancelledJobsReply& aReply,
                              const Now& aNow,
                              Actions& aActions)
{
  const auto it = aState.mCancels.mBatches.find(aReply.mNumber);
  if (it == aState.mCancels.mBatches.end() || it->second.mAsked.erase(aFrom) == 0) {
    return; // It has ended.
  }
  auto& batch = it->second;
  if (aReply.mResults.size() != batch.mJobs.size()) {
    SetAllUnknown(batch);
  } else {
    auto result = aReply.mResults.begin();
    for (auto& [job, known] : batch.mJobs) {
      known = CombineCancels(known, *result++);
    }
  }
  batch.mSilent = batch.mSilent || aReply.mSilent;
  FinishIfNotified(aState, aReply.mNumber, aNow, aActions);
}

bool HandleFormerReply(State& aState,
                       const std::string& aFrom,
                       const message::LookupReply& aReply,
                       const Now& aNow,
                       Actions& aActions)
{
  auto& cancels = aState.mCancels;
  const auto it = cancels.mFormer.find(aReply.mNumber);
  if (it == cancels.mFormer.end() || it->second.mPeer != aFrom) {
    return false;
  }
  const auto former = cancels.mFormer.extract(it).mapped();
  const auto batch = cancels.mBatches.find(former.mBatch);
  if (batch == cancels.mBatches.end()) {
    return true;
  }
  AddToBatch(batch->second, former.mJob, aReply.mResult);
  const auto asked = batch->second.mAsked.find(aFrom);
  if (asked != batch->second.mAsked.end() && --asked->second == 0) {
    batch->second.mAsked.erase(asked);
  }
  FinishIfNotified(aState, former.mBatch, aNow, aActions);
  return true;
}

} // namespace pollenwall::entry
