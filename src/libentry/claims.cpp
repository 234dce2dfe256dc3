#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include <pollenwall/hash.h>

#include "state.h"

// The assignment of upstreams to holders.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Claims are updated after relevant changes, and at this interval for claims that are delayed.
constexpr milliseconds kClaimInterval{ 500 };
/// An entry that has become a candidate claims nothing for this long. By then it has exchanged
/// presences with the candidates of the other data centres, which may hold upstreams here.
constexpr milliseconds kCandidateSettleTime{ 150 };
/// A holder needs about a tenth of a core for 64 busy upstreams.
constexpr double kUpstreamsPerCore = 640;
/// An entry with a link of 25 Mbit/s can hold about as many upstreams as one with a tenth of a
/// core.
constexpr double kUpstreamsPerMbps = 2.5;
constexpr double kCapacityOfClassZero = 64;
/// A fenced claim shows only that a higher token has been used, not how high. The next token is
/// higher by at least kMinTokenStep, or by a fraction of its lead over this entry's clock. The
/// fraction bounds the overshoot, which adds up when entries whose clocks differ are restarted and
/// claim in turn: with steps that double, leads reached 2000 s in three minutes. Above kLargeLead
/// it is larger, so that a lead of kMaxTokenLead is made up in about 40 claims.
constexpr milliseconds kMinTokenStep{ 1000 };
constexpr milliseconds kLargeLead{ 64000 };
constexpr int kStepDivisor = 8;
constexpr int kLargeStepDivisor = 2;
constexpr std::uint32_t kMaxLossDoublings = 8;
/// Claims that are fenced raise tokens no further ahead of this entry's clock, and higher tokens in
/// presences are ignored: no clock is that wrong.
constexpr milliseconds kMaxTokenLead = std::chrono::hours(1);

using Keys = std::vector<std::string>;

struct Candidate
{
  Incarnation mEntry;
  const EntryRecord* mRecord = nullptr;
  const std::vector<std::uint64_t>* mHeld = nullptr; ///< Sorted; see Upstream::mHash.
  std::size_t mPartitions = 0;                       ///< Number of partitions assigned to it.
  std::size_t mUpstreams = 0;                        ///< Number of upstreams in these.
};

/// The entries that may hold upstreams of a data centre; draining entries never may. These are the
/// live candidates there. If no entry there is live, all live candidates may, as soon as a live
/// entry there is draining or there has been none for mAbandonedAfter; until then the result is
/// empty.
std::vector<Candidate> CandidatesOf(State& aState, const std::string& aDataCentre, const Now& aNow)
{
  std::vector<Candidate> local;
  std::vector<Candidate> all;
  bool isInhabited = false;
  bool isStopping = false;
  const auto add = [&](Candidate aCandidate, std::string_view aOf) {
    all.push_back(aCandidate);
    if (aOf == aDataCentre) {
      local.push_back(aCandidate);
    }
  };
  if (!aState.mDraining) {
    isInhabited = aState.mOptions.mDataCentre == aDataCentre;
    if (aState.mCandidate) {
      add({ aState.mOptions.mIncarnation,
            &aState.mEntries.at(aState.mOptions.mPeerAddress),
            &aState.mHeldUpstreams.mHashes },
          aState.mOptions.mDataCentre);
    }
  }
  for (const auto& [address, peer] : aState.mPeers) {
    if (!IsPresent(aState, peer, aNow)) {
      continue;
    }
    const bool isLocal = peer.mRecord.mDataCentre == aDataCentre;
    if (peer.mPresence.mLeaving) {
      isStopping = isStopping || isLocal;
      continue;
    }
    isInhabited = isInhabited || isLocal;
    // An entry that has just started is not a candidate yet, but will be.
    if (peer.mPresence.mCandidate || aState.mFirstLive.contains(address)) {
      add({ peer.mIncarnation, &peer.mRecord, &peer.mHeldUpstreams.mHashes },
          peer.mRecord.mDataCentre);
    }
  }
  if (isInhabited) {
    aState.mAbandonedSince.erase(aDataCentre);
    return local;
  }
  const auto since = aState.mAbandonedSince.emplace(aDataCentre, aNow.mTime).first->second;
  const bool abandoned = aNow.mTime - since >= aState.mOptions.mAbandonedAfter;
  return isStopping || abandoned ? all : local;
}

/// Reduces the candidates to those of the highest capacity classes that together can hold all
/// upstreams.
void KeepLargest(std::vector<Candidate>& aCandidates, std::size_t aUpstreams)
{
  std::map<int, double, std::greater<>> capacityByClass;
  for (const auto& candidate : aCandidates) {
    capacityByClass[CapacityClass(*candidate.mRecord)] += HolderCapacity(*candidate.mRecord);
  }
  double capacity = 0;
  for (const auto& [lowest, ofClass] : capacityByClass) {
    capacity += ofClass;
    if (capacity >= static_cast<double>(aUpstreams)) {
      std::erase_if(aCandidates, [lowest = lowest](const Candidate& aCandidate) {
        return CapacityClass(*aCandidate.mRecord) < lowest;
      });
      return;
    }
  }
}

/// Hashes of the upstreams of a partition.
std::vector<std::uint64_t> HashesOf(const State& aState, const Keys& aKeys)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aKeys.size());
  for (const auto& key : aKeys) {
    hashes.push_back(aState.mUpstreams.at(key).mHash);
  }
  return hashes;
}

std::size_t CountHeld(const Candidate& aCandidate, const std::vector<std::uint64_t>& aHashes)
{
  const auto& held = *aCandidate.mHeld;
  return static_cast<std::size_t>(
    std::count_if(aHashes.begin(), aHashes.end(), [&held](std::uint64_t aHash) {
      return std::binary_search(held.begin(), held.end(), aHash);
    }));
}

using Partitions = std::vector<std::pair<Partition, const Keys*>>;

void Assign(Candidate& aCandidate, const Keys& aKeys)
{
  ++aCandidate.mPartitions;
  aCandidate.mUpstreams += aKeys.size();
}

/// The candidate that holds most of a partition; null if none holds any of it.
Candidate* HolderOfMost(const State& aState, const Keys& aKeys, std::vector<Candidate>& aCandidates)
{
  const auto hashes = HashesOf(aState, aKeys);
  Candidate* best = nullptr;
  std::size_t most = 0;
  for (auto& candidate : aCandidates) {
    const auto held = CountHeld(candidate, hashes);
    if (held > most) {
      best = &candidate;
      most = held;
    }
  }
  return best;
}

/// The candidate with the fewest partitions; among equals the one of the highest capacity class,
/// then the first by rendezvous hashing.
Candidate& LeastLoaded(const Partition& aPartition, std::vector<Candidate>& aCandidates)
{
  const auto name = aPartition.mDataCentre + "/" + std::to_string(aPartition.mNumber);
  const auto rank = [&name](const Candidate& aCandidate) {
    return std::tuple(aCandidate.mPartitions,
                      -CapacityClass(*aCandidate.mRecord),
                      ~RendezvousWeight(name, aCandidate.mEntry.mValue));
  };
  return *std::min_element(
    aCandidates.begin(), aCandidates.end(), [&rank](const auto& aOne, const auto& aOther) {
      return rank(aOne) < rank(aOther);
    });
}

/// The candidates that should hold the partitions of one data centre. A partition stays with the
/// one that holds most of it. One that is not held, or whose holder has more upstreams than it can
/// hold while another candidate has no partition, goes to the least loaded candidate.
std::map<Partition, Incarnation> AssignPartitions(const State& aState,
                                                  const Partitions& aPartitions,
                                                  std::vector<Candidate> aCandidates)
{
  std::size_t upstreams = 0;
  for (const auto& [partition, keys] : aPartitions) {
    upstreams += keys->size();
  }
  KeepLargest(aCandidates, upstreams);
  std::map<Partition, Candidate*> holders;
  for (const auto& [partition, keys] : aPartitions) {
    if (auto* holder = HolderOfMost(aState, *keys, aCandidates)) {
      Assign(*holder, *keys);
      holders.emplace(partition, holder);
    }
  }
  for (const auto& [partition, keys] : aPartitions) {
    if (aCandidates.empty()) {
      break;
    }
    auto& least = LeastLoaded(partition, aCandidates);
    const auto [it, isFree] = holders.emplace(partition, &least);
    auto& holder = *it->second;
    if (isFree) {
      Assign(least, *keys);
    } else if (holder.mPartitions > 1 && least.mPartitions == 0 &&
               static_cast<double>(holder.mUpstreams) > HolderCapacity(*holder.mRecord)) {
      --holder.mPartitions;
      holder.mUpstreams -= keys->size();
      Assign(least, *keys);
      it->second = &least;
    }
  }
  std::map<Partition, Incarnation> assigned;
  for (const auto& [partition, holder] : holders) {
    assigned.emplace(partition, holder->mEntry);
  }
  return assigned;
}

/// Whether the upstreams that a live candidate holds are not known yet. It sends them soon after it
/// has heard that this entry is a candidate.
bool IsHeldSetMissing(const State& aState, const Now& aNow)
{
  return std::any_of(aState.mPeers.begin(), aState.mPeers.end(), [&](const auto& aPeer) {
    const auto& peer = aPeer.second;
    return peer.mPresence.mCandidate && peer.mHeldUpstreams.mVersion == 0 &&
           IsPresent(aState, peer, aNow);
  });
}

/// Hashes of all upstreams that live peers hold.
std::unordered_set<std::uint64_t> HeldByPeers(const State& aState, const Now& aNow)
{
  std::unordered_set<std::uint64_t> held;
  for (const auto& [address, peer] : aState.mPeers) {
    if (IsPresent(aState, peer, aNow)) {
      held.insert(peer.mHeldUpstreams.mHashes.begin(), peer.mHeldUpstreams.mHashes.end());
    }
  }
  return held;
}

/// Claims, keeps or releases the upstreams of one partition. aHolder is empty if no entry may hold
/// them now. Tokens of new claims exceed aLeastToken.
void UpdatePartition(State& aState,
                     const Keys& aKeys,
                     std::optional<Incarnation> aHolder,
                     std::uint64_t aLeastToken,
                     const std::unordered_set<std::uint64_t>& aHeldByPeers,
                     const Now& aNow,
                     Actions& aActions)
{
  const bool isHolder = aHolder == aState.mOptions.mIncarnation;
  const bool mayKeep = isHolder || (!aHolder && !aState.mDraining);
  for (const auto& key : aKeys) {
    auto& upstream = aState.mUpstreams.at(key);
    const bool isHeldByPeer = aHeldByPeers.contains(upstream.mHash);
    if (isHeldByPeer) {
      // The holder is known, so its death will be noticed.
      upstream.mContestedUntil = {};
      upstream.mLosses = 0;
    }
    if (aState.mHolding.mSessions.contains(key)) {
      if (!mayKeep) {
        holding::Release(aState.mHolding, key, aState.mHoldingActions);
      } else if (!upstream.mMissingSince) {
        holding::CancelRelease(aState.mHolding, key, aState.mHoldingActions);
      }
      continue;
    }
    if (!isHolder || upstream.mRecord.mLeaving || upstream.mMissingSince ||
        aNow.mTime < upstream.mClaimNotBefore || aNow.mTime < upstream.mMisdirectedUntil ||
        isHeldByPeer) {
      continue;
    }
    if (aNow.mTime < upstream.mContestedUntil) {
      aState.mNextClaims = std::min(aState.mNextClaims, upstream.mContestedUntil);
      continue;
    }
    ++aState.mCounts.mClaims;
    AddReport(aActions, "upstream_claimed", { { "upstream", key } });
    upstream.mClaimedRecord = upstream.mRecord;
    const auto least = std::max(upstream.mLeastToken, aLeastToken);
    holding::Claim(aState.mHolding, key, least, aNow, aState.mHoldingActions);
    upstream.mLeastToken = holding::TokenOf(aState.mHolding, key);
    aState.mPresenceDue = true;
    aState.mReconfigureDue =
      aState.mReconfigureDue || upstream.mRecord.mDataCentre != aState.mOptions.mDataCentre;
  }
}

/// Removes the upstreams that this entry does not hold. An entry that does not read the list of
/// upstreams would not notice that one has left.
void ForgetUpstreams(State& aState, const Now& aNow)
{
  const auto erased = std::erase_if(aState.mUpstreams, [&aState](const auto& aUpstream) {
    return !aState.mHolding.mSessions.contains(aUpstream.first);
  });
  if (erased > 0) {
    Reconfigure(aState, aNow);
  }
}

/// Number of upstreams for one partition: Options::mUpstreamsPerHolder, or as many as the entry
/// that is preferred as a holder can hold.
std::size_t UpstreamsPerPartition(const State& aState, const std::string& aDataCentre)
{
  const auto most = aState.mOptions.mUpstreamsPerHolder;
  const auto it = aState.mRankings.find(aDataCentre);
  if (it == aState.mRankings.end()) {
    return most;
  }
  const auto capacity = HolderCapacity(aState.mEntries.at(it->second.front()));
  return std::clamp<std::size_t>(static_cast<std::size_t>(capacity), 1, most);
}

std::uint64_t TokenStep(milliseconds aTime)
{
  return static_cast<std::uint64_t>(aTime / holding::kTokenUnit) << holding::kTokenSaltBits;
}

/// How far a token is ahead of this entry's clock.
milliseconds LeadOf(std::uint64_t aToken, const Now& aNow)
{
  return holding::kTokenUnit * static_cast<std::int64_t>(aToken >> holding::kTokenSaltBits) -
         milliseconds(aNow.mUnixMs);
}

/// Whether this entry is, or hears, the candidate that is preferred for an upstream: among all that
/// it knows, silent ones included, the first by rendezvous hashing of those in the upstream's data
/// centre, if any.
bool IsPreferredCandidateHeard(const State& aState,
                               const std::string& aKey,
                               const Upstream& aUpstream,
                               const Now& aNow)
{
  const auto rank = [&](const std::string& aAddress, const std::string& aDataCentre) {
    return std::pair(aDataCentre == aUpstream.mRecord.mDataCentre,
                     RendezvousWeight(aKey, Hash64(aAddress)));
  };
  auto best = rank(aState.mOptions.mPeerAddress, aState.mOptions.mDataCentre);
  bool isHeard = true;
  for (const auto& [address, peer] : aState.mPeers) {
    if (!peer.mPresence.mCandidate || peer.mPresence.mLeaving) {
      continue;
    }
    const auto other = rank(address, peer.mRecord.mDataCentre);
    if (other > best) {
      best = other;
      isHeard = IsPresent(aState, peer, aNow);
    }
  }
  return isHeard;
}

} // namespace

std::uint64_t HighestAllowedToken(const Now& aNow)
{
  return holding::MakeToken(0, aNow.mUnixMs + kMaxTokenLead.count(), 0);
}

void DelayClaim(State& aState, const holding::HoldLost& aEvent, const Now& aNow)
{
  const auto it = aState.mUpstreams.find(aEvent.mUpstream);
  if (it == aState.mUpstreams.end()) {
    return;
  }
  const auto& options = aState.mOptions;
  auto& upstream = it->second;
  auto delay = options.mClaimRetryDelay;
  if (aEvent.mWasHeld) {
    // The clock raises the token of the next claim.
    delay = IsPreferredCandidateHeard(aState, it->first, upstream, aNow)
              ? options.mClaimRetryDelay
              : options.mYieldedClaimRetryDelay;
    delay *= 1U << std::min(upstream.mLosses, kMaxLossDoublings);
    delay = std::min(delay, options.mMaxClaimRetryDelay);
    ++upstream.mLosses;
  } else {
    const auto highest = HighestAllowedToken(aNow);
    const auto lead = LeadOf(upstream.mLeastToken, aNow);
    const auto step =
      std::max(kMinTokenStep, lead / (lead < kLargeLead ? kStepDivisor : kLargeStepDivisor));
    // At the greatest lead, tokens rise with the clock and claims are as rare as after a loss.
    if (lead + 2 * kMinTokenStep < kMaxTokenLead) {
      delay = options.mFencedClaimRetryDelay;
    }
    upstream.mLeastToken =
      std::max(upstream.mLeastToken, std::min(upstream.mLeastToken + TokenStep(step), highest));
  }
  upstream.mContestedUntil = aNow.mTime + Duration(delay);
  aState.mNextClaims = std::min(aState.mNextClaims, upstream.mContestedUntil);
}

void ShortenContests(State& aState, const Now& aNow)
{
  const auto latest = aNow.mTime + Duration(aState.mOptions.mClaimRetryDelay);
  for (auto& [key, upstream] : aState.mUpstreams) {
    upstream.mContestedUntil = std::min(upstream.mContestedUntil, latest);
    upstream.mLosses = 0;
  }
}

void RecordAcceptedToken(State& aState, const std::string& aUpstream)
{
  const auto token = holding::TokenOf(aState.mHolding, aUpstream);
  aState.mHighestToken = std::max(aState.mHighestToken, token);
}

double HolderCapacity(const EntryRecord& aEntry)
{
  const auto byProcessor = aEntry.mProcessorShare * kUpstreamsPerCore;
  return aEntry.mLinkMbps > 0 ? std::min(byProcessor, aEntry.mLinkMbps * kUpstreamsPerMbps)
                              : byProcessor;
}

int CapacityClass(const EntryRecord& aEntry)
{
  constexpr double kMinCapacity = 0.001;
  const auto capacity = std::max(HolderCapacity(aEntry), kMinCapacity);
  return static_cast<int>(std::floor(std::log2(capacity / kCapacityOfClassZero)));
}

std::map<Partition, Keys> PartitionUpstreams(const State& aState)
{
  std::map<std::string, Keys> byDataCentre;
  for (const auto& [key, upstream] : aState.mUpstreams) {
    byDataCentre[upstream.mRecord.mDataCentre].push_back(key);
  }
  std::map<Partition, Keys> partitions;
  for (auto& [dataCentre, keys] : byDataCentre) {
    const auto size = UpstreamsPerPartition(aState, dataCentre);
    auto n = (keys.size() + size - 1) / size;
    if (const auto it = aState.mRankings.find(dataCentre); it != aState.mRankings.end()) {
      n = std::min(n, it->second.size());
    }
    for (auto& key : keys) {
      const auto number = aState.mUpstreams.at(key).mHash % n;
      partitions[{ dataCentre, number }].push_back(std::move(key));
    }
  }
  return partitions;
}

std::size_t PartitionCount(const State& aState, std::string_view aDataCentre, const Now& aNow)
{
  if (aState.mCandidate) {
    const auto n =
      std::count_if(aState.mPartitions.begin(), aState.mPartitions.end(), [&](const auto& aIt) {
        return aIt.first.mDataCentre == aDataCentre;
      });
    if (n > 0) {
      return static_cast<std::size_t>(n);
    }
  }
  std::uint64_t n = 1;
  for (const auto& [address, peer] : aState.mPeers) {
    if (peer.mRecord.mDataCentre == aDataCentre && IsPresent(aState, peer, aNow)) {
      n = std::max(n, peer.mPresence.mPartitions);
    }
  }
  // More than there are entries would be a mistake of the peer.
  const auto it = aState.mRankings.find(aDataCentre);
  const auto entries = it == aState.mRankings.end() ? 1 : it->second.size();
  return std::min<std::size_t>(n, entries);
}

void UpdateClaims(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextClaims && !aState.mClaimsDue) {
    return;
  }
  if (!aState.mCandidate) {
    ForgetUpstreams(aState, aNow);
  }
  aState.mClaimsDue = false;
  aState.mNextClaims = aNow.mTime + kClaimInterval;
  if (aNow.mTime < aState.mClaimsNotBefore) {
    return;
  }
  if (!aState.mCandidate && aState.mHolding.mSessions.empty()) {
    return;
  }
  const bool isSettling = aNow.mTime - aState.mCandidateSince < kCandidateSettleTime;
  if (aState.mCandidate && (isSettling || IsHeldSetMissing(aState, aNow))) {
    aState.mClaimsDue = true;
    return;
  }
  const auto heldByPeers = HeldByPeers(aState, aNow);
  const auto leastToken = aState.mHighestToken;
  std::map<std::string, Partitions> byDataCentre;
  for (const auto& [partition, keys] : aState.mPartitions) {
    byDataCentre[partition.mDataCentre].emplace_back(partition, &keys);
  }
  for (const auto& [dataCentre, partitions] : byDataCentre) {
    const auto candidates = CandidatesOf(aState, dataCentre, aNow);
    const auto holders = AssignPartitions(aState, partitions, candidates);
    for (const auto& [partition, keys] : partitions) {
      const auto it = holders.find(partition);
      UpdatePartition(aState,
                      *keys,
                      it == holders.end() ? std::nullopt : std::optional(it->second),
                      leastToken,
                      heldByPeers,
                      aNow,
                      aActions);
    }
  }
  if (std::exchange(aState.mReconfigureDue, false)) {
    Reconfigure(aState, aNow);
  }
}

} // namespace pollenwall::entry
