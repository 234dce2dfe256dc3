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

/// Ownership within a data centre: which entry owns a caller-chosen id, and how the slots of an
/// upstream are divided between the entries. It covers the views read from the log stream
/// `view.DC`, leases on a view, and the takeover of keys from the owners of earlier views. No I/O,
/// no clock; not thread safe. docs/design.md, section 5, gives the rules and their reasons.
namespace pollenwall::ownership {

struct Member
{
  Incarnation mIncarnation;
  std::string mAddress; ///< "IP:PORT" where the entry accepts peers.

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// One version of the membership of a data centre. Members and witnesses are sorted and distinct.
/// The witnesses are the voters: a majority of them grants leases and acknowledges later views.
struct View
{
  std::uint64_t mBase = 0;
  std::uint64_t mVersion = 0; ///< mBase + 1.
  std::vector<Member> mMembers;
  std::vector<Member> mWitnesses; ///< The members, plus an entry of another data centre if needed.
  std::uint64_t mSealed = 0;      ///< No lease on a view up to this version is valid any more.
  std::uint64_t mBaseHash = 0;    ///< HashOf the view with version mBase; 0 when there was none.

  friend bool operator==(const View&, const View&) = default;
};

/// Hash of the version, members and witnesses.
std::uint64_t HashOf(const View& aView);

/// "view.DC".
std::string ViewStream(std::string_view aDataCentre);

/// The JSON text of a view's record.
std::string ViewRecord(const View& aView);

/// Parses and checks the text of a view's record; nothing when it is invalid.
std::optional<View> ParseViewRecord(std::string_view aText);

bool Contains(const std::vector<Member>& aMembers, Incarnation aIncarnation);

/// The member with the highest rendezvous weight for the key; zero when there is no member.
Incarnation OwnerOf(const View& aView, std::string_view aKey);

/// How many of an upstream's slots belong to the member. The n members are sorted by
/// hash(upstream, member), and slot i belongs to member i mod n.
std::uint32_t SlotCountOf(const View& aView,
                          std::string_view aUpstream,
                          std::uint32_t aSlots,
                          Incarnation aMember);

/// The members, plus aOther, an entry of another data centre, when their number is even. The number
/// of witnesses is then odd, and half of the members together with aOther are a majority.
std::vector<Member> MakeWitnesses(const std::vector<Member>& aMembers,
                                  const std::optional<Member>& aOther);

struct Options
{
  std::chrono::milliseconds mLease{ 600 }; ///< Duration of a lease from the start of its renewal.
  /// Added to waits for a lease to expire, because clocks drift.
  std::chrono::milliseconds mDriftMargin{ 100 };
};

/// When this process found that no lease on a view earlier than a given one was valid any more.
struct Settled
{
  Time mAt{};
  UnixMs mUnixMs = 0;
};

/// A view that this process has read, with the time of its first read and the progress of
/// sealing it and the earlier views.
struct ViewState
{
  View mView;
  Time mFirstReadTime{};
  std::optional<Time> mMajorityAckTime; ///< A majority of witnesses acknowledged a later view.
  std::optional<Settled> mSettled;      ///< When no earlier view could hold a lease any more.
};

/// Number of latest views that are kept. The settle time of a key is looked up in these only.
inline constexpr std::size_t kMaxViews = 64;

/// The state built from the records of `view.DC`. A record is accepted only when its base is the
/// current version at its offset.
///
/// A reader can decide this only if it has read every record. A reader that starts after the first
/// records were trimmed, or that missed records, keeps the first record it reads as *tentative*,
/// because that record may have lost a race against another one with the same base. The next
/// accepted record has the hash of its base, which confirms the tentative view or replaces it.
/// Without this rule a reader could serve in a view that never took effect.
struct ViewLog
{
  Options mOptions;
  std::uint64_t mNext = 0;      ///< The offset to read from.
  bool mHistoryComplete = true; ///< Every record has been read, or a tentative view was confirmed.
  std::optional<View> mTentative;
  std::uint64_t mVersion = 0; ///< Of the current view; 0 before the first.
  std::uint64_t mSealed = 0;  ///< No lease on a view up to this version is valid any more.
  std::map<std::uint64_t, ViewState> mViews;
};

/// The current view; null before the first one, or while the only view is tentative.
const View* CurrentView(const ViewLog& aLog);

/// Takes the oldest offset that the log retained at a read; called before the read's records are
/// applied. Returns whether the log has trimmed records that this reader has not read; in that case
/// all views are discarded.
bool NoteOldestOffset(ViewLog& aLog, std::uint64_t aFirst);

/// Makes the tentative view the current one. For use when no process is left that could confirm it.
void ConfirmTentative(ViewLog& aLog, const Now& aNow);

/// Applies the record at an offset; returns whether its view is now the current one.
bool ApplyRecord(ViewLog& aLog, std::uint64_t aOffset, std::string_view aText, const Now& aNow);

/// The acknowledgements of views that this process has received.
struct Acknowledgements
{
  std::map<Incarnation, std::uint64_t> mVersions; ///< Highest acknowledged version.
  std::set<Incarnation> mGone; ///< Processes that have ended, see membership::HasEnded.
};

/// Seals earlier views in order. A view is sealed once a majority of its witnesses has acknowledged
/// a later view and lease + drift margin have passed since; without the wait if every member of the
/// view has acknowledged a later one.
void Advance(ViewLog& aLog, const Acknowledgements& aAcknowledgements, const Now& aNow);

/// Marks all views up to a version as sealed, as reported by a peer or a record.
void MarkSealed(ViewLog& aLog, std::uint64_t aSealed, const Now& aNow);

/// The ownership of a key by one process.
struct Claim
{
  bool mOwner = false;                  ///< It is the owner in the current view.
  std::uint64_t mOwnedSinceVersion = 0; ///< It is the owner in every view from this version on.
  std::optional<Settled> mSettled;      ///< The earliest settle time of those views.
};
Claim ClaimOf(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf);

/// The owner of the key in the latest earlier view in which it was another process; zero when there
/// is none.
Incarnation PreviousOwner(const ViewLog& aLog, std::string_view aKey, Incarnation aSelf);

/// The right to accept submissions under a view, renewed in rounds of votes by the witnesses.
struct Lease
{
  struct Round
  {
    std::uint64_t mNumber = 0;
    Time mSent{};
    std::set<Incarnation> mVotes;
  };

  std::uint64_t mVersion = 0; ///< The view that the lease is for.
  Time mExpires{};
  std::uint64_t mLastRound = 0;
  std::uint64_t mRoundVersion = 0; ///< The view that mRounds are for.
  std::vector<Round> mRounds;      ///< At most the latest kMaxRounds.
};

/// Number of latest rounds whose votes count. A vote for an older round would give a lease that has
/// already expired.
inline constexpr std::size_t kMaxRounds = 4;

/// Starts a renewal that is sent now. Returns the round's number, which votes repeat. aOwnVote is
/// whether this process votes for itself: it is a witness that has not acknowledged a later view.
std::uint64_t BeginRound(Lease& aLease,
                         const View& aView,
                         Incarnation aSelf,
                         bool aOwnVote,
                         const Now& aNow,
                         const Options& aOptions);

/// Counts a vote. With a majority of the view's witnesses the lease is renewed from the time at
/// which the round was sent.
void AddVote(Lease& aLease,
             const View& aView,
             Incarnation aFrom,
             std::uint64_t aVersion,
             std::uint64_t aRound,
             const Options& aOptions);

/// Renews the lease after a read, begun at aStarted, that reached the end of the log and showed no
/// view later than aView.
void RenewByEndRead(Lease& aLease, const View& aView, Time aStarted, const Options& aOptions);

/// Ends the lease and discards the rounds, because this process was paused.
void DropLease(Lease& aLease);

bool HoldsLease(const Lease& aLease, const Now& aNow);

} // namespace pollenwall::ownership
