#include <algorithm>
#include <cmath>
#include <tuple>

#include <pollenwall/hash.h>

#include "state.h"

// Which upstreams this entry should hold.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Claims are looked at when something has changed, and this often for pauses that end.
constexpr milliseconds kClaimInterval{ 500 };

/// The entries that may hold upstreams of a data centre: its own, or all when it has had none for
/// some time or all that it has are stopping. Nothing while that is not certain.
std::vector<Incarnation> CandidatesOf(State& aState,
                                      const std::string& aDataCentre,
                                      const Now& aNow)
{
  std::vector<Incarnation> near;
  std::vector<Incarnation> all;
  bool stopping = false;
  const auto add = [&](Incarnation aEntry, std::string_view aOf) {
    all.push_back(aEntry);
    if (aOf == aDataCentre) {
      near.push_back(aEntry);
    }
  };
  if (!aState.mDraining) {
    add(aState.mOptions.mIncarnation, aState.mOptions.mDataCentre);
  }
  for (const auto& [address, peer] : aState.mPeers) {
    if (!IsLiving(aState, peer, aNow)) {
      continue;
    }
    if (peer.mPresence.mLeaving) {
      stopping = stopping || peer.mPresence.mDataCentre == aDataCentre;
    } else {
      add(peer.mIncarnation, peer.mPresence.mDataCentre);
    }
  }
  if (!near.empty()) {
    aState.mAbandonedSince.erase(aDataCentre);
    return near;
  }
  const auto since = aState.mAbandonedSince.emplace(aDataCentre, aNow.mTime).first->second;
  const bool abandoned = aNow.mTime - since >= aState.mOptions.mAbandonedAfter;
  return stopping || abandoned ? all : near;
}

/// Upstreams of a share that an entry holds. The hashes are those of the keys.
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
  const auto& held = aState.mPeers.at(address->second).mHeld;
  return static_cast<std::size_t>(std::count_if(
    aHashes.begin(), aHashes.end(), [&held](std::uint64_t aHash) { return held.contains(aHash); }));
}

/// Classes of processor shares, each twice the one below. A holder needs about a tenth of a core
/// for 64 busy upstreams; within a class a share does not move when an entry joins.
int ProcessorClass(double aShare)
{
  constexpr double kLeast = 0.1;
  return aShare < kLeast ? 0 : static_cast<int>(std::floor(std::log2(aShare / kLeast)));
}

double ProcessorShareOf(const State& aState, Incarnation aEntry)
{
  const auto it = aState.mPeerAddresses.find(aEntry);
  return it == aState.mPeerAddresses.end() ? aState.mOptions.mProcessorShare
                                           : aState.mPeers.at(it->second).mPresence.mProcessorShare;
}

/// The candidate of the highest processor class that holds most of the share already; among equals
/// by rendezvous hashing.
std::optional<Incarnation> HolderOf(const State& aState,
                                    const Share& aShare,
                                    const std::vector<std::string>& aKeys,
                                    const std::vector<Incarnation>& aCandidates)
{
  std::optional<Incarnation> best;
  std::tuple<int, std::size_t, std::uint64_t> most;
  const auto name = aShare.mDataCentre + "/" + std::to_string(aShare.mNumber);
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
    return aPeer.second.mHeld.contains(aHash) && IsLiving(aState, aPeer.second, aNow);
  });
}

} // namespace

std::map<Share, std::vector<std::string>> SharesOf(const State& aState)
{
  std::map<std::string, std::vector<std::string>> byDataCentre;
  for (const auto& [key, upstream] : aState.mUpstreams) {
    byDataCentre[upstream.mRecord.mDataCentre].push_back(key);
  }
  std::map<Share, std::vector<std::string>> shares;
  for (auto& [dataCentre, keys] : byDataCentre) {
    const auto most = aState.mOptions.mUpstreamsPerHolder;
    const auto n = (keys.size() + most - 1) / most;
    for (auto& key : keys) {
      const auto number = aState.mUpstreams.at(key).mHash % n;
      shares[{ dataCentre, number }].push_back(std::move(key));
    }
  }
  return shares;
}

void UpdateClaims(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextClaims && !aState.mClaimsDue) {
    return;
  }
  aState.mClaimsDue = false;
  aState.mNextClaims = aNow.mTime + kClaimInterval;
  // Whoever holds upstreams now makes itself known within this time.
  if (aNow.mTime - aState.mStarted < aState.mOptions.mSilentAfter) {
    return;
  }
  const auto self = aState.mOptions.mIncarnation;
  for (const auto& [share, keys] : aState.mShares) {
    const auto candidates = CandidatesOf(aState, share.mDataCentre, aNow);
    const bool own = HolderOf(aState, share, keys, candidates) == self;
    const bool unknown = candidates.empty() && !aState.mDraining;
    for (const auto& key : keys) {
      auto& upstream = aState.mUpstreams.at(key);
      const bool held = aState.mHolding.mSessions.contains(key);
      if (held && (own || unknown) && !upstream.mMissingSince) {
        holding::Keep(aState.mHolding, key, aState.mHoldingActions);
      } else if (held && !own) {
        holding::Release(aState.mHolding, key, aState.mHoldingActions);
      } else if (own && !held && !upstream.mRecord.mLeaving && !upstream.mMissingSince &&
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
