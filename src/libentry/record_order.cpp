#include <pollenwall/record_order.h>

#include <algorithm>

namespace pollenwall::entry {
namespace {

/// Finds what is known of an id, or adds it, and notes that the list has the id.
KnownRecord& Find(RecordOrder& aOrder, std::string_view aId)
{
  auto it = aOrder.mKnown.find(aId);
  if (it == aOrder.mKnown.end()) {
    it = aOrder.mKnown.emplace(std::string(aId), KnownRecord{}).first;
  }
  it->second.mListed = true;
  return it->second;
}

RecordUse Use(KnownRecord& aKnown, const std::optional<RecordStamp>& aStamp)
{
  aKnown.mLatest = aStamp;
  aKnown.mUnconfirmed.reset();
  aKnown.mRemovedAt.reset();
  return RecordUse::Use;
}

void MarkRemoved(RecordOrder& aOrder, KnownRecord& aKnown, Time aNow)
{
  if (!aKnown.mRemovedAt) {
    aKnown.mRemovedAt = aNow;
    aOrder.mForgetAt = std::min(aOrder.mForgetAt.value_or(Time::max()), aNow + kRecordRetention);
  }
}

void ForgetRemoved(RecordOrder& aOrder, Time aNow)
{
  if (!aOrder.mForgetAt || aNow < *aOrder.mForgetAt) {
    return;
  }
  aOrder.mForgetAt.reset();
  std::erase_if(aOrder.mKnown, [&](const auto& aKnown) {
    const auto& removedAt = aKnown.second.mRemovedAt;
    if (!removedAt) {
      return false;
    }
    const auto until = *removedAt + kRecordRetention;
    if (until > aNow) {
      aOrder.mForgetAt = std::min(aOrder.mForgetAt.value_or(until), until);
    }
    return until <= aNow;
  });
}

} // namespace

std::string_view ToString(RecordUse aUse)
{
  switch (aUse) {
    case RecordUse::Use:
      return "use";
    case RecordUse::Same:
      return "same";
    case RecordUse::Late:
      return "late";
    case RecordUse::FormerProcess:
      return "former_process";
    case RecordUse::Unstamped:
      break;
  }
  return "unstamped";
}

RecordUse TakeUpstreamRecord(RecordOrder& aOrder,
                             std::string_view aId,
                             const std::optional<RecordStamp>& aStamp,
                             Time aNow)
{
  ForgetRemoved(aOrder, aNow);
  auto& known = Find(aOrder, aId);
  if (!known.mLatest) {
    return Use(known, aStamp);
  }
  if (!aStamp) {
    return RecordUse::Unstamped;
  }
  const auto& latest = *known.mLatest;
  if (aStamp->mStartedMs == latest.mStartedMs) {
    return aStamp->mSequence > latest.mSequence ? Use(known, aStamp)
           : *aStamp == latest                  ? RecordUse::Same
                                                : RecordUse::Late;
  }
  if (aStamp->mStartedMs > latest.mStartedMs) {
    return Use(known, aStamp);
  }
  const auto& unconfirmed = known.mUnconfirmed;
  if (unconfirmed && unconfirmed->mStartedMs == aStamp->mStartedMs) {
    return aStamp->mSequence > unconfirmed->mSequence ? Use(known, aStamp)
                                                      : RecordUse::FormerProcess;
  }
  known.mUnconfirmed = aStamp;
  return RecordUse::FormerProcess;
}

RecordUse TakeEntryRecord(RecordOrder& aOrder,
                          std::string_view aId,
                          const std::optional<RecordStamp>& aStamp,
                          Time aNow)
{
  ForgetRemoved(aOrder, aNow);
  auto& known = Find(aOrder, aId);
  if (aStamp && known.mLatest && *aStamp < *known.mLatest) {
    return RecordUse::FormerProcess;
  }
  return Use(known, aStamp ? aStamp : known.mLatest);
}

void RemoveRecord(RecordOrder& aOrder, std::string_view aId, Time aNow)
{
  const auto it = aOrder.mKnown.find(aId);
  if (it != aOrder.mKnown.end()) {
    MarkRemoved(aOrder, it->second, aNow);
  }
  ForgetRemoved(aOrder, aNow);
}

void BeginList(RecordOrder& aOrder)
{
  aOrder.mReadsList = true;
  for (auto& [id, known] : aOrder.mKnown) {
    known.mListed = false;
  }
}

void KeepListed(RecordOrder& aOrder, std::string_view aId)
{
  const auto it = aOrder.mKnown.find(aId);
  if (it != aOrder.mKnown.end()) {
    it->second.mListed = true;
  }
}

std::vector<std::string> EndRead(RecordOrder& aOrder, Time aNow)
{
  std::vector<std::string> gone;
  if (aOrder.mReadsList) {
    aOrder.mReadsList = false;
    for (auto& [id, known] : aOrder.mKnown) {
      if (known.mListed || known.mRemovedAt) {
        continue;
      }
      gone.push_back(id);
      MarkRemoved(aOrder, known, aNow);
    }
  }
  ForgetRemoved(aOrder, aNow);
  return gone;
}

} // namespace pollenwall::entry
