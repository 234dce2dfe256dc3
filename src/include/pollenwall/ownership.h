#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/time.h>

/// Who owns a caller-chosen id of a data centre, and which slots of an upstream are whose: the fold
/// of the log stream `view.DC`, leases on a view, and the takeover of ranges from earlier views. No
/// I/O, no clock; not thread safe. docs/design.md, section 5, gives the rules and their reasons.
namespace pollenwall::ownership {

struct Member
{
  Incarnation mIncarnation;
  std::string mAddress; ///< "IP:PORT" where the entry accepts peers.

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// One view of a data centre. Members and witnesses are sorted and distinct.
struct View
{
  std::uint64_t mBase = 0;
  std::uint64_t mVersion = 0; ///< mBase + 1.
  std::vector<Member> mMembers;
  std::vector<Member> mWitnesses; ///< The members, and one entry of another data centre if needed.
  std::uint64_t mSealed = 0;      ///< All views up to this one can hold no lease any more.
  std::uint64_t mBaseHash = 0;    ///< HashOf the view mBase; 0 when there was none.

  friend bool operator==(const View&, const View&) = default;
};

/// Of the members and witnesses, with the version.
std::uint64_t HashOf(const View& aView);

/// "view.DC".
std::string ViewStream(std::string_view aDataCentre);

/// The JSON text of a view's record, and its checked inverse.
std::string ViewRecord(const View& aView);
std::optional<View> ParseViewRecord(std::string_view aText);

bool Contains(const std::vector<Member>& aMembers, Incarnation aIncarnation);

/// The member with the highest rendezvous weight; zero when there is none.
Incarnation OwnerOf(const View& aView, std::string_view aKey);

/// How many of an upstream's slots belong to the member: members sorted by hash(upstream, member),
/// slot i to member i mod n.
std::uint32_t SlotsOf(const View& aView,
                      std::string_view aUpstream,
                      std::uint32_t aSlots,
                      Incarnation aMember);

/// The members, plus the other entry when their number is even, so that the number of witnesses is
/// odd and half of the members with it are a majority.
std::vector<Member> MakeWitnesses(const std::vector<Member>& aMembers,
                                  const std::optional<Member>& aOther);

struct Options
{
  std::chrono::milliseconds mLease{ 600 };
  std::chrono::milliseconds mDriftMargin{ 100 };
};

/// The moment at which all views before a view could hold no lease any more, as this process knows.
struct Settled
{
  Time mAt{};
  UnixMs mUnixMs = 0;
};

/// A view as this process has read it.
struct ReadView
{
  View mView;
  Time mFirstRead{};
  std::optional<Time> mSealSeen;   ///< A majority of its witnesses acknowledged a later view.
  std::optional<Settled> mSettled; ///< Of all views before it.
};

/// Latest views kept. A key's settle time is looked for in them only.
inline constexpr std::size_t kMaxViews = 64;

/// The fold of `view.DC`. A record is accepted only when its base is the version in force.
///
/// A reader judges this only while it has read every record. One that starts after the stream's
/// beginning is gone, or that missed records, holds the first record it reads as *tentative*: it
/// may have lost its race. The next accepted record names the hash of its base, which confirms the
/// tentative view or replaces it. Without this rule a reader could serve in a view that was never
/// in force.
struct ViewLog
{
  Options mOptions;
  std::uint64_t mNext = 0; ///< The offset to read from.
  bool mExact = true;      ///< Every record has been read, or a tentative view was confirmed.
  std::optional<View> mTentative;
  std::uint64_t mVersion = 0; ///< In force; 0 before any.
  std::uint64_t mSealed = 0;  ///< All views up to this one can hold no lease any more.
  std::map<std::uint64_t, ReadView> mViews;
};

/// The view in force; nothing before any, or while it is not known for certain.
const View* CurrentView(const ViewLog& aLog);

/// Tells the oldest retained offset of a read, before its records are applied. Returns whether
/// records that this reader has not read are gone; the views are then forgotten.
bool NoteFirst(ViewLog& aLog, std::uint64_t aFirst);

/// Takes the tentative view for the one in force: no process that could confirm it is left.
void ConfirmTentative(ViewLog& aLog, const Now& aNow);

/// Applies the record at an offset; returns whether it is now in force.
bool ApplyRecord(ViewLog& aLog, std::uint64_t aOffset, std::string_view aText, const Now& aNow);

/// What this process knows of others' acknowledgements.
struct Acknowledgements
{
  std::map<Incarnation, std::uint64_t> mVersions; ///< Highest acknowledged version.
  std::set<Incarnation> mGone; ///< Processes that the platform shows to have ended.
};

/// Seals earlier views as far as acknowledgements and the wait of lease + drift margin allow. The
/// wait is left out for a view of which every member has acknowledged a later one.
void Advance(ViewLog& aLog, const Acknowledgements& aKnown, const Now& aNow);

/// Takes over a statement by a peer or a record that all views up to this one hold no lease.
void NoteSealed(ViewLog& aLog, std::uint64_t aSealed, const Now& aNow);

/// What a process may do with a key.
struct Claim
{
  bool mOwner = false;           ///< It is the owner in the view in force.
  std::uint64_t mOwnedSince = 0; ///< It was the owner in every view from this one to that in force.
  std::optional<Settled> mSettled; ///< The earliest settle time of those views.
};
Claim ClaimOf(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf);

/// The owner of the key in the latest earlier view in which it was another process; zero when there
/// is none.
Incarnation PreviousOwner(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf);

/// The right to accept submissions, renewed in rounds.
struct Lease
{
  struct Round
  {
    std::uint64_t mNumber = 0;
    Time mSent{};
    std::set<Incarnation> mVotes;
  };

  std::uint64_t mVersion = 0; ///< The view that mExpires is about.
  Time mExpires{};
  std::uint64_t mLastRound = 0;
  std::uint64_t mRoundVersion = 0; ///< The view that mRounds is about.
  std::vector<Round> mRounds;      ///< The latest few.
};

/// Rounds whose votes still count; a vote that comes later would give a lease that has ended.
inline constexpr std::size_t kMaxRounds = 4;

/// Starts a renewal that is sent now. Returns its number, which votes echo. aOwnVote is whether
/// this process is a witness that has not acknowledged a later view.
std::uint64_t BeginRound(Lease& aLease,
                         const View& aView,
                         Incarnation aSelf,
                         bool aOwnVote,
                         const Now& aNow,
                         const Options& aOptions);

/// Counts a vote. A majority of the view's witnesses renews the lease from the round's start.
void AddVote(Lease& aLease,
             const View& aView,
             Incarnation aFrom,
             std::uint64_t aVersion,
             std::uint64_t aRound,
             const Options& aOptions);

/// Renews the lease by a read that reached the log's end and showed no view after aView.
void NoteEndRead(Lease& aLease, const View& aView, Time aStarted, const Options& aOptions);

/// Ends the lease and forgets the rounds: this process was paused.
void DropLease(Lease& aLease);

bool HoldsLease(const Lease& aLease, const Now& aNow);

} // namespace pollenwall::ownership
