#include <algorithm>
#include <iostream>
#include <map>

#include <pollenwall/holding.h>

namespace {

using namespace pollenwall;
using namespace pollenwall::holding;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kUpstream = "u";

/// One hold and the actions of the latest event. Events are 1 ms apart.
struct Fixture
{
  State mState;
  Now mNow{ Time{ seconds(1000) }, 1'700'000'000'000 };
  std::int64_t mClockMs = 5000; ///< Of the upstream.
  UnixMs mBornMs = 7;
  Actions mActions;
};

bool Expect(bool aCondition, std::string_view aWhat)
{
  if (!aCondition) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aCondition;
}

template<typename Kind>
std::vector<Kind> All(const Fixture& aFixture)
{
  std::vector<Kind> all;
  for (const auto& action : aFixture.mActions) {
    if (const auto* kind = std::get_if<Kind>(&action)) {
      all.push_back(*kind);
    }
  }
  return all;
}

void Pass(Fixture& aFixture, milliseconds aTime)
{
  aFixture.mNow.mTime += aTime;
  aFixture.mNow.mUnixMs += aTime.count();
  aFixture.mClockMs += aTime.count();
  aFixture.mActions.clear();
}

std::uint64_t SessionOf(const Fixture& aFixture)
{
  return aFixture.mState.mSessions.at(kUpstream).mNumber;
}

void AnswerStart(Fixture& aFixture, const Run& aRun, OrderStatus aStatus)
{
  const auto sentAt = aFixture.mNow.mTime;
  Pass(aFixture, milliseconds(1));
  Handle(aFixture.mState,
         StartAnswered{ kUpstream, SessionOf(aFixture), aRun, aStatus, aFixture.mClockMs, sentAt },
         aFixture.mNow,
         aFixture.mActions);
}

void AnswerPoll(Fixture& aFixture, std::vector<ListedRun> aRunning = {})
{
  PollAnswered answer{ kUpstream,        SessionOf(aFixture), OrderStatus::Done,  aFixture.mClockMs,
                       aFixture.mBornMs, aFixture.mNow.mTime, std::move(aRunning) };
  Pass(aFixture, milliseconds(1));
  Handle(aFixture.mState, answer, aFixture.mNow, aFixture.mActions);
}

/// Answers a stop that is sent now, by the process whose clock shows aClockMs.
void ConfirmStop(Fixture& aFixture, const Run& aRun, std::int64_t aClockMs)
{
  Handle(aFixture.mState,
         StopAnswered{
           kUpstream, SessionOf(aFixture), aRun, OrderStatus::Done, aClockMs, aFixture.mNow.mTime },
         aFixture.mNow,
         aFixture.mActions);
}

void AdvanceBy(Fixture& aFixture, milliseconds aTime)
{
  Pass(aFixture, aTime);
  Advance(aFixture.mState, aFixture.mNow, aFixture.mActions);
}

/// A usable upstream.
Fixture MakeFixture()
{
  Fixture fixture;
  Claim(fixture.mState, kUpstream, 0, fixture.mNow, fixture.mActions);
  AnswerPoll(fixture);
  return fixture;
}

/// Orders a run of which two copies are sent.
Run StartTwice(Fixture& aFixture)
{
  Run run{ { "j", 0 }, 1 };
  Start(aFixture.mState, kUpstream, run, nullptr, aFixture.mNow, aFixture.mActions);
  AdvanceBy(aFixture, milliseconds(50));
  Expect(All<SendStart>(aFixture).size() == 1, "a second copy is sent");
  return run;
}

/// Guards against a task that runs twice at once: its first start is carried out, another entry
/// claims the upstream, the second copy of the start is refused, and the run is taken for one that
/// never began, so that the task is started elsewhere beside it.
bool RefusedCopyDoesNotEndARunningTask()
{
  bool ok = true;
  for (const auto refusal : { OrderStatus::Fenced, OrderStatus::OtherIncarnation }) {
    for (const bool isListed : { false, true }) {
      auto fixture = MakeFixture();
      const auto run = StartTwice(fixture);
      if (isListed) { // A poll shows that it runs before the first copy is answered.
        AnswerPoll(fixture, { { run, 0.1 } });
      }
      AnswerStart(fixture, run, OrderStatus::Done);
      AnswerStart(fixture, run, refusal);
      const auto ends = All<Ended>(fixture);
      ok &= Expect(std::none_of(ends.begin(),
                                ends.end(),
                                [](const Ended& aEnded) {
                                  return aEnded.mOutcome.mVerdict == Verdict::NotRun;
                                }),
                   "a run that was started is not reported as not run");
      if (refusal == OrderStatus::Fenced) {
        ok &= Expect(ends.empty(), "the run goes on while its lease lasts");
        AdvanceBy(fixture, seconds(2));
        const auto lapsed = All<Ended>(fixture);
        ok &= Expect(lapsed.size() == 1 && lapsed[0].mOutcome.mVerdict == Verdict::MayHaveRun,
                     "the run ends as one that may have run once its lease has lapsed");
      }
    }
  }
  return ok;
}

/// Sends the next poll over a connection that is refused.
void RefusePoll(Fixture& aFixture)
{
  AdvanceBy(aFixture, milliseconds(25));
  PollAnswered lost;
  lost.mUpstream = kUpstream;
  lost.mSession = SessionOf(aFixture);
  lost.mStatus = OrderStatus::NotSent;
  lost.mSentAt = aFixture.mNow.mTime;
  Handle(aFixture.mState, lost, aFixture.mNow, aFixture.mActions);
}

/// Guards against a run that counts as lapsed while its lease lasts. Its order carries a lease end
/// on the clock of the upstream's former process, so a new process under the same id gives it the
/// longest lease that there is. Then the network to it is cut.
bool LeaseOfARestartedUpstreamLasts()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerStart(fixture, run, OrderStatus::Done);
  AnswerPoll(fixture, { { run, 0 } });
  for (std::uint32_t n = 0; n < fixture.mState.mOptions.mMaxLostPolls; ++n) {
    RefusePoll(fixture);
  }
  const auto longest = fixture.mState.mOptions.mMaxLease.count();
  bool ok = true;
  while (fixture.mClockMs < longest) {
    AdvanceBy(fixture, milliseconds(10));
    ok = ok && All<Ended>(fixture).empty();
  }
  AdvanceBy(fixture, milliseconds(200));
  return Expect(ok, "the run does not end before its lease") &&
         Expect(All<Ended>(fixture).size() == 1, "the run ends after its lease");
}

/// Guards against a run that counts as lapsed while its lease lasts. A poll that was sent to the
/// upstream's former process is executed late by the new one, under the same token. Its lease end
/// is on the former clock, so the new process extends its lease to the longest one. Then the
/// network to it is cut.
bool PollBeforeARestartExtendsNoLease()
{
  auto fixture = MakeFixture();
  const Run early{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, early, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, early, OrderStatus::Done);
  AdvanceBy(fixture, milliseconds(1));
  const auto polls = All<SendPoll>(fixture);
  if (!Expect(polls.size() == 1 && polls[0].mLeaseEndMs, "a poll renews the lease")) {
    return false;
  }
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  AnswerPoll(fixture); // The process has accepted the raised token.
  const Run run{ { "j", 1 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  if (!Expect(order.has_value(), "the new process takes a run")) {
    return false;
  }
  for (std::uint32_t n = 0; n < fixture.mState.mOptions.mMaxLostPolls; ++n) {
    RefusePoll(fixture);
  }
  Pass(fixture, milliseconds(400));
  auto leaseEndMs = order->mLeaseEndMs;
  if (polls[0].mToken >= order->mToken) {
    const auto longest = fixture.mClockMs + fixture.mState.mOptions.mMaxLease.count();
    leaseEndMs = std::max(leaseEndMs, std::min(*polls[0].mLeaseEndMs, longest));
  }
  bool ok = true;
  while (fixture.mClockMs < leaseEndMs) {
    AdvanceBy(fixture, milliseconds(10));
    ok = ok && (All<Ended>(fixture).empty() || fixture.mClockMs >= leaseEndMs);
  }
  return Expect(ok, "the run does not end before the lease that an earlier poll extends");
}

/// Guards against a task that runs twice at once when its upstream starts again under the same id
/// at another address: a poll to the former address is answered by another process after a start
/// was sent to the new address, and before the start is answered.
bool LateAnswerOfAFormerAddressEndsNoRun()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  const auto session = SessionOf(fixture);
  const auto pollSentAt = fixture.mNow.mTime;
  Pass(fixture, milliseconds(5));
  ChangeAddress(fixture.mState, kUpstream, fixture.mNow);
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  Pass(fixture, milliseconds(1));
  PollAnswered late{
    kUpstream, session, OrderStatus::OtherIncarnation, {}, {}, pollSentAt, {}, {}
  };
  Handle(fixture.mState, late, fixture.mNow, fixture.mActions);
  return Expect(All<Ended>(fixture).empty(), "the run does not end before its start is answered");
}

/// Guards against a run that outlives the time after which its job may start elsewhere: its entry
/// did not run for 5 s, and the first order after that carries a lease end that assumes an exact
/// clock of the upstream, which is 2% slow.
bool LeaseAfterAPauseAllowsForASlowClock()
{
  auto fixture = MakeFixture();
  const auto readMs = fixture.mClockMs;
  constexpr milliseconds kPause{ 5000 };
  Pass(fixture, kPause);
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  const auto slowClockMs = readMs + kPause.count() * 98 / 100;
  constexpr std::int64_t kRoundingMs = 2;
  return Expect(order && order->mLeaseEndMs <=
                           slowClockMs + fixture.mState.mOptions.mLease.count() + kRoundingMs,
                "the lease is not longer on a slow clock");
}

/// Guards against runs that stay open, or are reported as lost, although every copy of their start
/// was refused.
bool RunEndsOnceAllCopiesAreRefused()
{
  bool ok = true;
  for (const auto refusal :
       { OrderStatus::Fenced, OrderStatus::Superseded, OrderStatus::Late, OrderStatus::NoRoom }) {
    auto fixture = MakeFixture();
    const auto run = StartTwice(fixture);
    AnswerStart(fixture, run, refusal);
    ok &= Expect(All<Ended>(fixture).empty(), "the other copy may still be carried out");
    AnswerStart(fixture, run, refusal);
    const auto ends = All<Ended>(fixture);
    ok &= Expect(ends.size() == 1 && ends[0].mOutcome.mVerdict == Verdict::NotRun,
                 "the run ends as not run once both copies are refused");
  }
  return ok;
}

/// Guards against a run that outlives the time after which its job may start elsewhere: its job is
/// given up, the order to stop it is lost, and polls go on renewing its lease.
bool LeaseIsNotRenewedWhileAStopIsUnconfirmed()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  const auto leaseEnd = fixture.mState.mSessions.at(kUpstream).mLeaseEndMs;
  bool ok = true;
  for (int n = 0; n < 10; ++n) {
    AdvanceBy(fixture, milliseconds(50));
    for (const auto& poll : All<SendPoll>(fixture)) {
      ok &= Expect(poll.mLeaseEndMs.value_or(0) <= leaseEnd, "no poll renews the lease");
    }
    AnswerPoll(fixture, { { run, 0.1 } });
  }
  const Run other{ { "j", 1 }, 1 };
  const auto order =
    Start(fixture.mState, kUpstream, other, nullptr, fixture.mNow, fixture.mActions);
  ok &= Expect(order && order->mLeaseEndMs <= leaseEnd, "no start renews the lease");
  ConfirmStop(fixture, run, fixture.mClockMs);
  AdvanceBy(fixture, milliseconds(50));
  const auto polls = All<SendPoll>(fixture);
  return Expect(polls.size() == 1 && polls[0].mLeaseEndMs.value_or(0) > leaseEnd,
                "the lease is renewed once the stop is confirmed") &&
         ok;
}

/// Guards against leases that never end: the answer to a start comes from the upstream's former
/// process, whose clock is far ahead of that of the present one.
bool ClockOfAFormerProcessIsIgnored()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  const auto formerClockMs = fixture.mClockMs;
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  AnswerPoll(fixture); // The process has accepted the raised token.
  Handle(fixture.mState,
         StartAnswered{ kUpstream,
                        SessionOf(fixture),
                        run,
                        OrderStatus::Done,
                        formerClockMs,
                        fixture.mNow.mTime - milliseconds(50) },
         fixture.mNow,
         fixture.mActions);
  const Run other{ { "j", 1 }, 1 };
  const auto order =
    Start(fixture.mState, kUpstream, other, nullptr, fixture.mNow, fixture.mActions);
  return Expect(order && order->mLeaseEndMs < fixture.mClockMs + 1000,
                "the lease ends within a second of the present process's clock");
}

/// Guards against a run that is reported as not run although it may have run: its start was not
/// answered, and the upstream's process, which may have executed it, has restarted since.
bool RunOfAFormerProcessMayHaveRun()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  bool ok = Expect(All<SendStop>(fixture).size() == 1, "a late copy of the start is prevented");
  ConfirmStop(fixture, run, fixture.mClockMs);
  Pass(fixture, milliseconds(1));
  AnswerPoll(fixture);
  const auto ends = All<Ended>(fixture);
  return Expect(ends.size() == 1 && ends[0].mOutcome.mVerdict == Verdict::MayHaveRun,
                "the run may have run in the former process") &&
         ok;
}

/// Guards against a run that ends, or goes on, because of a stop that the upstream's former process
/// confirmed: a late copy of its start may still be executed, or has been, by the present one.
bool StopOfAFormerProcessProvesNothing(bool aListed)
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  ConfirmStop(fixture, run, fixture.mClockMs);
  Pass(fixture, milliseconds(1));
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture, aListed ? std::vector<ListedRun>{ { run, 0.1 } } : std::vector<ListedRun>{});
  return Expect(All<Ended>(fixture).empty() && All<SendStop>(fixture).size() == 1,
                "the present process is told to stop the run before it counts as ended");
}

/// Guards against a run that ends because of a stop that the upstream's former process confirmed,
/// whose answer arrives after the first one of the present process: a late copy of the run's start
/// may still be executed by the present one.
bool LateStopAnswerOfAFormerProcessProvesNothing()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  const auto formerClockMs = fixture.mClockMs;
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  ConfirmStop(fixture, run, formerClockMs);
  Pass(fixture, milliseconds(1));
  AnswerPoll(fixture);
  const bool ok = Expect(All<Ended>(fixture).empty(), "the run may still begin");
  ConfirmStop(fixture, run, fixture.mClockMs);
  Pass(fixture, milliseconds(1));
  AnswerPoll(fixture);
  return Expect(All<Ended>(fixture).size() == 1,
                "the run ends once the present process confirms") &&
         ok;
}

/// Guards against a run that is taken for lost while it goes on: its upstream has restarted at
/// another address, and an order to the former address is answered late by another process there.
bool LateAnswerOfAFormerAddressEndsNoHold()
{
  auto fixture = MakeFixture();
  const Run early{ { "j", 0 }, 1 };
  const Run run{ { "j", 1 }, 1 };
  Start(fixture.mState, kUpstream, early, nullptr, fixture.mNow, fixture.mActions);
  const auto session = SessionOf(fixture);
  const auto earlySentAt = fixture.mNow.mTime;
  Pass(fixture, milliseconds(5));
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  AnswerPoll(fixture); // The process has accepted the raised token.
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  Pass(fixture, milliseconds(1));
  StartAnswered late{ kUpstream, session, early, OrderStatus::OtherIncarnation, {}, earlySentAt };
  Handle(fixture.mState, late, fixture.mNow, fixture.mActions);
  const auto ends = All<Ended>(fixture);
  bool ok = Expect(ends.size() == 1 && ends[0].mTask == early.mTask, "the other run goes on");
  Pass(fixture, milliseconds(1));
  StopAnswered lateStop{ kUpstream, session, run, OrderStatus::OtherIncarnation, {}, earlySentAt };
  Handle(fixture.mState, lateStop, fixture.mNow, fixture.mActions);
  PollAnswered latePoll{ kUpstream, session, OrderStatus::OtherIncarnation, {}, {}, earlySentAt,
                         {},        {} };
  Handle(fixture.mState, latePoll, fixture.mNow, fixture.mActions);
  ok &= Expect(All<Ended>(fixture).empty(), "late answers to a stop or a poll end nothing either");
  latePoll.mSentAt = fixture.mNow.mTime;
  Handle(fixture.mState, latePoll, fixture.mNow, fixture.mActions);
  return Expect(All<Ended>(fixture).size() == 1, "the answer to a later poll ends the hold") && ok;
}

/// Guards against an order that is executed after its run has lapsed and its task has started
/// elsewhere: every order that is sent once the upstream is silent has a higher token.
bool OrdersBeforeALapseAreFenced()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Unknown);
  std::vector<Ended> ends;
  std::uint64_t token = 0;
  for (int n = 0; n < 20; ++n) {
    AdvanceBy(fixture, milliseconds(100));
    const auto ended = All<Ended>(fixture);
    ends.insert(ends.end(), ended.begin(), ended.end());
    for (const auto& poll : All<SendPoll>(fixture)) {
      token = ends.empty() ? 0 : poll.mToken;
      Handle(fixture.mState,
             PollAnswered{ .mUpstream = kUpstream,
                           .mSession = poll.mSession,
                           .mStatus = OrderStatus::Unknown,
                           .mSentAt = fixture.mNow.mTime },
             fixture.mNow,
             fixture.mActions);
    }
  }
  return Expect(ends.size() == 1 && ends[0].mEvidence == EndEvidence::Lapsed, "the run lapses") &&
         Expect(order && token > order->mToken, "polls after the lapse fence the order");
}

/// Guards against runs that outlive a dead entry for longer than the lease, so that their job runs
/// elsewhere beside them. Pattern: the upstream reads its clock as it answers a poll, long after
/// the poll was sent.
bool LeaseDoesNotCountTheWaitOfAPoll()
{
  auto fixture = MakeFixture();
  AdvanceBy(fixture, seconds(1));
  const auto sentAt = fixture.mNow.mTime;
  Pass(fixture, milliseconds(120));
  Handle(fixture.mState,
         PollAnswered{ kUpstream,
                       SessionOf(fixture),
                       OrderStatus::Done,
                       fixture.mClockMs,
                       fixture.mBornMs,
                       sentAt,
                       {},
                       {} },
         fixture.mNow,
         fixture.mActions);
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  const auto longest = fixture.mClockMs + fixture.mState.mOptions.mLease.count();
  return Expect(order && order->mLeaseEndMs <= longest, "the lease is no longer than mLease");
}

/// Guards against a lease that lasts longer than others assume, because the upstream's clock runs
/// slow and was read a while ago.
bool LeaseAllowsForASlowClock()
{
  auto fixture = MakeFixture();
  Pass(fixture, seconds(1));
  const auto slow = static_cast<std::int64_t>(1000 * fixture.mState.mOptions.mMaxClockDrift);
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  const auto longest = fixture.mClockMs - slow + fixture.mState.mOptions.mLease.count();
  return Expect(order && order->mLeaseEndMs <= longest,
                "the lease is no longer than mLease on a slow clock");
}

/// Guards against a run that is taken for lost while it goes on: another process answers an order
/// to the former address of its upstream before the upstream has answered the first order to the
/// present one.
bool AnswerOfAFormerAddressBeforeTheFirstOfThePresentOne()
{
  auto fixture = MakeFixture();
  const Run early{ { "j", 0 }, 1 };
  const Run run{ { "j", 1 }, 1 };
  Start(fixture.mState, kUpstream, early, nullptr, fixture.mNow, fixture.mActions);
  const auto earlySentAt = fixture.mNow.mTime;
  Pass(fixture, milliseconds(5));
  ChangeAddress(fixture.mState, kUpstream, fixture.mNow);
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  Pass(fixture, milliseconds(1));
  StartAnswered late{ kUpstream, SessionOf(fixture), early, OrderStatus::OtherIncarnation,
                      {},        earlySentAt };
  Handle(fixture.mState, late, fixture.mNow, fixture.mActions);
  const auto ended = All<Ended>(fixture);
  return Expect(Holds(fixture.mState, kUpstream), "the hold is kept") &&
         Expect(std::none_of(ended.begin(),
                             ended.end(),
                             [&run](const Ended& aEnded) { return aEnded.mTask == run.mTask; }),
                "the run at the present address goes on");
}

/// Guards against a run that is over and begins again in a process that has restarted under the
/// same id: a late copy of its start carries the token of before, and the process knows nothing of
/// the run. Also against a hold that is given up because such a copy is fenced.
bool OrdersBeforeARestartAreFenced()
{
  auto fixture = MakeFixture();
  const auto formerToken = TokenOf(fixture.mState, kUpstream);
  const auto run = StartTwice(fixture);
  const auto sentAt = fixture.mNow.mTime;
  AnswerStart(fixture, run, OrderStatus::Done);
  Pass(fixture, milliseconds(1));
  PollAnswered ended{ kUpstream,
                      SessionOf(fixture),
                      OrderStatus::Done,
                      fixture.mClockMs,
                      fixture.mBornMs,
                      fixture.mNow.mTime,
                      {},
                      { { 1, run, {} } } };
  Handle(fixture.mState, ended, fixture.mNow, fixture.mActions);
  bool ok = Expect(All<Ended>(fixture).size() == 1, "the run has ended");
  Pass(fixture, milliseconds(1));
  fixture.mClockMs = 100;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  AdvanceBy(fixture, milliseconds(1));
  const auto polls = All<SendPoll>(fixture);
  ok &= Expect(polls.size() == 1 && polls[0].mToken > formerToken,
               "a poll with a higher token is sent at once");
  Handle(fixture.mState,
         StartAnswered{
           kUpstream, SessionOf(fixture), run, OrderStatus::Fenced, fixture.mClockMs, sentAt },
         fixture.mNow,
         fixture.mActions);
  return Expect(Holds(fixture.mState, kUpstream), "the hold is kept") && ok;
}

/// Guards against runs that outlive the time after which their caller comes back: the longest lease
/// that an upstream may have after its restart is assumed for its earlier orders, and must not be
/// given by the next ones.
bool OrdersAfterARestartGiveNoLongerLease()
{
  auto fixture = MakeFixture();
  const Run former{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, former, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, former, OrderStatus::Done);
  AnswerPoll(fixture, { { former, 0 } });
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  AnswerPoll(fixture); // The process has accepted the raised token.
  const Run next{ { "k", 0 }, 1 };
  const auto order =
    Start(fixture.mState, kUpstream, next, nullptr, fixture.mNow, fixture.mActions);
  const auto longest = fixture.mClockMs + fixture.mState.mOptions.mLease.count();
  return Expect(order && order->mLeaseEndMs <= longest, "the lease is no longer than mLease");
}

/// Guards against a lease that is renewed for a run that should have ended: its stop was lost with
/// the former process, and a late copy of its start has begun it in the new one.
bool UnconfirmedStopRenewsNoLeaseAfterARestart()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Done);
  AnswerPoll(fixture, { { run, 0 } });
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerPoll(fixture, { { run, 0 } });
  const auto stoppedAt = fixture.mClockMs;
  AdvanceBy(fixture, milliseconds(1));
  const auto polls = All<SendPoll>(fixture);
  bool ok = Expect(polls.size() == 1, "a poll is sent");
  const auto leaseEnd = polls.empty() ? 0 : polls[0].mLeaseEndMs.value_or(0);
  const auto longest = stoppedAt + fixture.mState.mOptions.mLease.count();
  return Expect(leaseEnd <= longest, "the poll gives no longer lease than mLease") && ok;
}

/// Guards against runs of another holder that are counted as lapsed while they live: the first poll
/// with a raised token may be the one that takes the upstream from a holder that has claimed the
/// new process meanwhile, and must not extend the lease of its runs.
bool FirstPollWithARaisedTokenRenewsNoLease()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Done);
  AnswerPoll(fixture, { { run, 0 } });
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerPoll(fixture, { { run, 0 } });
  AdvanceBy(fixture, milliseconds(1));
  const auto polls = All<SendPoll>(fixture);
  return Expect(polls.size() == 1 && !polls[0].mLeaseEndMs, "the poll renews no lease");
}

/// Guards against a hold that is given up because an order was fenced that was decided with the
/// former token and sent after the token had been raised, as orders of one batch of events are: the
/// answer has the time of the decision.
bool OrderDecidedBeforeTheTokenWasRaisedShowsNoOtherHolder()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  AnswerPoll(fixture);
  Pass(fixture, milliseconds(3));
  Handle(fixture.mState,
         StartAnswered{ kUpstream,
                        SessionOf(fixture),
                        run,
                        OrderStatus::Fenced,
                        fixture.mClockMs,
                        order ? order->mSentAt : Time{} },
         fixture.mNow,
         fixture.mActions);
  return Expect(order && order->mToken < TokenOf(fixture.mState, kUpstream),
                "the token has risen") &&
         Expect(Holds(fixture.mState, kUpstream), "the hold is kept");
}

/// Guards against a run that is counted as lapsed while it lives: a late poll with a lease end on
/// the former clock has given the new process the longest lease while nothing ran, and a lease
/// never shortens.
bool LeaseOfAnIdleRestartedUpstreamLasts()
{
  auto fixture = MakeFixture();
  fixture.mClockMs = 10;
  fixture.mBornMs = 8;
  const auto longest = fixture.mClockMs + fixture.mState.mOptions.mMaxLease.count();
  AnswerPoll(fixture);
  AnswerPoll(fixture); // The process has accepted the raised token.
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  for (std::uint32_t n = 0; n < fixture.mState.mOptions.mMaxLostPolls; ++n) {
    RefusePoll(fixture);
  }
  bool ok = true;
  while (fixture.mClockMs < longest) {
    AdvanceBy(fixture, milliseconds(10));
    if (ok && !All<Ended>(fixture).empty()) {
      ok = false;
    }
  }
  return Expect(ok, "the run does not end before its lease");
}

/// Guards against an entry that takes an upstream back although it has lost it: a poll that was
/// pending when the hold was lost is answered by a process that has restarted since, and the stops
/// that follow must not carry a token above that of the present holder.
bool LostHoldRaisesNoToken()
{
  auto fixture = MakeFixture();
  const auto run = StartTwice(fixture);
  AnswerStart(fixture, run, OrderStatus::Done);
  AnswerPoll(fixture, { { run, 0 } });
  AdvanceBy(fixture, milliseconds(1));
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  const auto token = TokenOf(fixture.mState, kUpstream);
  const auto pollSentAt = fixture.mNow.mTime;
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState,
         StopAnswered{ kUpstream,
                       SessionOf(fixture),
                       run,
                       OrderStatus::Fenced,
                       fixture.mClockMs,
                       fixture.mNow.mTime },
         fixture.mNow,
         fixture.mActions);
  bool ok = Expect(!Holds(fixture.mState, kUpstream), "the hold is lost");
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState,
         PollAnswered{ kUpstream, SessionOf(fixture), OrderStatus::Done, 10, 8, pollSentAt, {} },
         fixture.mNow,
         fixture.mActions);
  for (const auto& stop : All<SendStop>(fixture)) {
    ok = Expect(stop.mToken <= token, "a lost hold sends no stop with a higher token") && ok;
  }
  return Expect(TokenOf(fixture.mState, kUpstream) == token, "the token stays") && ok;
}

/// Makes an answer to a poll that was sent at aSentAt.
PollAnswered AnswerTo(const Fixture& aFixture, OrderStatus aStatus, Time aSentAt)
{
  PollAnswered answer;
  answer.mUpstream = kUpstream;
  answer.mSession = SessionOf(aFixture);
  answer.mStatus = aStatus;
  answer.mSentAt = aSentAt;
  if (aStatus == OrderStatus::Done) {
    answer.mClockMs = aFixture.mClockMs;
    answer.mBornMs = aFixture.mBornMs;
  }
  return answer;
}

/// Guards against capacity that stands idle until a poll has timed out whose answer is lost, and
/// against an answer that is overtaken by a later one: its lists are out of date.
bool UnansweredPollsAreRepeated(OrderStatus aFirstAnswer)
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  AdvanceBy(fixture, milliseconds(25));
  const auto firstSentAt = fixture.mNow.mTime;
  bool ok = Expect(All<SendPoll>(fixture).size() == 1, "a poll is sent");
  AdvanceBy(fixture, milliseconds(150));
  ok &= Expect(All<SendPoll>(fixture).empty(), "its answer may still come");
  AdvanceBy(fixture, milliseconds(25));
  const auto polls = All<SendPoll>(fixture);
  ok &= Expect(polls.size() == 1 && polls[0].mWait.count() == 0 && polls[0].mLeaseEndMs,
               "another poll asks for an answer at once");
  auto second = AnswerTo(fixture, OrderStatus::Done, fixture.mNow.mTime);
  second.mEnds = { { 1, run, RunEnd::Done } };
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState, second, fixture.mNow, fixture.mActions);
  const auto ends = All<Ended>(fixture);
  ok &= Expect(ends.size() == 1 && ends[0].mOutcome.mVerdict == Verdict::Ran,
               "the run's end is known before the first poll times out");
  auto first = AnswerTo(fixture, aFirstAnswer, firstSentAt);
  first.mRunning = { { run, 0.9 } };
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState, first, fixture.mNow, fixture.mActions);
  return Expect(fixture.mActions.empty(), "the answer to the first poll changes nothing") && ok;
}

/// Guards against polls without a bound to an upstream that does not answer, and against a lease
/// that they renew while a stop is unconfirmed.
bool RepeatedPollsAreBounded()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  Stop(fixture.mState, kUpstream, run.mTask, fixture.mNow, fixture.mActions);
  const auto leaseEnd = fixture.mState.mSessions.at(kUpstream).mLeaseEndMs;
  std::size_t sent = 0;
  bool ok = true;
  for (int n = 0; n < 40; ++n) {
    AdvanceBy(fixture, milliseconds(25));
    for (const auto& poll : All<SendPoll>(fixture)) {
      ++sent;
      ok &= Expect(poll.mLeaseEndMs.value_or(0) <= leaseEnd, "no poll renews the lease");
    }
  }
  return Expect(sent > 1 && sent <= fixture.mState.mOptions.mMaxLostPolls,
                std::to_string(sent) + " polls are pending at once") &&
         ok;
}

/// An upstream whose process has restarted under its id since its latest answer.
Fixture MakeRestartedFixture()
{
  auto fixture = MakeFixture();
  Pass(fixture, milliseconds(500));
  fixture.mClockMs = 200;
  fixture.mBornMs = 8;
  return fixture;
}

/// Cuts the network to the upstream, so that connections are refused.
void CutOff(Fixture& aFixture)
{
  for (std::uint32_t n = 0; n < aFixture.mState.mOptions.mMaxLostPolls; ++n) {
    RefusePoll(aFixture);
  }
}

/// The runs that have ended after each time, until aEnd.
std::map<Run, Time> EndsUntil(Fixture& aFixture, Time aEnd)
{
  std::map<Run, Time> ends;
  while (aFixture.mNow.mTime < aEnd) {
    AdvanceBy(aFixture, milliseconds(10));
    for (const auto& ended : All<Ended>(aFixture)) {
      ends.emplace(Run{ ended.mTask, ended.mNumber }, aFixture.mNow.mTime);
    }
  }
  return ends;
}

/// Latest time at which a lease of the longest kind ends that is given at aTime, on a slow clock.
Time EndOfLongestLease(const Fixture& aFixture, Time aTime)
{
  const auto& options = aFixture.mState.mOptions;
  return aTime + options.mMaxLease * 100 / 98;
}

/// Whether the run ends soon after its lease, and not before.
bool EndsWithItsLease(Fixture& aFixture, const Run& aRun, Time aLeaseEnd)
{
  constexpr milliseconds kDetection{ 300 };
  const auto ends = EndsUntil(aFixture, aLeaseEnd + kDetection);
  return Expect(ends.contains(aRun), "the run ends after its lease") &&
         Expect(ends.at(aRun) >= aLeaseEnd, "the run does not end before its lease");
}

/// Guards against two runs of a task at once: an idle upstream restarts under its id, the new
/// process takes a start before any poll, which gives it the longest lease, and is cut off.
bool LeaseOfAStartAtAnUnknownProcessLasts()
{
  auto fixture = MakeRestartedFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  const auto leaseEnd = EndOfLongestLease(fixture, fixture.mNow.mTime);
  CutOff(fixture);
  return EndsWithItsLease(fixture, run, leaseEnd);
}

/// The same if the answers to the start are lost. The last copy may be the one that is executed,
/// just before its time-out.
bool LeaseOfAnUnansweredStartLasts()
{
  auto fixture = MakeRestartedFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  const auto lastCopyAt = fixture.mNow.mTime + milliseconds(50);
  AdvanceBy(fixture, milliseconds(50));
  const auto timeout = fixture.mState.mOptions.mAnswerTimeout;
  Pass(fixture, timeout);
  for (int n = 0; n < 2; ++n) {
    const StartAnswered lost{ kUpstream, SessionOf(fixture), run, OrderStatus::Unknown,
                              {},        lastCopyAt };
    Handle(fixture.mState, lost, fixture.mNow, fixture.mActions);
  }
  CutOff(fixture);
  const auto leaseEnd = EndOfLongestLease(fixture, lastCopyAt + timeout);
  return EndsWithItsLease(fixture, run, leaseEnd);
}

/// Guards against jobs that wait longer than needed: when an upstream is cut off, the runs that its
/// known process has listed lapse with their leases, also if another start was not answered.
bool ListedRunsLapseBeforeUnansweredOnes()
{
  auto fixture = MakeFixture();
  const Run listed{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, listed, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, listed, OrderStatus::Done);
  AdvanceBy(fixture, milliseconds(10));
  AnswerPoll(fixture, { { listed, 0.1 } });
  const Run unanswered{ { "j", 1 }, 1 };
  Start(fixture.mState, kUpstream, unanswered, nullptr, fixture.mNow, fixture.mActions);
  const auto sentAt = fixture.mNow.mTime;
  AnswerStart(fixture, unanswered, OrderStatus::Unknown);
  CutOff(fixture);
  const auto& options = fixture.mState.mOptions;
  constexpr milliseconds kDetection{ 100 }; // The polls that CutOff sends, and a tick.
  const auto listedEnd = sentAt + options.mLease * 100 / 98 + options.mLapseMargin + kDetection;
  const auto ends = EndsUntil(fixture, sentAt + seconds(2));
  return Expect(ends.size() == 2, "both runs end") &&
         Expect(ends.at(listed) <= listedEnd, "the listed run ends with its lease") &&
         Expect(ends.at(unanswered) >= EndOfLongestLease(fixture, sentAt),
                "the unanswered run does not end before the longest lease");
}

/// Guards against a run that counts as lapsed while its lease lasts: its order was sent before the
/// restart of the upstream was noticed, and is executed after the new process has answered a poll.
bool OrderSentBeforeARestartWasNoticedGivesTheLongestLease()
{
  auto fixture = MakeRestartedFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  const auto sentAt = fixture.mNow.mTime;
  AnswerPoll(fixture);
  Pass(fixture, milliseconds(130));
  const auto executedAt = fixture.mNow.mTime;
  const StartAnswered answer{ kUpstream,         SessionOf(fixture), run,
                              OrderStatus::Done, fixture.mClockMs,   sentAt };
  Handle(fixture.mState, answer, fixture.mNow, fixture.mActions);
  CutOff(fixture);
  return EndsWithItsLease(fixture, run, EndOfLongestLease(fixture, executedAt));
}

/// Whether the upstream takes no task, and is asked for its process at once, without a wait, a
/// renewal or acknowledged ends; and whether it takes tasks again once it has answered.
bool IsAskedForItsProcess(Fixture& aFixture)
{
  const Run run{ { "asked", 0 }, 1 };
  auto order = Start(aFixture.mState, kUpstream, run, nullptr, aFixture.mNow, aFixture.mActions);
  bool ok = Expect(!order, "an upstream whose process is not known takes no task");
  AdvanceBy(aFixture, milliseconds(1));
  const auto polls = All<SendPoll>(aFixture);
  ok &= Expect(polls.size() == 1 && !polls[0].mLeaseEndMs && polls[0].mWait.count() == 0 &&
                 polls[0].mAcknowledgedEnd == 0,
               "one poll asks for the process at once");
  AnswerPoll(aFixture);
  AnswerPoll(aFixture); // A new process has accepted the raised token.
  order = Start(aFixture.mState, kUpstream, run, nullptr, aFixture.mNow, aFixture.mActions);
  return Expect(order.has_value(), "the process that has answered takes tasks") && ok;
}

/// Guards against starts with lease ends on the clock of a former process, after an answer to a
/// start has shown that there is another one.
bool AnswerWithAnotherClockStopsStarts()
{
  auto fixture = MakeRestartedFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Superseded);
  return IsAskedForItsProcess(fixture);
}

/// The same after the platform has listed another process, and not after it has listed the known
/// one.
bool ListedProcessStopsStarts()
{
  auto fixture = MakeFixture();
  ProcessListed(fixture.mState, kUpstream, 7, fixture.mNow, fixture.mActions);
  const Run run{ { "j", 0 }, 1 };
  const auto order = Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  bool ok = Expect(order.has_value(), "the known process takes tasks");
  AnswerStart(fixture, run, OrderStatus::Superseded);
  fixture.mClockMs = 200;
  fixture.mBornMs = 8;
  ProcessListed(fixture.mState, kUpstream, 8, fixture.mNow, fixture.mActions);
  return IsAskedForItsProcess(fixture) && ok;
}

/// Guards against a run that does not end for as long as its upstream's former process was up: the
/// hold is lost by the answer of a new process, whose clock has only begun.
bool LostHoldOfARestartedUpstreamEnds()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  AnswerPoll(fixture, { { run, 0.1 } });
  AdvanceBy(fixture, milliseconds(1));
  auto answer = AnswerTo(fixture, OrderStatus::Fenced, fixture.mNow.mTime);
  answer.mClockMs = 10;
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState, answer, fixture.mNow, fixture.mActions);
  const bool ok = Expect(!Holds(fixture.mState, kUpstream), "the hold is lost");
  const auto ends = EndsUntil(fixture, fixture.mNow.mTime + seconds(2));
  return Expect(ends.contains(run), "the run ends with its lease") && ok;
}

/// Guards against a task that is run again although it is done: an upstream restarts under its id,
/// the new process ends a run under a number that was acknowledged to the former one, and the poll
/// that would return the end makes the process delete it.
bool EndsAreAcknowledgedOnce()
{
  auto fixture = MakeFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  AdvanceBy(fixture, milliseconds(1));
  auto answer = AnswerTo(fixture, OrderStatus::Done, fixture.mNow.mTime);
  answer.mEnds.push_back({ 1, run, RunEnd::Done });
  Pass(fixture, milliseconds(1));
  Handle(fixture.mState, answer, fixture.mNow, fixture.mActions);
  const auto acknowledged = [&fixture] {
    AdvanceBy(fixture, fixture.mState.mOptions.mIdlePollInterval);
    const auto polls = All<SendPoll>(fixture);
    return polls.size() == 1 ? std::optional(polls[0].mAcknowledgedEnd) : std::nullopt;
  };
  bool ok = Expect(acknowledged() == 1, "the end is acknowledged");
  Handle(fixture.mState,
         AnswerTo(fixture, OrderStatus::Unknown, fixture.mNow.mTime),
         fixture.mNow,
         fixture.mActions);
  ok &= Expect(acknowledged() == 1, "it is acknowledged again after an unanswered poll");
  AnswerPoll(fixture);
  return Expect(acknowledged() == 0, "it is not acknowledged after an answered poll") && ok;
}

/// Guards against a sound task that counts as the cause of a crash: its upstream's process had
/// ended before the next one took it.
bool RunOfTheNextProcessIsNoCauseOfACrash(bool aCutOff)
{
  auto fixture = MakeRestartedFixture();
  const Run run{ { "j", 0 }, 1 };
  Start(fixture.mState, kUpstream, run, nullptr, fixture.mNow, fixture.mActions);
  AnswerStart(fixture, run, OrderStatus::Done);
  std::vector<Crashed> crashes;
  const auto collect = [&] {
    const auto reported = All<Crashed>(fixture);
    crashes.insert(crashes.end(), reported.begin(), reported.end());
  };
  if (aCutOff) {
    CutOff(fixture);
    for (int n = 0; n < 150; ++n) { // The run lapses meanwhile.
      AdvanceBy(fixture, milliseconds(10));
      collect();
    }
  }
  AnswerPoll(fixture, aCutOff ? std::vector<ListedRun>{} : std::vector<ListedRun>{ { run, 0.1 } });
  collect();
  return Expect(!crashes.empty(), "the end of the process is reported") &&
         Expect(std::all_of(crashes.begin(),
                            crashes.end(),
                            [](const Crashed& aCrashed) { return aCrashed.mRuns.empty(); }),
                "the run is not reported as at work when the process ended");
}

} // namespace

int main()
{
  bool ok = RefusedCopyDoesNotEndARunningTask();
  ok = RunEndsOnceAllCopiesAreRefused() && ok;
  ok = LeaseIsNotRenewedWhileAStopIsUnconfirmed() && ok;
  ok = ClockOfAFormerProcessIsIgnored() && ok;
  ok = RunOfAFormerProcessMayHaveRun() && ok;
  ok = StopOfAFormerProcessProvesNothing(false) && ok;
  ok = StopOfAFormerProcessProvesNothing(true) && ok;
  ok = LateStopAnswerOfAFormerProcessProvesNothing() && ok;
  ok = LateAnswerOfAFormerAddressEndsNoHold() && ok;
  ok = OrdersBeforeALapseAreFenced() && ok;
  ok = LeaseOfARestartedUpstreamLasts() && ok;
  ok = PollBeforeARestartExtendsNoLease() && ok;
  ok = LeaseAfterAPauseAllowsForASlowClock() && ok;
  ok = LateAnswerOfAFormerAddressEndsNoRun() && ok;
  ok = LeaseDoesNotCountTheWaitOfAPoll() && ok;
  ok = LeaseAllowsForASlowClock() && ok;
  ok = OrdersBeforeARestartAreFenced() && ok;
  ok = AnswerOfAFormerAddressBeforeTheFirstOfThePresentOne() && ok;
  ok = OrdersAfterARestartGiveNoLongerLease() && ok;
  ok = UnconfirmedStopRenewsNoLeaseAfterARestart() && ok;
  ok = FirstPollWithARaisedTokenRenewsNoLease() && ok;
  ok = OrderDecidedBeforeTheTokenWasRaisedShowsNoOtherHolder() && ok;
  ok = LeaseOfAnIdleRestartedUpstreamLasts() && ok;
  ok = LostHoldRaisesNoToken() && ok;
  ok = UnansweredPollsAreRepeated(OrderStatus::Unknown) && ok;
  ok = UnansweredPollsAreRepeated(OrderStatus::Done) && ok;
  ok = RepeatedPollsAreBounded() && ok;
  ok = LeaseOfAStartAtAnUnknownProcessLasts() && ok;
  ok = LeaseOfAnUnansweredStartLasts() && ok;
  ok = ListedRunsLapseBeforeUnansweredOnes() && ok;
  ok = OrderSentBeforeARestartWasNoticedGivesTheLongestLease() && ok;
  ok = AnswerWithAnotherClockStopsStarts() && ok;
  ok = ListedProcessStopsStarts() && ok;
  ok = LostHoldOfARestartedUpstreamEnds() && ok;
  ok = EndsAreAcknowledgedOnce() && ok;
  for (const bool isCutOff : { false, true }) {
    ok = RunOfTheNextProcessIsNoCauseOfACrash(isCutOff) && ok;
  }
  std::cout << (ok ? "passed" : "failed") << "\n";
  return ok ? 0 : 1;
}
