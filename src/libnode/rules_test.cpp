#include <pollenwall/node.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "state.h"

// Focused failure tests of one node whose peers, log and callers are played by the test.

using namespace pollenwall;
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

struct Fixture
{
  node::Options mOptions;
  Incarnation mPeer = MakeIncarnation(kStartMs, 2);
  std::unique_ptr<node::State, void (*)(node::State*)> mState{ nullptr, nullptr };
  std::chrono::milliseconds mTime = 1000ms;
  node::Actions mActions; ///< Of the last event.
};

Now NowOf(const Fixture& aFixture)
{
  return { Time(aFixture.mTime), kStartMs + aFixture.mTime.count() };
}

void Do(Fixture& aFixture, node::Event aEvent)
{
  aFixture.mActions.clear();
  node::Handle(*aFixture.mState, std::move(aEvent), NowOf(aFixture), aFixture.mActions);
}

/// Lets time pass in ticks; keeps all actions.
void Pass(Fixture& aFixture, std::chrono::milliseconds aTime)
{
  node::Actions all;
  for (const auto end = aFixture.mTime + aTime; aFixture.mTime < end;) {
    aFixture.mTime += 20ms;
    Do(aFixture, node::Tick{});
    all.insert(all.end(), aFixture.mActions.begin(), aFixture.mActions.end());
  }
  aFixture.mActions = std::move(all);
}

template<typename T>
std::vector<T> Taken(const Fixture& aFixture)
{
  std::vector<T> found;
  for (const auto& it : aFixture.mActions) {
    if (const auto* action = std::get_if<T>(&it)) {
      found.push_back(*action);
    }
  }
  return found;
}

template<typename T>
std::vector<T> Sent(const Fixture& aFixture)
{
  std::vector<T> found;
  for (const auto& it : Taken<node::SendPeer>(aFixture)) {
    if (const auto* message = std::get_if<T>(&it.mMessage)) {
      found.push_back(*message);
    }
  }
  return found;
}

configuration::Configuration MakeConfiguration()
{
  configuration::Configuration to;
  to.mDataCentres["dc"] = { "dc", "r", 1000us };
  to.mWorkers["w"] = { "w", "dc", "rack", "10.1.0.1", 64 * kMilliCoresPerCore, 1 << 30, 0 };
  to.mUpstreams["s/w"] = { "s", "w", 80, 8, 60 };
  configuration::Service service;
  service.mName = "s";
  to.mServices["s"] = service;
  to.mTeams["t"] = { "t", 1, 1000, 1000 };
  to.mTeams["u"] = { "u", 1, 1000, 1000 };
  return to;
}

std::string ConfigurationRecord()
{
  return configuration::ChangeRecord(configuration::MakeChange({}, MakeConfiguration(), "first"));
}

void Read(Fixture& aFixture, const std::string& aStream, const std::vector<std::string>& aRecords)
{
  node::LogRead read{ aStream, true, Time(aFixture.mTime), 0, aRecords.size(), true, {} };
  for (std::size_t n = 0; n < aRecords.size(); ++n) {
    read.mRecords.push_back({ n, NowOf(aFixture).mUnixMs, aRecords[n] });
  }
  Do(aFixture, read);
}

void Connect(Fixture& aFixture)
{
  Do(aFixture, node::PeerUp{ { aFixture.mPeer, "peer", "dc", "10.0.0.2:7000" } });
}

Fixture MakeFixture()
{
  Fixture fixture;
  fixture.mOptions.mName = "self";
  fixture.mOptions.mDataCentre = "dc";
  fixture.mOptions.mPeerAddress = "10.0.0.1:7000";
  fixture.mOptions.mIncarnation = MakeIncarnation(kStartMs, 1);
  fixture.mState = node::MakeState(fixture.mOptions, NowOf(fixture));
  Do(fixture, node::Tick{});
  return fixture;
}

/// A node that is in a view with its peer, with a lease.
Fixture MakeServing()
{
  auto fixture = MakeFixture();
  Connect(fixture);
  Read(fixture, "configuration", { ConfigurationRecord() });
  ownership::View view{ 0, 1, {}, {}, 0, 0 };
  view.mMembers = { { fixture.mOptions.mIncarnation, "10.0.0.1:7000" },
                    { fixture.mPeer, "10.0.0.2:7000" } };
  view.mWitnesses = view.mMembers;
  Read(fixture, "view.dc", { ownership::ViewRecord(view) });
  return fixture;
}

/// An id of the data centre that the given member owns.
std::string IdOwnedBy(const Fixture& aFixture, Incarnation aOwner)
{
  const auto& view = *ownership::CurrentView(aFixture.mState->mViews);
  for (int n = 0;; ++n) {
    auto id = "dc:k" + std::to_string(n);
    if (ownership::OwnerOf(view, id) == aOwner) {
      return id;
    }
  }
}

JobSpec MakeJob(const Fixture& aFixture, std::string aId, bool aResubmission)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mService = "s";
  job.mTeam = "t";
  job.mKind = "k";
  job.mDeadline = 5000ms;
  job.mResubmission = aResubmission;
  job.mBornMs = NowOf(aFixture).mUnixMs;
  job.mBodyHash = 7;
  job.mTasks = { { "payload", 100ms, {} } };
  return job;
}

/// Guards against "not run" for a submission that a peer may have started, and against "may have
/// run" where the caller declares that there is one copy and it was never sent on.
bool VerdictsWhenTheOwnerIsLost()
{
  auto it = MakeServing();
  const auto id = IdOwnedBy(it, it.mPeer);
  Do(it, node::CallerSubmit{ 1, true, MakeJob(it, id, false) });
  bool passed = Expect(Sent<message::Submit>(it).size() == 1, "the owner is asked");
  Do(it, node::PeerDown{ it.mPeer });
  auto answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "a message that was sent may have arrived");
  Do(it, node::CallerSubmit{ 2, true, MakeJob(it, id, false) });
  answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(
    answers.size() == 1 && answers[0].mError && answers[0].mError->mVerdict == Verdict::NotRun &&
      answers[0].mError->mCode == ErrorCode::OwnerUnreachable && answers[0].mError->mRetryAfter,
    "the only copy was not sent on");
  Do(it, node::CallerSubmit{ 3, true, MakeJob(it, id, true) });
  answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "another copy may have reached the owner");
  return passed;
}

/// Guards against a caller that gets two answers, or that of another request.
bool RepliesAreMatchedOnce()
{
  auto it = MakeServing();
  const auto id = IdOwnedBy(it, it.mPeer);
  Do(it, node::CallerSubmit{ 1, true, MakeJob(it, id, true) });
  const auto number = Sent<message::Submit>(it).at(0).mNumber;
  JobAnswer answer;
  answer.mId = id;
  answer.mState = JobState::Failed;
  const message::Reply reply{ number, answer, std::nullopt };
  Do(it, node::PeerMessage{ it.mPeer, message::Reply{ number + 1, answer, std::nullopt } });
  bool passed = Expect(Taken<node::AnswerCaller>(it).empty(), "an unknown number is dropped");
  Do(it, node::PeerMessage{ MakeIncarnation(kStartMs, 3), reply });
  passed &= Expect(Taken<node::AnswerCaller>(it).empty(), "another peer's reply is dropped");
  Do(it, node::PeerMessage{ it.mPeer, reply });
  passed &= Expect(Taken<node::AnswerCaller>(it).size() == 1, "the reply answers the caller");
  Do(it, node::PeerMessage{ it.mPeer, reply });
  passed &= Expect(Taken<node::AnswerCaller>(it).empty(), "a duplicate is dropped");

  Do(it, node::CallerSubmit{ 2, true, MakeJob(it, id, true) });
  answer.mId = "dc:other";
  Do(it,
     node::PeerMessage{
       it.mPeer, message::Reply{ Sent<message::Submit>(it).at(0).mNumber, answer, std::nullopt } });
  const auto answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "an answer about another job is not passed on");
  return passed;
}

/// Guards against an owner that accepts without a lease: after a pause, or cut off from log and
/// witnesses. The peer's vote is missing here, so only reads of the log's end renew the lease.
bool AcceptanceNeedsALease()
{
  auto it = MakeServing();
  const auto id = IdOwnedBy(it, it.mOptions.mIncarnation);
  Do(it, node::CallerSubmit{ 1, true, MakeJob(it, id, true) });
  bool passed = Expect(Taken<dispatch::StartTask>(it).size() == 1, "accepted with a lease");
  it.mTime += 300ms;
  Do(it, node::CallerSubmit{ 2, true, MakeJob(it, id + "b", true) });
  const auto owner = ownership::OwnerOf(*ownership::CurrentView(it.mState->mViews), id + "b");
  passed &= Expect(owner != it.mOptions.mIncarnation || Taken<dispatch::StartTask>(it).empty(),
                   "not accepted after a pause");
  auto other = MakeServing();
  Pass(other, 700ms);
  Do(other, node::CallerSubmit{ 1, true, MakeJob(other, id, true) });
  const auto answers = Taken<node::AnswerCaller>(other);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::OwnerUnsettled &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "not accepted when the lease has ended");
  return passed;
}

/// Guards against a duplicate message, or a second copy, that starts a job again, and against a
/// team that sees another team's job.
bool CopiesJoin()
{
  auto it = MakeServing();
  const auto id = IdOwnedBy(it, it.mOptions.mIncarnation);
  const auto job = MakeJob(it, id, true);
  const node::PeerMessage message{ it.mPeer, message::Submit{ 5, true, job, 1 } };
  Do(it, message);
  const auto starts = Taken<dispatch::StartTask>(it);
  bool passed = Expect(starts.size() == 1, "the submission starts");
  Do(it, message);
  passed &= Expect(it.mActions.empty(), "a duplicate message is dropped");
  Do(it, node::CallerSubmit{ 1, true, job });
  passed &= Expect(Taken<dispatch::StartTask>(it).empty(), "a second copy does not start");
  auto conflicting = job;
  conflicting.mBodyHash = 8;
  Do(it, node::CallerSubmit{ 2, true, conflicting });
  auto answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::IdConflict,
                   "another body is a conflict");
  Do(it, node::CallerStatus{ 3, id, "u", 0ms });
  answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::UnknownJob,
                   "another team does not see the job");
  Do(it, node::CallerStatus{ 4, id, "t", 100ms });
  passed &= Expect(Taken<node::AnswerCaller>(it).empty(), "a status waits");
  Pass(it, 140ms);
  answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mAnswer &&
                     answers[0].mAnswer->mState == JobState::Running,
                   "until its wait is over");
  Do(it,
     node::UpstreamAnswered{ starts[0].mTask,
                             starts[0].mAttempt,
                             starts[0].mUpstream,
                             { Verdict::Ran, std::nullopt, "result", 100ms } });
  passed &=
    Expect(Taken<node::AnswerCaller>(it).size() == 1 && Sent<message::Reply>(it).size() == 1,
           "the peer and the caller that joined each get the answer");
  return passed;
}

/// Guards against a process that never serves because the log is down when it starts.
bool PeersBringTheConfiguration()
{
  configuration::ConfigurationLog log;
  configuration::ApplyRecord(log, 0, kStartMs, ConfigurationRecord());
  auto it = MakeFixture();
  Connect(it);
  for (int n = 0; n < 2; ++n) {
    for (const std::string stream : { "configuration", "view.dc", "journal.dc" }) {
      Do(it, node::LogRead{ stream, false, Time(it.mTime), 0, 0, false, {} });
      Pass(it, 200ms);
    }
  }
  bool passed = Expect(!node::IsReady(*it.mState), "not ready without a configuration");
  Do(it, node::CallerSubmit{ 1, true, MakeJob(it, "", true) });
  const auto answers = Taken<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::NotReady &&
                     answers[0].mError->mVerdict == Verdict::NotRun,
                   "refused as not run");
  message::Heartbeat beat;
  beat.mSequence = 1;
  beat.mState = message::MemberState::Ready;
  beat.mConfigurationVersion = 1;
  Do(it, node::PeerMessage{ it.mPeer, beat });
  Pass(it, 2000ms);
  passed &= Expect(!Sent<message::ConfigFetch>(it).empty(), "the peer is asked");
  Do(it,
     node::PeerMessage{ it.mPeer, message::ConfigItems{ 1, configuration::SnapshotRecord(log) } });
  passed &= Expect(node::IsReady(*it.mState), "ready with the peer's configuration");
  return passed;
}

/// Guards against a journal that exceeds the log's budget, loses entries when an append's answer is
/// lost, or grows without bound while the log is down.
bool JournalIsBatchedAndRepeated()
{
  auto it = MakeServing();
  it.mState->mOptions.mJournalBufferRecords = 10;
  node::Actions starts;
  for (node::RequestId n = 1; n <= 4; ++n) { // As many as slots.
    Do(it, node::CallerSubmit{ n, true, MakeJob(it, "", true) });
    starts.insert(starts.end(), it.mActions.begin(), it.mActions.end());
  }
  for (const auto& action : starts) {
    if (const auto* start = std::get_if<dispatch::StartTask>(&action)) {
      Do(it,
         node::UpstreamAnswered{ start->mTask,
                                 start->mAttempt,
                                 start->mUpstream,
                                 { Verdict::Ran, std::nullopt, "result", 100ms } });
    }
  }
  const auto journalled = [&it] {
    std::vector<node::AppendLog> found;
    for (const auto& append : Taken<node::AppendLog>(it)) {
      if (append.mStream == "journal.dc") {
        found.push_back(append);
      }
    }
    return found;
  };
  Pass(it, 100ms);
  const auto first = journalled();
  bool passed = Expect(first.size() == 1, "one append holds all entries");
  Do(it, node::LogAppended{ "journal.dc", first.at(0).mToken, false });
  Pass(it, 400ms);
  const auto again = journalled();
  passed &= Expect(again.size() == 1 && again[0].mData == first[0].mData,
                   "a batch without an answer is sent again");
  Do(it, node::LogAppended{ "journal.dc", again.at(0).mToken, true });
  Pass(it, 1000ms);
  passed &= Expect(journalled().empty(), "a batch that was appended is not");

  // Another entry answers from it, once the writer is gone. The results are not in the journal.
  auto reader = MakeServing();
  const auto id = "pw-dc-" + ToString(it.mOptions.mIncarnation) + "-1";
  reader.mState->mOptions.mIncarnation = MakeIncarnation(kStartMs, 9);
  Read(reader, "journal.dc", { first[0].mData, again[0].mData });
  passed &= Expect(reader.mState->mRemoteSubmissions.size() == 4, "duplicates are dropped");
  Do(reader, node::CallerStatus{ 1, id, "t", 0ms });
  const auto answers = Taken<node::AnswerCaller>(reader);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::UnknownJob &&
                     answers[0].mError->mVerdict == Verdict::Ran,
                   "the verdict is known from the journal");
  return passed;
}

/// Guards against idle slots at one entry while another one's tasks wait, and against credits that
/// are used by both.
bool CreditsAreLentOnce()
{
  auto it = MakeServing();
  const auto before = dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits;
  Do(it, node::PeerMessage{ it.mPeer, message::Borrow{ 1, "s", 2 } });
  auto grants = Sent<message::Grant>(it);
  bool passed = Expect(grants.size() == 1 && grants[0].mCredits.size() == 1 &&
                         grants[0].mCredits[0].mCount == 2,
                       "idle credits are lent");
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits + 2 == before,
                   "the lender does not use them");
  Do(it, node::PeerMessage{ it.mPeer, message::Borrow{ 1, "s", 2 } });
  passed &= Expect(Sent<message::Grant>(it).empty(), "a duplicate request lends nothing");
  const message::ReturnCredits back{ 1, grants[0].mCredits };
  Do(it, node::PeerMessage{ it.mPeer, back });
  Do(it, node::PeerMessage{ it.mPeer, back });
  passed &=
    Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits == before, "a return counts once");
  Do(it, node::PeerMessage{ it.mPeer, message::Borrow{ 2, "s", 2 } });
  grants = Sent<message::Grant>(it);
  message::Heartbeat beat;
  beat.mState = message::MemberState::Ready;
  for (int n = 0; n < 15; ++n) {
    Pass(it, 200ms);
    beat.mSequence += 1;
    beat.mOccupied = { "s/w" };
    Do(it, node::PeerMessage{ it.mPeer, beat });
  }
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits + 2 == before,
                   "an expired loan with running tasks stays lent");
  beat.mSequence += 1;
  beat.mOccupied.clear();
  Do(it, node::PeerMessage{ it.mPeer, beat });
  Pass(it, 100ms);
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits == before,
                   "a loan whose return was lost comes back");
  return passed;
}

/// Guards against slots that belong to nobody between the end of a loan and the expiry that its
/// lender waits for, and against a credit that counts for the borrower and, by the lender's own
/// rule, again for the lender.
bool EndedLoansReturnWithTheirTasks()
{
  auto it = MakeServing();
  message::Heartbeat beat;
  beat.mState = message::MemberState::Ready;
  beat.mSequence = 1000;
  beat.mIdleCredits = 8;
  Do(it, node::PeerMessage{ it.mPeer, beat });
  Pass(it, 100ms); // Until the peer's state is looked at.
  std::vector<dispatch::StartTask> starts;
  const auto submit = [&](node::RequestId aRequest) {
    Do(it, node::CallerSubmit{ aRequest, true, MakeJob(it, "", true) });
    const auto started = Taken<dispatch::StartTask>(it);
    starts.insert(starts.end(), started.begin(), started.end());
  };
  const auto grant = [&](std::uint64_t aNumber, std::uint32_t aCount) {
    Do(it, node::PeerMessage{ it.mPeer, message::Grant{ aNumber, { { "s/w", aCount } }, 2000ms } });
  };
  for (node::RequestId n = 1; n <= 5; ++n) { // One more than slots.
    submit(n);
  }
  const auto asked = Sent<message::Borrow>(it);
  bool passed = Expect(starts.size() == 4 && asked.size() == 1, "a waiting task asks at once");
  const auto first = asked.at(0).mNumber;
  grant(first, 1);
  passed &= Expect(Taken<dispatch::StartTask>(it).size() == 1, "the borrowed credit is used");
  Do(it, node::PeerMessage{ it.mPeer, message::ReturnCredits{ first, {} } });
  passed &= Expect(Sent<message::ReturnCredits>(it).empty(), "a running task keeps its credit");

  // A second loan covers the task of the ended one: the lender then sees no occupied upstream.
  beat.mSequence += 1;
  Do(it, node::PeerMessage{ it.mPeer, beat });
  submit(6);
  const auto again = Sent<message::Borrow>(it);
  passed &= Expect(again.size() == 1, "the next waiting task asks again");
  grant(again.at(0).mNumber, 2);
  const auto covered = Sent<message::ReturnCredits>(it);
  passed &= Expect(covered.size() == 1 && covered[0].mNumber == first,
                   "a credit that another loan covers goes back at once");

  // The second loan ends; both of its credits stand for running tasks until one ends.
  Do(it, node::PeerMessage{ it.mPeer, message::ReturnCredits{ again[0].mNumber, {} } });
  passed &= Expect(Sent<message::ReturnCredits>(it).empty(), "running tasks keep their credits");
  Do(it,
     node::UpstreamAnswered{ starts[0].mTask,
                             starts[0].mAttempt,
                             starts[0].mUpstream,
                             { Verdict::Ran, std::nullopt, "result", 100ms } });
  const auto back = Sent<message::ReturnCredits>(it);
  passed &= Expect(back.size() == 1 && back[0].mNumber == again[0].mNumber &&
                     back[0].mCredits.at(0).mCount == 1,
                   "a credit goes back as soon as a task ends");
  return passed;
}

} // namespace

int main()
{
  bool passed = VerdictsWhenTheOwnerIsLost();
  passed &= RepliesAreMatchedOnce();
  passed &= AcceptanceNeedsALease();
  passed &= CopiesJoin();
  passed &= PeersBringTheConfiguration();
  passed &= JournalIsBatchedAndRepeated();
  passed &= CreditsAreLentOnce();
  passed &= EndedLoansReturnWithTheirTasks();
  return passed ? 0 : 1;
}
