#include <pollenwall/ownership.h>

#include <algorithm>

#include <boost/json.hpp>
#include <boost/range/adaptor/reversed.hpp>

#include <pollenwall/hash.h>

namespace pollenwall::ownership {
namespace {

constexpr std::size_t kMaxMembers = 256;

/// Views that a reader could not read, because the log has trimmed their records, are taken as
/// sealed this many lease durations after the next view was first read. They are older than the
/// log's retention time.
constexpr int kUnreadViewLeaseCount = 30;

bool IsMajority(std::size_t aVotes, const View& aView)
{
  return aVotes * 2 > aView.mWitnesses.size();
}

boost::json::array ToJson(const std::vector<Member>& aMembers)
{
  boost::json::array list;
  for (const auto& it : aMembers) {
    list.push_back(boost::json::array{ ToString(it.mIncarnation), it.mAddress });
  }
  return list;
}

std::optional<std::vector<Member>> ParseMembers(const boost::json::value* aValue)
{
  const auto* list = aValue != nullptr ? aValue->if_array() : nullptr;
  if (list == nullptr || list->empty() || list->size() > kMaxMembers) {
    return std::nullopt;
  }
  std::vector<Member> members;
  for (const auto& it : *list) {
    const auto* pair = it.if_array();
    if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
        !(*pair)[1].is_string()) {
      return std::nullopt;
    }
    const auto incarnation = ParseIncarnation((*pair)[0].get_string());
    if (!incarnation || incarnation->mValue == 0) {
      return std::nullopt;
    }
    members.push_back({ *incarnation, std::string((*pair)[1].get_string()) });
  }
  std::sort(members.begin(), members.end());
  const auto sameProcess = [](const Member& aOne, const Member& aOther) {
    return aOne.mIncarnation == aOther.mIncarnation;
  };
  if (std::adjacent_find(members.begin(), members.end(), sameProcess) != members.end()) {
    return std::nullopt;
  }
  return members;
}

std::optional<std::uint64_t> ParseVersion(const boost::json::value* aValue)
{
  if (aValue == nullptr || !aValue->is_int64() || aValue->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(aValue->get_int64());
}

void Renew(Lease& aLease, std::uint64_t aVersion, Time aExpires)
{
  if (aLease.mVersion != aVersion) {
    aLease.mVersion = aVersion;
    aLease.mExpires = aExpires;
    return;
  }
  aLease.mExpires = std::max(aLease.mExpires, aExpires);
}

void RecordSettleTime(ViewState& aView, const Now& aNow)
{
  if (!aView.mSettled) {
    aView.mSettled = Settled{ aNow.mTime, aNow.mUnixMs };
  }
}

void InstallView(ViewLog& aLog, View aView, const Now& aNow)
{
  aLog.mVersion = aView.mVersion;
  const auto sealed = aView.mSealed;
  auto& state = aLog.mViews[aView.mVersion];
  state = ViewState{ std::move(aView), aNow.mTime, std::nullopt, std::nullopt };
  if (state.mView.mBase == 0) {
    state.mSettled = Settled{ aNow.mTime, 0 }; // Nothing can have run before the first view.
  }
  MarkSealed(aLog, sealed, aNow);
  while (aLog.mViews.size() > kMaxViews) {
    aLog.mViews.erase(aLog.mViews.begin());
  }
}

} // namespace

std::uint64_t HashOf(const View& aView)
{
  auto text = std::to_string(aView.mVersion);
  for (const auto* members : { &aView.mMembers, &aView.mWitnesses }) {
    text += ';';
    for (const auto& it : *members) {
      text.append(ToString(it.mIncarnation)).append(it.mAddress);
    }
  }
  return Hash64(text);
}

std::string ViewStream(std::string_view aDataCentre)
{
  return "view." + std::string(aDataCentre);
}

std::string ViewRecord(const View& aView)
{
  return boost::json::serialize(
    boost::json::object{ { "type", "view" },
                         { "base", aView.mBase },
                         { "version", aView.mVersion },
                         { "members", ToJson(aView.mMembers) },
                         { "witnesses", ToJson(aView.mWitnesses) },
                         { "sealed", aView.mSealed },
                         { "base_hash", ToString(Incarnation{ aView.mBaseHash }) } });
}

std::optional<View> ParseViewRecord(std::string_view aText)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aText, ec);
  const auto* object = ec ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto* type = object->if_contains("type");
  const auto base = ParseVersion(object->if_contains("base"));
  const auto version = ParseVersion(object->if_contains("version"));
  const auto sealed = ParseVersion(object->if_contains("sealed"));
  const auto* hash = object->if_contains("base_hash");
  const auto baseHash =
    hash != nullptr && hash->is_string() ? ParseIncarnation(hash->get_string()) : std::nullopt;
  auto members = ParseMembers(object->if_contains("members"));
  auto witnesses = ParseMembers(object->if_contains("witnesses"));
  if (type == nullptr || *type != "view" || !base || !version || !sealed || !members ||
      !witnesses || !baseHash || *version != *base + 1 || *sealed > *base) {
    return std::nullopt;
  }
  return View{ *base,   *version,        std::move(*members), std::move(*witnesses),
               *sealed, baseHash->mValue };
}

bool Contains(const std::vector<Member>& aMembers, Incarnation aIncarnation)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [aIncarnation](const Member& aMember) {
    return aMember.mIncarnation == aIncarnation;
  });
}

Incarnation OwnerOf(const View& aView, std::string_view aKey)
{
  Incarnation owner;
  std::uint64_t most = 0;
  for (const auto& it : aView.mMembers) {
    const auto weight = RendezvousWeight(aKey, it.mIncarnation.mValue);
    if (owner.mValue == 0 || weight > most) {
      owner = it.mIncarnation;
      most = weight;
    }
  }
  return owner;
}

std::uint32_t SlotCountOf(const View& aView,
                          std::string_view aUpstream,
                          std::uint32_t aSlots,
                          Incarnation aMember)
{
  if (!Contains(aView.mMembers, aMember)) {
    return 0;
  }
  const auto own = std::pair(RendezvousWeight(aUpstream, aMember.mValue), aMember);
  std::uint32_t rank = 0;
  for (const auto& it : aView.mMembers) {
    const auto weight = RendezvousWeight(aUpstream, it.mIncarnation.mValue);
    rank += std::pair(weight, it.mIncarnation) < own ? 1 : 0;
  }
  const auto n = static_cast<std::uint32_t>(aView.mMembers.size());
  return aSlots / n + (rank < aSlots % n ? 1 : 0);
}

std::vector<Member> MakeWitnesses(const std::vector<Member>& aMembers,
                                  const std::optional<Member>& aOther)
{
  auto witnesses = aMembers;
  if (aMembers.size() % 2 == 0 && aOther) {
    witnesses.push_back(*aOther);
  }
  std::sort(witnesses.begin(), witnesses.end());
  return witnesses;
}

const View* CurrentView(const ViewLog& aLog)
{
  const auto it = aLog.mViews.find(aLog.mVersion);
  return it == aLog.mViews.end() ? nullptr : &it->second.mView;
}

bool NoteOldestOffset(ViewLog& aLog, std::uint64_t aFirst)
{
  if (aFirst <= aLog.mNext) {
    return false;
  }
  aLog.mNext = aFirst;
  aLog.mHistoryComplete = false;
  aLog.mTentative.reset();
  aLog.mVersion = 0;
  aLog.mSealed = 0;
  aLog.mViews.clear();
  return true;
}

void ConfirmTentative(ViewLog& aLog, const Now& aNow)
{
  if (!aLog.mTentative) {
    return;
  }
  aLog.mHistoryComplete = true;
  InstallView(aLog, std::move(*aLog.mTentative), aNow);
  aLog.mTentative.reset();
}

bool ApplyRecord(ViewLog& aLog, std::uint64_t aOffset, std::string_view aText, const Now& aNow)
{
  if (aOffset < aLog.mNext) {
    return false;
  }
  aLog.mNext = aOffset + 1;
  auto view = ParseViewRecord(aText);
  if (!view) {
    return false;
  }
  if (!aLog.mHistoryComplete) {
    const auto& tentative = aLog.mTentative;
    if (!tentative || view->mBase > tentative->mVersion ||
        (view->mBase == tentative->mVersion && view->mBaseHash != HashOf(*tentative))) {
      aLog.mTentative = std::move(view);
      return false;
    }
    if (view->mBase < tentative->mVersion) {
      return false;
    }
    ConfirmTentative(aLog, aNow);
  }
  if (view->mBase != aLog.mVersion) {
    return false;
  }
  InstallView(aLog, std::move(*view), aNow);
  return true;
}

namespace {

bool HaveAllMembersAcknowledgedLater(const View& aView, const Acknowledgements& aAcknowledgements)
{
  return std::all_of(aView.mMembers.begin(), aView.mMembers.end(), [&](const Member& aMember) {
    const auto acknowledged = aAcknowledgements.mVersions.find(aMember.mIncarnation);
    return acknowledged != aAcknowledgements.mVersions.end() &&
           acknowledged->second > aView.mVersion;
  });
}

} // namespace

void Advance(ViewLog& aLog, const Acknowledgements& aAcknowledgements, const Now& aNow)
{
  while (aLog.mSealed + 1 < aLog.mVersion) {
    const auto version = aLog.mSealed + 1;
    const auto it = aLog.mViews.find(version);
    const auto next = it == aLog.mViews.end() ? aLog.mViews.begin() : std::next(it);
    if (it == aLog.mViews.end()) {
      if (aNow.mTime < next->second.mFirstReadTime + kUnreadViewLeaseCount * aLog.mOptions.mLease) {
        return;
      }
      MarkSealed(aLog, next->first - 1, aNow);
      continue;
    }
    auto& state = it->second;
    // A member that has acknowledged a later view accepts nothing under this one, even if its lease
    // has not expired. Thus a planned stop, during which the stopping member still acknowledges
    // views, causes no wait.
    if (HaveAllMembersAcknowledgedLater(state.mView, aAcknowledgements)) {
      MarkSealed(aLog, version, aNow);
      continue;
    }
    if (!state.mMajorityAckTime) {
      const auto& witnesses = state.mView.mWitnesses;
      const auto n = std::count_if(witnesses.begin(), witnesses.end(), [&](const Member& aWitness) {
        const auto acknowledged = aAcknowledgements.mVersions.find(aWitness.mIncarnation);
        return aAcknowledgements.mGone.contains(aWitness.mIncarnation) ||
               (acknowledged != aAcknowledgements.mVersions.end() &&
                acknowledged->second > version);
      });
      if (!IsMajority(static_cast<std::size_t>(n), state.mView)) {
        return;
      }
      state.mMajorityAckTime = aNow.mTime;
    }
    const auto from = std::max(*state.mMajorityAckTime, next->second.mFirstReadTime);
    if (aNow.mTime < from + aLog.mOptions.mLease + aLog.mOptions.mDriftMargin) {
      return;
    }
    MarkSealed(aLog, version, aNow);
  }
}

void MarkSealed(ViewLog& aLog, std::uint64_t aSealed, const Now& aNow)
{
  if (aLog.mVersion == 0) {
    return;
  }
  aLog.mSealed = std::max(aLog.mSealed, std::min(aSealed, aLog.mVersion - 1));
  const auto end = aLog.mViews.upper_bound(aLog.mSealed + 1);
  for (auto it = aLog.mViews.begin(); it != end; ++it) {
    RecordSettleTime(it->second, aNow);
  }
}

Claim ClaimOf(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf)
{
  Claim claim;
  auto expected = aLog.mVersion;
  for (const auto& [version, state] : boost::adaptors::reverse(aLog.mViews)) {
    if (version != expected || OwnerOf(state.mView, aKey) != aSelf) {
      break;
    }
    claim.mOwner = true;
    claim.mOwnedSinceVersion = expected--;
    if (state.mSettled) {
      claim.mSettled = state.mSettled;
    }
  }
  return claim;
}

Incarnation PreviousOwner(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf)
{
  for (const auto& [version, state] : boost::adaptors::reverse(aLog.mViews)) {
    const auto owner = OwnerOf(state.mView, aKey);
    if (owner != aSelf) {
      return owner;
    }
  }
  return {};
}

std::uint64_t BeginRound(Lease& aLease,
                         const View& aView,
                         Incarnation aSelf,
                         bool aOwnVote,
                         const Now& aNow,
                         const Options& aOptions)
{
  if (aLease.mRoundVersion != aView.mVersion) {
    aLease.mRoundVersion = aView.mVersion;
    aLease.mRounds.clear();
  }
  if (aLease.mRounds.size() == kMaxRounds) {
    aLease.mRounds.erase(aLease.mRounds.begin());
  }
  const auto number = ++aLease.mLastRound;
  aLease.mRounds.push_back({ number, aNow.mTime, {} });
  if (aOwnVote) {
    AddVote(aLease, aView, aSelf, aView.mVersion, number, aOptions);
  }
  return number;
}

void AddVote(Lease& aLease,
             const View& aView,
             Incarnation aFrom,
             std::uint64_t aVersion,
             std::uint64_t aRound,
             const Options& aOptions)
{
  if (aVersion != aView.mVersion || aLease.mRoundVersion != aVersion ||
      !Contains(aView.mWitnesses, aFrom)) {
    return;
  }
  const auto round =
    std::find_if(aLease.mRounds.begin(), aLease.mRounds.end(), [aRound](const Lease::Round& aIt) {
      return aIt.mNumber == aRound;
    });
  if (round == aLease.mRounds.end()) {
    return;
  }
  round->mVotes.insert(aFrom);
  if (IsMajority(round->mVotes.size(), aView)) {
    Renew(aLease, aVersion, round->mSent + aOptions.mLease);
  }
}

void RenewByEndRead(Lease& aLease, const View& aView, Time aStarted, const Options& aOptions)
{
  Renew(aLease, aView.mVersion, aStarted + aOptions.mLease);
}

void DropLease(Lease& aLease)
{
  aLease.mExpires = Time{};
  aLease.mVersion = 0;
  aLease.mRounds.clear();
}

bool HoldsLease(const Lease& aLease, const Now& aNow)
{
  return aLease.mVersion != 0 && aNow.mTime < aLease.mExpires;
}

} // namespace pollenwall::ownership
