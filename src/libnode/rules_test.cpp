#include <pollenwall/node.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "state.h"

// Failure tests of a single node; the test simulates its peers, log and callers.

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
  node::Actions mActions; ///< Actions of the last event.
};

Now NowOf(const Fixture& aFixture)
{
  return { Time(aFixture.mTime), kStartMs + aFixture.mTime.count() };
}

void Deliver(Fixture& aFixture, node::Event aEvent)
{
  aFixture.mActions.clear();
  node::Handle(*aFixture.mState, std::move(aEvent), NowOf(aFixture), aFixture.mActions);
}

/// Advances time in ticks and collects all actions.
void AdvanceTime(Fixture& aFixture, std::chrono::milliseconds aTime)
{
  node::Actions all;
  for (const auto end = aFixture.mTime + aTime; aFixture.mTime < end;) {
    aFixture.mTime += 20ms;
    Deliver(aFixture, node::Tick{});
    all.insert(all.end(), aFixture.mActions.begin(), aFixture.mActions.end());
  }
  aFixture.mActions = std::move(all);
}

template<typename T>
std::vector<T> ActionsOf(const Fixture& aFixture)
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
std::vector<T> MessagesSent(const Fixture& aFixture)
{
  std::vector<T> found;
  for (const auto& it : ActionsOf<node::SendPeer>(aFixture)) {
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

void DeliverRead(Fixture& aFixture,
                 const std::string& aStream,
                 const std::vector<std::string>& aRecords)
{
  node::LogRead read{ aStream, true, Time(aFixture.mTime), 0, aRecords.size(), true, {} };
  for (std::size_t n = 0; n < aRecords.size(); ++n) {
    read.mRecords.push_back({ n, NowOf(aFixture).mUnixMs, aRecords[n] });
  }
  Deliver(aFixture, read);
}

void ConnectPeer(Fixture& aFixture)
{
  Deliver(aFixture, node::PeerUp{ { aFixture.mPeer, "peer", "dc", "10.0.0.2:7000" } });
}

Fixture MakeFixture()
{
  Fixture fixture;
  fixture.mOptions.mName = "self";
  fixture.mOptions.mDataCentre = "dc";
  fixture.mOptions.mPeerAddress = "10.0.0.1:7000";
  fixture.mOptions.mIncarnation = MakeIncarnation(kStartMs, 1);
  fixture.mState = node::MakeState(fixture.mOptions, NowOf(fixture));
  Deliver(fixture, node::Tick{});
  return fixture;
}

/// A node that is a member of a view together with its peer, and holds a lease.
Fixture MakeServingFixture()
{
  auto fixture = MakeFixture();
  ConnectPeer(fixture);
  DeliverRead(fixture, "configuration", { ConfigurationRecord() });
  ownership::View view{ 0, 1, {}, {}, 0, 0 };
  view.mMembers = { { fixture.mOptions.mIncarnation, "10.0.0.1:7000" },
                    { fixture.mPeer, "10.0.0.2:7000" } };
  view.mWitnesses = view.mMembers;
  DeliverRead(fixture, "view.dc", { ownership::ViewRecord(view) });
  return fixture;
}

/// An id with this data centre as its home that the given member owns.
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

/// Guards against the verdict "not run" for a submission that a peer may have started, and against
/// "may have run" if the caller declares that there is only one copy and it was never forwarded.
bool VerdictsAreSafeWhenTheOwnerIsLost()
{
  auto it = MakeServingFixture();
  const auto id = IdOwnedBy(it, it.mPeer);
  Deliver(it, node::CallerSubmit{ 1, true, MakeJob(it, id, false) });
  bool passed = Expect(MessagesSent<message::Submit>(it).size() == 1,
                       "the submission is forwarded to the owner");
  Deliver(it, node::PeerDown{ it.mPeer });
  auto answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "a forwarded submission may have run when the link breaks");
  Deliver(it, node::CallerSubmit{ 2, true, MakeJob(it, id, false) });
  answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(
    answers.size() == 1 && answers[0].mError && answers[0].mError->mVerdict == Verdict::NotRun &&
      answers[0].mError->mCode == ErrorCode::OwnerUnreachable && answers[0].mError->mRetryAfter,
    "the only copy was not forwarded, so it has not run");
  Deliver(it, node::CallerSubmit{ 3, true, MakeJob(it, id, true) });
  answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "another copy may have reached the owner");
  return passed;
}

/// Guards against a caller that gets two answers, or the answer to another request.
bool RepliesAreMatchedOnce()
{
  auto it = MakeServingFixture();
  const auto id = IdOwnedBy(it, it.mPeer);
  Deliver(it, node::CallerSubmit{ 1, true, MakeJob(it, id, true) });
  const auto number = MessagesSent<message::Submit>(it).at(0).mNumber;
  JobAnswer answer;
  answer.mId = id;
  answer.mState = JobState::Failed;
  const message::Reply reply{ number, answer, std::nullopt };
  Deliver(it, node::PeerMessage{ it.mPeer, message::Reply{ number + 1, answer, std::nullopt } });
  bool passed =
    Expect(ActionsOf<node::AnswerCaller>(it).empty(), "a reply with an unknown number is dropped");
  Deliver(it, node::PeerMessage{ MakeIncarnation(kStartMs, 3), reply });
  passed &= Expect(ActionsOf<node::AnswerCaller>(it).empty(), "another peer's reply is dropped");
  Deliver(it, node::PeerMessage{ it.mPeer, reply });
  passed &= Expect(ActionsOf<node::AnswerCaller>(it).size() == 1, "the reply answers the caller");
  Deliver(it, node::PeerMessage{ it.mPeer, reply });
  passed &= Expect(ActionsOf<node::AnswerCaller>(it).empty(), "a duplicate reply is dropped");

  Deliver(it, node::CallerSubmit{ 2, true, MakeJob(it, id, true) });
  answer.mId = "dc:other";
  Deliver(
    it,
    node::PeerMessage{
      it.mPeer,
      message::Reply{ MessagesSent<message::Submit>(it).at(0).mNumber, answer, std::nullopt } });
  const auto answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "an answer about another job does not reach the caller");
  return passed;
}

/// Guards against an owner that accepts a submission without a lease: after a pause, or without
/// access to the log and the witnesses. The peer does not vote here, so only reads of the log's end
/// renew the lease.
bool AcceptanceNeedsALease()
{
  auto it = MakeServingFixture();
  const auto id = IdOwnedBy(it, it.mOptions.mIncarnation);
  Deliver(it, node::CallerSubmit{ 1, true, MakeJob(it, id, true) });
  bool passed =
    Expect(ActionsOf<dispatch::StartTask>(it).size() == 1, "a submission is accepted with a lease");
  it.mTime += 300ms;
  Deliver(it, node::CallerSubmit{ 2, true, MakeJob(it, id + "b", true) });
  const auto owner = ownership::OwnerOf(*ownership::CurrentView(it.mState->mViews), id + "b");
  passed &= Expect(owner != it.mOptions.mIncarnation || ActionsOf<dispatch::StartTask>(it).empty(),
                   "a submission is not accepted after a pause");
  auto other = MakeServingFixture();
  AdvanceTime(other, 700ms);
  Deliver(other, node::CallerSubmit{ 1, true, MakeJob(other, id, true) });
  const auto answers = ActionsOf<node::AnswerCaller>(other);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::OwnerUnsettled &&
                     answers[0].mError->mVerdict == Verdict::MayHaveRun,
                   "a submission is not accepted after the lease has ended");
  return passed;
}

/// Guards against a duplicate message or a second copy that starts a job again, and against a team
/// that can see another team's job.
bool CopiesJoinTheRunningJob()
{
  auto it = MakeServingFixture();
  const auto id = IdOwnedBy(it, it.mOptions.mIncarnation);
  const auto job = MakeJob(it, id, true);
  const node::PeerMessage message{ it.mPeer, message::Submit{ 5, true, job, 1 } };
  Deliver(it, message);
  const auto starts = ActionsOf<dispatch::StartTask>(it);
  bool passed = Expect(starts.size() == 1, "the submission starts");
  Deliver(it, message);
  passed &= Expect(it.mActions.empty(), "a duplicate message is dropped");
  Deliver(it, node::CallerSubmit{ 1, true, job });
  passed &= Expect(ActionsOf<dispatch::StartTask>(it).empty(), "a second copy does not start");
  auto conflicting = job;
  conflicting.mBodyHash = 8;
  Deliver(it, node::CallerSubmit{ 2, true, conflicting });
  auto answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::IdConflict,
                   "the same id with another body is a conflict");
  Deliver(it, node::CallerStatus{ 3, id, "u", 0ms });
  answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::UnknownJob,
                   "another team does not see the job");
  Deliver(it, node::CallerStatus{ 4, id, "t", 100ms });
  passed &= Expect(ActionsOf<node::AnswerCaller>(it).empty(),
                   "a waiting status request is not answered at once");
  AdvanceTime(it, 140ms);
  answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mAnswer &&
                     answers[0].mAnswer->mState == JobState::Running,
                   "a waiting status request is answered when its wait ends");
  Deliver(it,
          node::UpstreamAnswered{ starts[0].mTask,
                                  starts[0].mAttempt,
                                  starts[0].mUpstream,
                                  { Verdict::Ran, std::nullopt, "result", 100ms } });
  passed &= Expect(ActionsOf<node::AnswerCaller>(it).size() == 1 &&
                     MessagesSent<message::Reply>(it).size() == 1,
                   "the peer and the caller that joined each get the answer");
  return passed;
}

/// Guards against a process that never serves because the log is down when the process starts.
bool ConfigurationIsFetchedFromAPeer()
{
  configuration::ConfigurationLog log;
  configuration::ApplyRecord(log, 0, kStartMs, ConfigurationRecord());
  auto it = MakeFixture();
  ConnectPeer(it);
  for (int n = 0; n < 2; ++n) {
    for (const std::string stream : { "configuration", "view.dc", "journal.dc" }) {
      Deliver(it, node::LogRead{ stream, false, Time(it.mTime), 0, 0, false, {} });
      AdvanceTime(it, 200ms);
    }
  }
  bool passed = Expect(!node::IsReady(*it.mState), "not ready without a configuration");
  Deliver(it, node::CallerSubmit{ 1, true, MakeJob(it, "", true) });
  const auto answers = ActionsOf<node::AnswerCaller>(it);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::NotReady &&
                     answers[0].mError->mVerdict == Verdict::NotRun,
                   "a submission without a configuration is refused as not run");
  message::Heartbeat beat;
  beat.mSequence = 1;
  beat.mState = message::MemberState::Ready;
  beat.mConfigurationVersion = 1;
  Deliver(it, node::PeerMessage{ it.mPeer, beat });
  AdvanceTime(it, 2000ms);
  passed &= Expect(!MessagesSent<message::ConfigFetch>(it).empty(),
                   "the configuration is requested from the peer");
  Deliver(
    it,
    node::PeerMessage{ it.mPeer, message::ConfigItems{ 1, configuration::SnapshotRecord(log) } });
  passed &= Expect(node::IsReady(*it.mState), "ready with the peer's configuration");
  return passed;
}

/// Guards against a journal that exceeds the log's append rate, loses entries when the answer to an
/// append is lost, or grows without bound while the log is down.
bool JournalIsBatchedAndRetried()
{
  auto it = MakeServingFixture();
  it.mState->mOptions.mJournalBufferRecords = 10;
  node::Actions starts;
  for (node::RequestId n = 1; n <= 4; ++n) { // As many as this entry has slots.
    Deliver(it, node::CallerSubmit{ n, true, MakeJob(it, "", true) });
    starts.insert(starts.end(), it.mActions.begin(), it.mActions.end());
  }
  for (const auto& action : starts) {
    if (const auto* start = std::get_if<dispatch::StartTask>(&action)) {
      Deliver(it,
              node::UpstreamAnswered{ start->mTask,
                                      start->mAttempt,
                                      start->mUpstream,
                                      { Verdict::Ran, std::nullopt, "result", 100ms } });
    }
  }
  const auto journalled = [&it] {
    std::vector<node::AppendLog> found;
    for (const auto& append : ActionsOf<node::AppendLog>(it)) {
      if (append.mStream == "journal.dc") {
        found.push_back(append);
      }
    }
    return found;
  };
  AdvanceTime(it, 100ms);
  const auto first = journalled();
  bool passed = Expect(first.size() == 1, "one append holds all entries");
  Deliver(it, node::LogAppended{ "journal.dc", first.at(0).mToken, false });
  AdvanceTime(it, 400ms);
  const auto again = journalled();
  passed &= Expect(again.size() == 1 && again[0].mData == first[0].mData,
                   "a batch whose append failed is appended again");
  Deliver(it, node::LogAppended{ "journal.dc", again.at(0).mToken, true });
  AdvanceTime(it, 1000ms);
  passed &= Expect(journalled().empty(), "a batch that was appended is not appended again");

  // Once the writer is gone, another entry answers from its journal. The journal does not contain
  // the results.
  auto reader = MakeServingFixture();
  const auto id = "pw-dc-" + ToString(it.mOptions.mIncarnation) + "-1";
  reader.mState->mOptions.mIncarnation = MakeIncarnation(kStartMs, 9);
  DeliverRead(reader, "journal.dc", { first[0].mData, again[0].mData });
  passed &=
    Expect(reader.mState->mRemoteSubmissions.size() == 4, "duplicate journal entries are dropped");
  Deliver(reader, node::CallerStatus{ 1, id, "t", 0ms });
  const auto answers = ActionsOf<node::AnswerCaller>(reader);
  passed &= Expect(answers.size() == 1 && answers[0].mError &&
                     answers[0].mError->mCode == ErrorCode::UnknownJob &&
                     answers[0].mError->mVerdict == Verdict::Ran,
                   "the verdict is known from the journal");
  return passed;
}

/// Guards against slots that stay idle at one entry while tasks wait at another, and against
/// credits that both entries use.
bool CreditsAreLentOnce()
{
  auto it = MakeServingFixture();
  const auto before = dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits;
  Deliver(it, node::PeerMessage{ it.mPeer, message::Borrow{ 1, "s", 2 } });
  auto grants = MessagesSent<message::Grant>(it);
  bool passed = Expect(grants.size() == 1 && grants[0].mCredits.size() == 1 &&
                         grants[0].mCredits[0].mCount == 2,
                       "idle credits are lent");
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits + 2 == before,
                   "the lender does not use them");
  Deliver(it, node::PeerMessage{ it.mPeer, message::Borrow{ 1, "s", 2 } });
  passed &= Expect(MessagesSent<message::Grant>(it).empty(), "a duplicate request lends nothing");
  const message::ReturnCredits back{ 1, grants[0].mCredits };
  Deliver(it, node::PeerMessage{ it.mPeer, back });
  Deliver(it, node::PeerMessage{ it.mPeer, back });
  passed &=
    Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits == before, "a return counts once");
  Deliver(it, node::PeerMessage{ it.mPeer, message::Borrow{ 2, "s", 2 } });
  grants = MessagesSent<message::Grant>(it);
  message::Heartbeat beat;
  beat.mState = message::MemberState::Ready;
  for (int n = 0; n < 15; ++n) {
    AdvanceTime(it, 200ms);
    beat.mSequence += 1;
    beat.mOccupiedUpstreams = { "s/w" };
    Deliver(it, node::PeerMessage{ it.mPeer, beat });
  }
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits + 2 == before,
                   "an expired loan with running tasks stays lent");
  beat.mSequence += 1;
  beat.mOccupiedUpstreams.clear();
  Deliver(it, node::PeerMessage{ it.mPeer, beat });
  AdvanceTime(it, 100ms);
  passed &= Expect(dispatch::LoadOf(*it.mState->mDispatch).mIdleCredits == before,
                   "a loan whose return was lost comes back");
  return passed;
}

/// Guards against slots that neither entry can use between the end of a loan and the expiry that
/// the lender waits for. Also guards against a credit that is counted for the borrower and, by the
/// lender's own rule, again for the lender.
bool EndedLoansReturnWithTheirTasks()
{
  auto it = MakeServingFixture();
  message::Heartbeat beat;
  beat.mState = message::MemberState::Ready;
  beat.mSequence = 1000;
  beat.mIdleCredits = 8;
  Deliver(it, node::PeerMessage{ it.mPeer, beat });
  AdvanceTime(it, 100ms); // The node updates its peers' states in a tick.
  std::vector<dispatch::StartTask> starts;
  const auto submit = [&](node::RequestId aRequest) {
    Deliver(it, node::CallerSubmit{ aRequest, true, MakeJob(it, "", true) });
    const auto started = ActionsOf<dispatch::StartTask>(it);
    starts.insert(starts.end(), started.begin(), started.end());
  };
  const auto grant = [&](std::uint64_t aNumber, std::uint32_t aCount) {
    Deliver(
      it, node::PeerMessage{ it.mPeer, message::Grant{ aNumber, { { "s/w", aCount } }, 2000ms } });
  };
  for (node::RequestId n = 1; n <= 5; ++n) { // One more than this entry has slots.
    submit(n);
  }
  const auto asked = MessagesSent<message::Borrow>(it);
  bool passed =
    Expect(starts.size() == 4 && asked.size() == 1, "a waiting task requests a loan at once");
  const auto first = asked.at(0).mNumber;
  grant(first, 1);
  passed &= Expect(ActionsOf<dispatch::StartTask>(it).size() == 1, "the borrowed credit is used");
  Deliver(it, node::PeerMessage{ it.mPeer, message::ReturnCredits{ first, {} } });
  passed &=
    Expect(MessagesSent<message::ReturnCredits>(it).empty(), "a running task keeps its credit");

  // A second loan covers the task of the ended one, so the lender no longer sees an occupied
  // upstream.
  beat.mSequence += 1;
  Deliver(it, node::PeerMessage{ it.mPeer, beat });
  submit(6);
  const auto again = MessagesSent<message::Borrow>(it);
  passed &= Expect(again.size() == 1, "the next waiting task requests another loan");
  grant(again.at(0).mNumber, 2);
  const auto covered = MessagesSent<message::ReturnCredits>(it);
  passed &= Expect(covered.size() == 1 && covered[0].mNumber == first,
                   "a credit that another loan covers goes back at once");

  // The second loan ends; both of its credits stay in use by running tasks until one of them ends.
  Deliver(it, node::PeerMessage{ it.mPeer, message::ReturnCredits{ again[0].mNumber, {} } });
  passed &=
    Expect(MessagesSent<message::ReturnCredits>(it).empty(), "running tasks keep their credits");
  Deliver(it,
          node::UpstreamAnswered{ starts[0].mTask,
                                  starts[0].mAttempt,
                                  starts[0].mUpstream,
                                  { Verdict::Ran, std::nullopt, "result", 100ms } });
  const auto back = MessagesSent<message::ReturnCredits>(it);
  passed &= Expect(back.size() == 1 && back[0].mNumber == again[0].mNumber &&
                     back[0].mCredits.at(0).mCount == 1,
                   "a credit goes back as soon as a task ends");
  return passed;
}

} // namespace

int main()
{
  bool passed = VerdictsAreSafeWhenTheOwnerIsLost();
  passed &= RepliesAreMatchedOnce();
  passed &= AcceptanceNeedsALease();
  passed &= CopiesJoinTheRunningJob();
  passed &= ConfigurationIsFetchedFromAPeer();
  passed &= JournalIsBatchedAndRetried();
  passed &= CreditsAreLentOnce();
  passed &= EndedLoansReturnWithTheirTasks();
  return passed ? 0 : 1;
}
