#include <pollenwall/membership.h>

#include <iostream>

using namespace pollenwall;
using namespace pollenwall::membership;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kStartMs = 1'800'000'000'000;

bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

Now At(std::chrono::milliseconds aTime)
{
  return { Time(aTime), kStartMs + aTime.count() };
}

message::Hello MakeHello(std::uint32_t aNumber, std::string aAddress, UnixMs aStart = kStartMs)
{
  return { MakeIncarnation(aStart, aNumber), "n", "dc", std::move(aAddress) };
}

message::Heartbeat MakeHeartbeat(std::uint64_t aSequence, MemberState aState = MemberState::Ready)
{
  message::Heartbeat heartbeat;
  heartbeat.mSequence = aSequence;
  heartbeat.mState = aState;
  return heartbeat;
}

Members MakeMembers()
{
  Members members;
  members.mDataCentre = "dc";
  return members;
}

MemberState StateOf(Members& aMembers, Incarnation aPeer, const Now& aNow)
{
  Advance(aMembers, aNow);
  return FindPeer(aMembers, aPeer)->mState;
}

/// Guards against a silent entry that is not suspected, and against one that sends heartbeats again
/// and stays suspected.
bool SilenceMakesSuspect()
{
  auto members = MakeMembers();
  const auto hello = MakeHello(1, "a");
  NoteLinkUp(members, hello, At(0ms));
  bool passed = Expect(StateOf(members, hello.mIncarnation, At(0ms)) == MemberState::Joining,
                       "an entry without heartbeats is joining");
  NoteHeartbeat(members, hello.mIncarnation, MakeHeartbeat(5), At(100ms));
  passed &= Expect(StateOf(members, hello.mIncarnation, At(699ms)) == MemberState::Ready, "ready");
  passed &= Expect(!NoteHeartbeat(members, hello.mIncarnation, MakeHeartbeat(4), At(650ms)),
                   "a heartbeat that arrives out of order is ignored");
  passed &=
    Expect(StateOf(members, hello.mIncarnation, At(700ms)) == MemberState::Suspect, "silent");
  NoteHeartbeat(members, hello.mIncarnation, MakeHeartbeat(6), At(800ms));
  passed &= Expect(StateOf(members, hello.mIncarnation, At(800ms)) == MemberState::Ready, "back");
  NoteHeartbeat(members, hello.mIncarnation, MakeHeartbeat(7, MemberState::Leaving), At(900ms));
  passed &=
    Expect(StateOf(members, hello.mIncarnation, At(900ms)) == MemberState::Leaving, "leaving");
  NoteLinkDown(members, hello.mIncarnation, At(1000ms));
  passed &= Expect(StateOf(members, hello.mIncarnation, At(1600ms)) == MemberState::Suspect,
                   "an entry with a lost link is suspect, not gone");
  return passed;
}

/// Guards against a running process that is considered ended, so that its lease is ignored, and
/// against an ended process that blocks takeovers forever.
bool EndsAreCertain()
{
  auto members = MakeMembers();
  const auto first = MakeHello(1, "a");
  const auto id = first.mIncarnation;
  NoteLinkUp(members, first, At(0ms));
  NoteVmList(members, kStartMs + 10, { { "b", "dc", false } });
  bool passed = Expect(!HasEnded(members, id, "a", At(700ms)),
                       "an entry that was in no list yet has not ended");
  NoteVmList(members, kStartMs + 20, { { "a", "dc", false } });
  NoteVmList(members, kStartMs + 30, {});
  NoteHeartbeat(members, id, MakeHeartbeat(1), At(1000ms));
  passed &=
    Expect(!HasEnded(members, id, "a", At(1500ms)), "an entry that sends heartbeats has not ended");
  passed &= Expect(HasEnded(members, id, "a", At(1600ms)), "silent and no longer listed");
  NoteVmList(members, kStartMs + 25, { { "a", "dc", false } });
  passed &= Expect(HasEnded(members, id, "a", At(1600ms)), "an older list is ignored");
  NoteVmList(members, kStartMs + 40, { { "a", "dc", false } });
  passed &= Expect(!HasEnded(members, id, "a", At(1600ms)), "listed again");
  NoteLinkUp(members, MakeHello(2, "a", kStartMs + 5000), At(5000ms));
  passed &= Expect(HasEnded(members, id, "a", At(5000ms)), "its address has a later incarnation");
  passed &= Expect(!HasEnded(members, MakeIncarnation(kStartMs + 5000, 2), "a", At(5000ms)),
                   "the later incarnation has not ended");
  passed &= Expect(StateOf(members, id, At(5000ms)) == MemberState::Gone, "gone");

  const auto never = MakeIncarnation(kStartMs, 3);
  NoteVmList(members, kStartMs + 10000, {});
  passed &= Expect(!HasEnded(members, never, "c", At(10000ms)), "a list may lag");
  NoteVmList(members, kStartMs + 10001, {});
  passed &= Expect(HasEnded(members, never, "c", At(10001ms)),
                   "a list made long after the start does not contain it");
  return passed;
}

} // namespace

int main()
{
  bool passed = SilenceMakesSuspect();
  passed &= EndsAreCertain();
  return passed ? 0 : 1;
}
