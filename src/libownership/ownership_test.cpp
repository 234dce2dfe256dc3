#include <pollenwall/ownership.h>

#include <iostream>

#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::ownership;
using namespace std::chrono_literals;

namespace {

bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

Member MemberOf(std::uint64_t aNumber)
{
  return { Incarnation{ aNumber }, "10.0.0." + std::to_string(aNumber) + ":7000" };
}

View ViewOf(std::uint64_t aBase,
            const std::vector<std::uint64_t>& aMembers,
            std::uint64_t aSealed = 0)
{
  View view{ aBase, aBase + 1, {}, {}, aSealed, 0 };
  for (const auto it : aMembers) {
    view.mMembers.push_back(MemberOf(it));
  }
  view.mWitnesses = view.mMembers;
  return view;
}

Now At(std::chrono::milliseconds aTime)
{
  return { Time(aTime), 1'000'000 + aTime.count() };
}

void Append(ViewLog& aLog, const View& aView, const Now& aNow)
{
  ApplyRecord(aLog, aLog.mNext, ViewRecord(aView), aNow);
}

/// Guards against slots without an owner or with two, for any set of members.
bool SlotsAreDivided()
{
  return rc::check("every slot belongs to one member", [] {
    const auto numbers =
      *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 1000000));
    RC_PRE(!numbers.empty());
    const auto view = ViewOf(0, numbers);
    const auto slots = *rc::gen::inRange<std::uint32_t>(0, 100);
    const auto upstream = "s/" + std::to_string(*rc::gen::arbitrary<int>());
    std::uint32_t sum = 0;
    for (const auto& it : view.mMembers) {
      const auto share = SlotCountOf(view, upstream, slots, it.mIncarnation);
      RC_ASSERT(share >= slots / numbers.size());
      RC_ASSERT(share <= slots / numbers.size() + 1);
      sum += share;
    }
    RC_ASSERT(sum == slots);
    RC_ASSERT(SlotCountOf(view, upstream, slots, Incarnation{ 2000000 }) == 0U);
  });
}

/// Guards against readers that disagree after two members appended views at once: the readers apply
/// the same records, some of them with a stale base, at different times.
bool ReadersAgree()
{
  return rc::check(
    "readers of one log agree, and only a record based on the current view is accepted", [] {
      const auto bases =
        *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 8));
      ViewLog one;
      ViewLog other;
      std::uint64_t version = 0;
      for (std::uint64_t n = 0; n < bases.size(); ++n) {
        const auto text = ViewRecord(ViewOf(bases[n], { n + 1, n + 2 }));
        const bool accepted = ApplyRecord(one, n, text, At(0ms));
        RC_ASSERT(accepted == (bases[n] == version));
        version += accepted ? 1 : 0;
        RC_ASSERT(!ApplyRecord(one, n, text, At(0ms))); // Read again.
      }
      for (std::uint64_t n = 0; n < bases.size(); ++n) {
        ApplyRecord(other, n, ViewRecord(ViewOf(bases[n], { n + 1, n + 2 })), At(5ms));
      }
      RC_ASSERT(one.mVersion == version);
      RC_ASSERT(other.mVersion == version);
      if (version > 0) {
        RC_ASSERT(*CurrentView(one) == *CurrentView(other));
      }
    });
}

/// Guards against a crash on, or an invalid view from, a malformed record in the log.
bool DamagedRecordsAreRefused()
{
  return rc::check("a damaged record is refused or is a valid view", [] {
    auto text = ViewRecord(ViewOf(3, { 5, 6, 7 }, 2));
    RC_ASSERT(ParseViewRecord(text) == ViewOf(3, { 5, 6, 7 }, 2));
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    if (const auto view = ParseViewRecord(text)) {
      RC_ASSERT(view->mVersion == view->mBase + 1);
      RC_ASSERT(view->mSealed <= view->mBase);
      RC_ASSERT(!view->mMembers.empty());
    }
  });
}

/// Guards against a lease that rests on less than a majority, an old round or another view.
bool LeasesNeedMajorities()
{
  const auto view = ViewOf(0, { 1, 2, 3 });
  const Options options;
  Lease lease;
  const auto old = BeginRound(lease, view, Incarnation{ 1 }, true, At(0ms), options);
  bool passed = Expect(!HoldsLease(lease, At(1ms)), "one vote of three is not a majority");
  AddVote(lease, view, Incarnation{ 1 }, 1, old, options);
  AddVote(lease, view, Incarnation{ 9 }, 1, old, options);
  AddVote(lease, view, Incarnation{ 2 }, 2, old, options);
  AddVote(lease, view, Incarnation{ 2 }, 1, old + 7, options);
  passed &= Expect(!HoldsLease(lease, At(1ms)),
                   "votes repeated, by non-witnesses, or for another view or round do not count");
  AddVote(lease, view, Incarnation{ 2 }, 1, old, options);
  passed &= Expect(HoldsLease(lease, At(599ms)), "two votes of three are a majority");
  passed &=
    Expect(!HoldsLease(lease, At(600ms)), "the lease runs from the time the renewal was sent");
  const auto next = BeginRound(lease, view, Incarnation{ 1 }, true, At(700ms), options);
  DropLease(lease);
  AddVote(lease, view, Incarnation{ 2 }, 1, next, options);
  passed &= Expect(!HoldsLease(lease, At(701ms)), "votes for a round before a pause are ignored");
  for (std::size_t n = 0; n <= kMaxRounds; ++n) {
    BeginRound(lease, view, Incarnation{ 1 }, false, At(800ms), options);
  }
  RenewByEndRead(lease, view, Time(900ms), options);
  passed &= Expect(HoldsLease(lease, At(1499ms)) && !HoldsLease(lease, At(1500ms)),
                   "a read of the log's end gives a lease from its start");
  return passed;
}

/// Guards against a takeover before the earlier owner's lease has expired, and against a member
/// that loses the settle time of a key whose owner a new view does not change.
bool TakeoversWait()
{
  ViewLog log;
  Append(log, ViewOf(0, { 1, 2, 3 }), At(0ms));
  Append(log, ViewOf(1, { 1, 2 }), At(1000ms));
  std::string moved;
  std::string kept;
  for (int n = 0; moved.empty() || kept.empty(); ++n) {
    const auto key = "dc:" + std::to_string(n);
    const auto before = OwnerOf(ViewOf(0, { 1, 2, 3 }), key);
    if (OwnerOf(ViewOf(1, { 1, 2 }), key) == Incarnation{ 1 }) {
      (before == Incarnation{ 1 } ? kept : moved) = key;
    }
  }
  const auto self = Incarnation{ 1 };
  bool passed = Expect(ClaimOf(log, kept, self).mSettled.has_value(), "a kept key stays settled");
  passed &= Expect(ClaimOf(log, kept, self).mSettled->mUnixMs == 0,
                   "a key owned since the first view has no earlier owner");
  passed &= Expect(!ClaimOf(log, moved, self).mSettled, "a key with a new owner is not settled");
  Acknowledgements acknowledgements;
  acknowledgements.mVersions[self] = 2;
  Advance(log, acknowledgements, At(5000ms));
  passed &= Expect(log.mSealed == 0, "one acknowledgement of three seals nothing");
  acknowledgements.mVersions[Incarnation{ 2 }] = 1;
  Advance(log, acknowledgements, At(5000ms));
  passed &= Expect(log.mSealed == 0, "an acknowledgement of the same view seals nothing");
  acknowledgements.mVersions[Incarnation{ 2 }] = 2;
  Advance(log, acknowledgements, At(6000ms));
  Advance(log, acknowledgements, At(6699ms));
  passed &=
    Expect(!ClaimOf(log, moved, self).mSettled, "the lease and the drift margin have to pass");
  Advance(log, acknowledgements, At(6700ms));
  const auto claim = ClaimOf(log, moved, self);
  passed &= Expect(claim.mSettled && claim.mSettled->mUnixMs == At(6700ms).mUnixMs,
                   "the settle time is the end of the wait");
  passed &= Expect(claim.mOwnedSinceVersion == 2, "the key is owned since the second view");
  passed &= Expect(PreviousOwner(log, moved, self) != self, "the earlier owner is another one");

  // In a planned stop the stopping member is still running and acknowledges the new view.
  ViewLog stopping;
  Append(stopping, ViewOf(0, { 1, 2, 3 }), At(0ms));
  Append(stopping, ViewOf(1, { 1, 2 }), At(1000ms));
  acknowledgements.mVersions = { { self, 2 }, { Incarnation{ 2 }, 2 }, { Incarnation{ 3 }, 1 } };
  Advance(stopping, acknowledgements, At(1100ms));
  passed &= Expect(!ClaimOf(stopping, moved, self).mSettled, "a member may still hold a lease");
  acknowledgements.mVersions[Incarnation{ 3 }] = 2;
  Advance(stopping, acknowledgements, At(1200ms));
  passed &= Expect(ClaimOf(stopping, moved, self).mSettled.has_value(),
                   "no wait when every member has acknowledged the new view");

  ViewLog ended;
  Append(ended, ViewOf(0, { 3 }), At(0ms));
  Append(ended, ViewOf(1, { 1 }), At(100ms));
  Acknowledgements gone;
  Advance(ended, gone, At(5000ms));
  passed &= Expect(ended.mSealed == 0, "a silent witness does not count as acknowledged");
  gone.mGone.insert(Incarnation{ 3 });
  Advance(ended, gone, At(5000ms));
  Advance(ended, gone, At(5700ms));
  passed &= Expect(ended.mSealed == 1, "a witness that has ended counts as acknowledged");
  return passed;
}

/// Guards against a reader that takes a record which lost a race for the current view, because the
/// log has trimmed the records before it.
bool LateReadersWaitForCertainty()
{
  auto inForce = ViewOf(4, { 1, 2 });
  const auto lost = ViewOf(4, { 7, 8 });
  auto next = ViewOf(5, { 1, 2, 3 });
  next.mBaseHash = HashOf(inForce);
  ViewLog log;
  bool passed = Expect(NoteOldestOffset(log, 10), "the first records are trimmed");
  passed &= Expect(!ApplyRecord(log, 10, ViewRecord(lost), At(0ms)) && CurrentView(log) == nullptr,
                   "a single record is only tentative");
  passed &= Expect(!ApplyRecord(log, 11, ViewRecord(next), At(0ms)) && CurrentView(log) == nullptr,
                   "a record based on another view of that version replaces it");
  auto after = ViewOf(6, { 1, 3 });
  after.mBaseHash = HashOf(next);
  passed &= Expect(!ApplyRecord(log, 12, ViewRecord(lost), At(0ms)), "an older record is skipped");
  passed &= Expect(ApplyRecord(log, 13, ViewRecord(after), At(0ms)) && log.mVersion == 7,
                   "a record based on the tentative view confirms it");
  passed &= Expect(NoteOldestOffset(log, 20) && CurrentView(log) == nullptr && log.mVersion == 0,
                   "a reader that missed records discards its views");
  ApplyRecord(log, 20, ViewRecord(lost), At(0ms));
  ConfirmTentative(log, At(0ms));
  return passed && Expect(CurrentView(log) != nullptr, "confirmed by the caller");
}

/// Guards against an even number of witnesses, of which half would not be a majority.
bool WitnessesAreOdd()
{
  const auto two = ViewOf(0, { 1, 2 }).mMembers;
  const auto three = ViewOf(0, { 1, 2, 3 }).mMembers;
  return Expect(MakeWitnesses(two, MemberOf(9)).size() == 3, "two members and another witness") &&
         Expect(MakeWitnesses(three, MemberOf(9)).size() == 3, "three members are enough") &&
         Expect(MakeWitnesses(two, std::nullopt).size() == 2, "no other entry is known");
}

} // namespace

int main()
{
  bool passed = SlotsAreDivided();
  passed &= ReadersAgree();
  passed &= DamagedRecordsAreRefused();
  passed &= LeasesNeedMajorities();
  passed &= TakeoversWait();
  passed &= LateReadersWaitForCertainty();
  passed &= WitnessesAreOdd();
  return passed ? 0 : 1;
}
