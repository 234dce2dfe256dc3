#include <algorithm>
#include <cmath>

#include "state.h"

// Team quotas: each entry admits a share of a team's quota that follows its share of the team's
// demand.

namespace pollenwall::node {
namespace {

constexpr std::chrono::milliseconds kQuotaInterval{ 250 };
/// Smaller changes of a demand are not sent, and smaller changes of a share are not applied.
constexpr double kMinRelativeChange = 0.1;

/// This entry's share of a team's quota. While the demand is small compared with the quota the
/// shares are equal, so that an entry that has not seen the team for a while admits a whole job.
/// Demand above the quota divides it in proportion.
double QuotaShare(double aOwn, double aTotal, double aQuota, double aEntries)
{
  const double demand = aTotal + aQuota;
  return demand <= 0 ? 1 / aEntries : (aOwn + aQuota / aEntries) / demand;
}

bool IsSignificantChange(double aOld, double aNew)
{
  return std::abs(aNew - aOld) > kMinRelativeChange * std::max(aOld, aNew);
}

/// Entries of a data centre with a link, and those of them that send heartbeats. Entries of other
/// data centres send heartbeats to two entries only, so the reported demand is scaled up to all of
/// them.
struct PeerCounts
{
  double mLinked = 0;
  double mHeartbeating = 0;
};

} // namespace

void TickQuota(State& aState, const Now& aNow, Actions& aActions)
{
  if (aNow.mTime < aState.mNextQuotaTick) {
    return;
  }
  aState.mNextQuotaTick = aNow.mTime + kQuotaInterval;
  std::map<std::string, double, std::less<>> own;
  for (auto& [team, demand] : dispatch::TeamDemands(*aState.mDispatch, aNow)) {
    own[team] = demand;
  }
  for (auto& [team, sent] : aState.mPublishedDemands) {
    const auto it = own.find(team);
    const auto demand = it == own.end() ? 0 : it->second;
    if (IsSignificantChange(sent, demand)) {
      sent = demand;
    }
  }
  for (const auto& [team, demand] : own) {
    aState.mPublishedDemands.try_emplace(team, demand);
  }
  std::map<std::string, PeerCounts, std::less<>> counts;
  double entries = 1;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (!peer.mLinkUp || peer.mState == membership::MemberState::Gone) {
      continue;
    }
    entries += 1;
    auto& it = counts[peer.mDataCentre];
    it.mLinked += 1;
    it.mHeartbeating += peer.mLastHeartbeat ? 1 : 0;
  }
  std::map<std::string, double, std::less<>> total = own;
  for (const auto& [incarnation, context] : aState.mPeers) {
    const auto* peer = membership::FindPeer(aState.mMembers, incarnation);
    if (peer == nullptr || !peer->mLinkUp || !peer->mLastHeartbeat) {
      continue;
    }
    const auto& count = counts[peer->mDataCentre];
    for (const auto& [team, demand] : context.mDemands) {
      total[team] += demand * count.mLinked / std::max(1.0, count.mHeartbeating);
    }
  }
  for (const auto& [team, demand] : total) {
    const auto it = own.find(team);
    const auto ownDemand = it == own.end() ? 0 : it->second;
    const auto configured = aState.mConfiguration.mConfiguration->mTeams.find(team);
    if (configured == aState.mConfiguration.mConfiguration->mTeams.end()) {
      continue;
    }
    const auto share = QuotaShare(ownDemand, demand, configured->second.mStartsPerSecond, entries);
    const auto [set, isNew] = aState.mAppliedShares.try_emplace(team, 1.0);
    if (IsSignificantChange(set->second, share)) {
      set->second = share;
      Dispatch(aState, dispatch::SetQuotaShare{ team, share }, aNow, aActions);
    }
  }
}

} // namespace pollenwall::node
