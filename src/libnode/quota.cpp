#include <algorithm>
#include <cmath>

#include "state.h"

// Team quotas: each entry admits a share of a team's quota that follows its part of the demand.

namespace pollenwall::node {
namespace {

constexpr std::chrono::milliseconds kQuotaPeriod{ 250 };
/// Smaller changes are not sent, and do not change a share.
constexpr double kChange = 0.1;

/// This entry's part of a team's quota. As long as the demand is small against the quota the parts
/// are equal, so that an entry that has not seen the team for a while admits a whole job; a demand
/// above the quota divides it.
double PartOf(double aOwn, double aTotal, double aQuota, double aEntries)
{
  const double demand = aTotal + aQuota;
  return demand <= 0 ? 1 / aEntries : (aOwn + aQuota / aEntries) / demand;
}

bool IsChange(double aOld, double aNew)
{
  return std::abs(aNew - aOld) > kChange * std::max(aOld, aNew);
}

/// Entries per data centre, and how many of them this entry hears. Entries of other data centres
/// send heartbeats to two entries only, so the demand heard stands for all of theirs.
struct Heard
{
  double mKnown = 0;
  double mHeard = 0;
};

} // namespace

void TickQuota(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mQuotaAt) {
    return;
  }
  aState.mQuotaAt = aNow.mTime + kQuotaPeriod;
  std::map<std::string, double, std::less<>> own;
  for (auto& [team, demand] : dispatch::TeamDemands(*aState.mDispatch, aNow)) {
    own[team] = demand;
  }
  for (auto& [team, sent] : aState.mDemandSent) {
    const auto it = own.find(team);
    const auto demand = it == own.end() ? 0 : it->second;
    if (IsChange(sent, demand)) {
      sent = demand;
    }
  }
  for (const auto& [team, demand] : own) {
    aState.mDemandSent.try_emplace(team, demand);
  }
  std::map<std::string, Heard, std::less<>> heard;
  double entries = 1;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (!peer.mLinkUp || peer.mState == membership::MemberState::Gone) {
      continue;
    }
    entries += 1;
    auto& it = heard[peer.mDataCentre];
    it.mKnown += 1;
    it.mHeard += peer.mHeard ? 1 : 0;
  }
  std::map<std::string, double, std::less<>> total = own;
  for (const auto& [incarnation, notes] : aState.mPeers) {
    const auto* peer = membership::FindPeer(aState.mMembers, incarnation);
    if (peer == nullptr || !peer->mLinkUp || !peer->mHeard) {
      continue;
    }
    const auto& of = heard[peer->mDataCentre];
    for (const auto& [team, demand] : notes.mDemands) {
      total[team] += demand * of.mKnown / std::max(1.0, of.mHeard);
    }
  }
  for (const auto& [team, demand] : total) {
    const auto it = own.find(team);
    const auto mine = it == own.end() ? 0 : it->second;
    const auto configured = aState.mConfiguration.mConfiguration->mTeams.find(team);
    if (configured == aState.mConfiguration.mConfiguration->mTeams.end()) {
      continue;
    }
    const auto share = PartOf(mine, demand, configured->second.mStartsPerSecond, entries);
    const auto [set, isNew] = aState.mShareSet.try_emplace(team, 1.0);
    if (IsChange(set->second, share)) {
      set->second = share;
      Dispatch(aState, dispatch::SetQuotaShare{ team, share }, aNow, aActions);
    }
  }
}

} // namespace pollenwall::node
