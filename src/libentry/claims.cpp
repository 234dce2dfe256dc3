#include <algorithm>
#include <cmath>
#include <tuple>

#include <pollenwall/hash.h>

#include "state.h"

// The assignment of upstreams to holders.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Claims are updated after relevant changes, and at this interval for claims that are delayed.
constexpr milliseconds kClaimInterval{ 500 };

/// The entries that may hold upstreams of a data centre; draining entries never may. These are the
/// live entries there. If there are none, all live entries may, as soon as a live entry there is
/// draining or there has been none for mAbandonedAfter; until then the result is empty.
std::vector<Incarnation> CandidatesOf(State& aState,
                                      const std::string& aDataCentre,
                                      const Now& aNow)
{
  std::vector<Incarnation> local;
  std::vector<Incarnation> all;
  bool stopping = false;
  const auto add = [&](Incarnation aEntry, std::string_view aOf) {
    all.push_back(aEntry);
    if (aOf == aDataCentre) {
      local.push_back(aEntry);
    }
  };
  if (!aState.mDraining) {
    add(aState.mOptions.mIncarnation, aState.mOptions.mDataCentre);
  }
  for (const auto& [address, peer] : aState.mPeers) {
    if (!IsAlive(aState, peer, aNow)) {
      continue;
    }
    if (peer.mPresence.mLeaving) {
      stopping = stopping || peer.mPresence.mDataCentre == aDataCentre;
    } else {
      add(peer.mIncarnation, peer.mPresence.mDataCentre);
    }
  }
  if (!local.empty()) {
    aState.mAbandonedSince.erase(aDataCentre);
    return local;
  }
  const auto since = aState.mAbandonedSince.emplace(aDataCentre, aNow.mTime).first->second;
  const bool abandoned = aNow.mTime - since >= aState.mOptions.mAbandonedAfter;
  return stopping || abandoned ? all : local;
}

/// The number of upstreams among aKeys that an entry holds. aHashes are the hashes of the keys.
std::size_t CountHeld(const State& aState,
                      Incarnation aEntry,
                      const std::vector<std::string>& aKeys,
                      const std::vector<std::uint64_t>& aHashes)
{
  if (aEntry == aState.mOptions.mIncarnation) {
    return static_cast<std::size_t>(
      std::count_if(aKeys.begin(), aKeys.end(), [&aState](const std::string& aKey) {
        return holding::Holds(aState.mHolding, aKey);
      }));
  }
  const auto address = aState.mPeerAddresses.find(aEntry);
  if (address == aState.mPeerAddresses.end()) {
    return 0;
  }
  const auto& held = aState.mPeers.at(address->second).mHeldUpstreams;
  return static_cast<std::size_t>(std::count_if(
    aHashes.begin(), aHashes.end(), [&held](std::uint64_t aHash) { return held.contains(aHash); }));
}

/// Groups processor shares into classes, each for twice the share of the one below. A holder needs
/// about a tenth of a core for 64 busy upstreams. An entry that joins takes no partition from a
/// holder of the same class.
int ProcessorClass(double aProcessorShare)
{
  constexpr double kMinShare = 0.1;
  return aProcessorShare < kMinShare
           ? 0
           : static_cast<int>(std::floor(std::log2(aProcessorShare / kMinShare)));
}

double ProcessorShareOf(const State& aState, Incarnation aEntry)
{
  const auto it = aState.mPeerAddresses.find(aEntry);
  return it == aState.mPeerAddresses.end() ? aState.mOptions.mProcessorShare
                                           : aState.mPeers.at(it->second).mPresence.mProcessorShare;
}

/// The candidate that should hold a partition: one of the highest processor class, among these the
/// one that already holds most of the partition, among equals the first by rendezvous hashing.
std::optional<Incarnation> HolderOf(const State& aState,
                                    const Partition& aPartition,
                                    const std::vector<std::string>& aKeys,
                                    const std::vector<Incarnation>& aCandidates)
{
  std::optional<Incarnation> best;
  std::tuple<int, std::size_t, std::uint64_t> most;
  const auto name = aPartition.mDataCentre + "/" + std::to_string(aPartition.mNumber);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aKeys.size());
  for (const auto& key : aKeys) {
    hashes.push_back(aState.mUpstreams.at(key).mHash);
  }
  for (const auto entry : aCandidates) {
    const std::tuple rank{ ProcessorClass(ProcessorShareOf(aState, entry)),
                           CountHeld(aState, entry, aKeys, hashes),
                           RendezvousWeight(name, entry.mValue) };
    if (!best || rank > most) {
      best = entry;
      most = rank;
    }
  }
  return best;
}

bool IsHeldByLivingPeer(const State& aState, std::uint64_t aHash, const Now& aNow)
{
  return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [&](const auto& aPeer) {
    return aPeer.second.mHeldUpstreams.contains(aHash) && IsAlive(aState, aPeer.second, aNow);
  });
}

} // namespace

std::map<Partition, std::vector<std::string>> PartitionUpstreams(const State& aState)
{
  std::map<std::string, std::vector<std::string>> byDataCentre;
  for (const auto& [key, upstream] : aState.mUpstreams) {
    byDataCentre[upstream.mRecord.mDataCentre].push_back(key);
  }
  std::map<Partition, std::vector<std::string>> partitions;
  for (auto& [dataCentre, keys] : byDataCentre) {
    const auto most = aState.mOptions.mUpstreamsPerHolder;
    const auto n = (keys.size() + most - 1) / most;
    for (auto& key : keys) {
      const auto number = aState.mUpstreams.at(key).mHash % n;
      partitions[{ dataCentre, number }].push_back(std::move(key));
    }
  }
  return partitions;
}

void UpdateClaims(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextClaims && !aState.mClaimsDue) {
    return;
  }
  aState.mClaimsDue = false;
  aState.mNextClaims = aNow.mTime + kClaimInterval;
  // After a start, presences of the current holders arrive within this time.
  if (aNow.mTime - aState.mStarted < aState.mOptions.mSilentAfter) {
    return;
  }
  const auto self = aState.mOptions.mIncarnation;
  for (const auto& [partition, keys] : aState.mPartitions) {
    const auto candidates = CandidatesOf(aState, partition.mDataCentre, aNow);
    const bool isHolder = HolderOf(aState, partition, keys, candidates) == self;
    const bool noCandidates = candidates.empty() && !aState.mDraining;
    for (const auto& key : keys) {
      auto& upstream = aState.mUpstreams.at(key);
      const bool held = aState.mHolding.mSessions.contains(key);
      if (held && (isHolder || noCandidates) && !upstream.mMissingSince) {
        holding::CancelRelease(aState.mHolding, key, aState.mHoldingActions);
      } else if (held && !isHolder) {
        holding::Release(aState.mHolding, key, aState.mHoldingActions);
      } else if (isHolder && !held && !upstream.mRecord.mLeaving && !upstream.mMissingSince &&
                 aNow.mTime >= upstream.mClaimNotBefore &&
                 !IsHeldByLivingPeer(aState, upstream.mHash, aNow)) {
        ++aState.mCounts.mClaims;
        AddReport(aActions, "upstream_claimed", { { "upstream", key } });
        holding::Claim(aState.mHolding, key, upstream.mLeastToken, aNow, aState.mHoldingActions);
        upstream.mLeastToken = holding::TokenOf(aState.mHolding, key);
        aState.mPresenceDue = true;
      }
    }
  }
}

} // namespace pollenwall::entry
