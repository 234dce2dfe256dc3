#include "policy.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include <ctime>

#include <pollenwall/configuration_log.h>
#include <pollenwall/node.h>

namespace pollenwall::bench {
namespace {

constexpr Micros kTickInterval = 20 * kMillisecond;
constexpr Micros kVmListPollInterval = kSecond;
constexpr Micros kLogReadLatency = 2 * kMillisecond;
constexpr Micros kLogAppendLatency = 5 * kMillisecond;
constexpr UnixMs kUnixStart = 1'800'000'000'000;
constexpr std::string_view kService = "bench";

struct LogReader
{
  std::uint32_t mEntry = 0;
  std::uint64_t mFrom = 0;
  Micros mStarted = 0;
  Micros mWaitUntil = 0;
};

/// A stream of the simulated log service, which never fails.
struct LogStream
{
  std::vector<node::LogRecord> mRecords;
  std::vector<LogReader> mWaitingReaders; ///< Long polls that wait at the end of the stream.
};

using NodeState = std::unique_ptr<node::State, void (*)(node::State*)>;

struct Entry
{
  NodeState mState{ nullptr, nullptr };
  std::uint32_t mDataCentre = 0;
  std::string mAddress;
  Incarnation mIncarnation;
};

/// A caller's request that has not been answered yet.
struct PendingCall
{
  std::uint32_t mJob = 0;
  bool mCancel = false;
};

/// The entries of a deployment, run on the node library with simulated peers, log, VM list and
/// workers at constant latencies.
struct NodePolicy
{
  Experiment* mExperiment = nullptr;
  Policy* mPolicy = nullptr;
  std::vector<Entry> mEntries;
  std::map<std::string, std::uint32_t> mEntryByAddress;
  std::map<Incarnation, std::uint32_t> mEntryByIncarnation;
  std::map<std::string, std::uint32_t> mWorkerByUpstream;
  std::map<std::pair<std::uint32_t, std::uint32_t>, bool> mConnectedPairs;
  std::map<std::string, LogStream> mLog;
  std::map<std::uint64_t, PendingCall> mCalls;   ///< By the number of the request.
  std::map<std::string, std::uint32_t> mJobById; ///< Jobs that have had a task started.
  std::vector<std::string> mAcceptedIds; ///< Per job; set for jobs submitted without waiting.
  std::uint64_t mNextRequest = 1;
};

void Deliver(NodePolicy& aPolicy, std::uint32_t aEntry, const node::Event& aEvent);

/// Processor time of this thread. It is only reported and never affects the run, which stays
/// reproducible.
double ThreadSeconds()
{
  constexpr double kNanoseconds = 1e9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanoseconds;
}

Now NowOf(const NodePolicy& aPolicy)
{
  const auto now = aPolicy.mExperiment->mClock.mNow;
  return { Time(Duration(now)), kUnixStart + now / kMillisecond };
}

Clock& ClockOf(NodePolicy& aPolicy)
{
  return aPolicy.mExperiment->mClock;
}

Micros LatencyBetween(const NodePolicy& aPolicy, std::uint32_t aOne, std::uint32_t aOther)
{
  const auto& deployment = aPolicy.mExperiment->mPlatform.mDeployment;
  const bool local = aPolicy.mEntries[aOne].mDataCentre == aPolicy.mEntries[aOther].mDataCentre;
  return deployment.mWorkerLatency + (local ? 0 : deployment.mInterDataCentreLatency);
}

configuration::Configuration MakeConfiguration(const Experiment& aExperiment)
{
  configuration::Configuration result;
  const auto& platform = aExperiment.mPlatform;
  for (const auto& name : platform.mDeployment.mDataCentres) {
    result.mDataCentres[name] = {
      name, "region", std::chrono::microseconds(platform.mDeployment.mInterDataCentreLatency)
    };
  }
  configuration::Service service;
  service.mName = kService;
  service.mMaxDeadline = std::chrono::hours(1);
  result.mServices[service.mName] = service;
  for (std::uint32_t number = 1; number < aExperiment.mServices; ++number) {
    auto other = service;
    other.mName = "service" + std::to_string(number);
    result.mServices[other.mName] = other;
  }
  std::uint32_t n = 0;
  for (const auto& fake : platform.mWorkers) {
    configuration::Worker worker;
    worker.mName = fake.mName;
    worker.mDataCentre = platform.mDeployment.mDataCentres[fake.mDataCentre];
    worker.mRack = fake.mRack;
    worker.mAddress = "10.0." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1);
    worker.mMilliCores = 32 * kMilliCoresPerCore;
    worker.mMemoryBytes = std::uint64_t{ 128 } << 30U;
    result.mWorkers[worker.mName] = worker;
    configuration::Upstream upstream;
    upstream.mService = kService;
    upstream.mWorker = worker.mName;
    upstream.mPort = 9000;
    upstream.mSlots = fake.mSlots;
    result.mUpstreams[configuration::UpstreamKey(kService, worker.mName)] = upstream;
    ++n;
  }
  for (std::uint32_t team = 0; team < aExperiment.mTeams; ++team) {
    configuration::Team addedTeam;
    addedTeam.mName = "team" + std::to_string(team);
    addedTeam.mStartsPerSecond = aExperiment.mQuotaPerTeam;
    // Allows an idle team to submit two jobs of the maximum size at once.
    addedTeam.mBurstStarts =
      std::max(aExperiment.mQuotaPerTeam, 2.0 * static_cast<double>(kMaxTasksPerJob));
    result.mTeams[addedTeam.mName] = addedTeam;
  }
  return result;
}

// Log service.

void ReplyToReader(NodePolicy& aPolicy, const std::string& aStream, const LogReader& aReader)
{
  auto& records = aPolicy.mLog[aStream].mRecords;
  node::LogRead read;
  read.mStream = aStream;
  read.mOk = true;
  read.mStarted = Time(Duration(aReader.mStarted));
  read.mNext = std::max<std::uint64_t>(aReader.mFrom, records.size());
  read.mAtEnd = true;
  for (std::uint64_t n = aReader.mFrom; n < records.size(); ++n) {
    read.mRecords.push_back(records[n]);
  }
  ScheduleAfter(ClockOf(aPolicy), kLogReadLatency, [&aPolicy, entry = aReader.mEntry, read] {
    Deliver(aPolicy, entry, read);
  });
}

void ReadStream(NodePolicy& aPolicy, std::uint32_t aEntry, const node::ReadLog& aRead)
{
  const auto now = ClockOf(aPolicy).mNow;
  const LogReader reader{ aEntry, aRead.mFrom, now, now + aRead.mWait.count() * kMillisecond };
  ScheduleAfter(ClockOf(aPolicy), kLogReadLatency, [&aPolicy, reader, stream = aRead.mStream] {
    auto& log = aPolicy.mLog[stream];
    const auto wait = reader.mWaitUntil - ClockOf(aPolicy).mNow;
    if (reader.mFrom < log.mRecords.size() || wait <= 0) {
      ReplyToReader(aPolicy, stream, reader);
      return;
    }
    log.mWaitingReaders.push_back(reader);
    ScheduleAfter(ClockOf(aPolicy), wait, [&aPolicy, stream, reader] {
      auto& readers = aPolicy.mLog[stream].mWaitingReaders;
      const auto it = std::find_if(readers.begin(), readers.end(), [&reader](const auto& aReader) {
        return aReader.mEntry == reader.mEntry && aReader.mStarted == reader.mStarted;
      });
      if (it != readers.end()) {
        readers.erase(it);
        ReplyToReader(aPolicy, stream, reader);
      }
    });
  });
}

void AppendRecord(NodePolicy& aPolicy, const std::string& aStream, const std::string& aData)
{
  auto& log = aPolicy.mLog[aStream];
  log.mRecords.push_back({ log.mRecords.size(), NowOf(aPolicy).mUnixMs, aData });
  for (const auto& reader : std::exchange(log.mWaitingReaders, {})) {
    ReplyToReader(aPolicy, aStream, reader);
  }
}

// Answers to callers.

/// Compares an answer's verdicts with the tasks that actually started on the workers.
void CheckVerdicts(NodePolicy& aPolicy, std::uint32_t aJob, const JobAnswer& aAnswer)
{
  const auto& platform = aPolicy.mExperiment->mPlatform;
  bool allStarted = true;
  for (std::uint32_t n = 0; n < aAnswer.mTasks.size(); ++n) {
    const bool started = HasStarted(platform, { aJob, n });
    allStarted = allStarted && started;
    const auto verdict = aAnswer.mTasks[n].mVerdict;
    aPolicy.mExperiment->mWrongVerdicts += verdict == Verdict::Ran && !started ? 1 : 0;
    if (verdict == Verdict::NotRun) {
      aPolicy.mExperiment->mReportedNotRun.push_back({ aJob, n });
    }
  }
  const bool incomplete = aAnswer.mState == JobState::Complete &&
                          (!allStarted || aAnswer.mTasks.size() != platform.mStarts[aJob].size());
  aPolicy.mExperiment->mWrongVerdicts += incomplete ? 1 : 0;
}

void AnswerCall(NodePolicy& aPolicy, const node::AnswerCaller& aAnswer)
{
  const auto it = aPolicy.mCalls.find(aAnswer.mRequest);
  if (it == aPolicy.mCalls.end()) {
    return;
  }
  const auto call = it->second;
  aPolicy.mCalls.erase(it);
  if (aAnswer.mAnswer && aAnswer.mAnswer->mState == JobState::Running) {
    aPolicy.mAcceptedIds[call.mJob] = aAnswer.mAnswer->mId;
    return;
  }
  if (aAnswer.mAnswer) {
    CheckVerdicts(aPolicy, call.mJob, *aAnswer.mAnswer);
  }
  if (call.mCancel) {
    return;
  }
  if (aAnswer.mAnswer) {
    RecordAnswer(*aPolicy.mExperiment, call.mJob, aAnswer.mAnswer->mState == JobState::Complete);
    return;
  }
  const auto& error = *aAnswer.mError;
  ++aPolicy.mExperiment->mRefusalsByCode[std::string(ToString(error.mCode))];
  if (error.mVerdict == Verdict::NotRun) {
    for (const auto started : aPolicy.mExperiment->mPlatform.mStarts[call.mJob]) {
      aPolicy.mExperiment->mWrongVerdicts += started;
    }
    HandleRefusal(*aPolicy.mExperiment, *aPolicy.mPolicy, call.mJob, error.mRetryAfter);
    return;
  }
  RecordAnswer(*aPolicy.mExperiment, call.mJob, false);
}

// Upstreams.

TaskOutcome OutcomeOf(RunResult aResult)
{
  switch (aResult) {
    case RunResult::Done:
      return { Verdict::Ran, std::nullopt, "", {} };
    case RunResult::Failed:
      return { Verdict::Ran, ErrorCode::TaskFailed, "", {} };
    case RunResult::Stopped:
      return { Verdict::Ran, ErrorCode::Cancelled, "", {} };
    case RunResult::Busy:
      return { Verdict::NotRun, ErrorCode::Overloaded, "", {} };
    case RunResult::Leaving:
      return { Verdict::NotRun, ErrorCode::Stopping, "", {} };
    case RunResult::Expired:
      return { Verdict::NotRun, ErrorCode::Expired, "", {} };
    case RunResult::Unreachable:
      return { Verdict::NotRun, ErrorCode::UpstreamLost, "", {} };
  }
  return {};
}

std::uint32_t WorkerOf(NodePolicy& aPolicy, std::uint32_t aEntry, dispatch::UpstreamIndex aUpstream)
{
  const auto address = node::AddressOf(*aPolicy.mEntries[aEntry].mState, aUpstream);
  return aPolicy.mWorkerByUpstream.at(address.mKey);
}

/// The payload holds the job's number, which identifies a started task whatever its job id is.
TaskRef TaskRefOf(const dispatch::StartTask& aStart)
{
  return { static_cast<std::uint32_t>(std::stoul(*aStart.mPayload)), aStart.mTask.mIndex };
}

void StartOnWorker(NodePolicy& aPolicy, std::uint32_t aEntry, const dispatch::StartTask& aStart)
{
  const auto worker = WorkerOf(aPolicy, aEntry, aStart.mUpstream);
  const auto ref = TaskRefOf(aStart);
  const auto sentAt = ClockOf(aPolicy).mNow;
  const auto notAfter = (aStart.mNotAfterMs - kUnixStart) * kMillisecond;
  aPolicy.mJobById[aStart.mTask.mJob] = ref.mJob;
  SendStart(aPolicy.mExperiment->mPlatform,
            worker,
            aPolicy.mEntries[aEntry].mDataCentre,
            ref,
            notAfter,
            false,
            [&aPolicy, aEntry, aStart, sentAt](RunResult aResult) {
              node::UpstreamAnswered answered{
                aStart.mTask, aStart.mAttempt, aStart.mUpstream, OutcomeOf(aResult)
              };
              answered.mOutcome.mRunTime = Duration(ClockOf(aPolicy).mNow - sentAt);
              Deliver(aPolicy, aEntry, answered);
            });
}

void StopOnWorker(NodePolicy& aPolicy, std::uint32_t aEntry, const dispatch::StopTask& aStop)
{
  const auto it = aPolicy.mJobById.find(aStop.mTask.mJob);
  if (it != aPolicy.mJobById.end()) {
    SendStop(aPolicy.mExperiment->mPlatform,
             WorkerOf(aPolicy, aEntry, aStop.mUpstream),
             aPolicy.mEntries[aEntry].mDataCentre,
             { it->second, aStop.mTask.mIndex });
  }
}

void QuerySlots(NodePolicy& aPolicy, std::uint32_t aEntry, dispatch::UpstreamIndex aUpstream)
{
  ++aPolicy.mExperiment->mWastedMessages;
  const auto worker = WorkerOf(aPolicy, aEntry, aUpstream);
  const auto latency =
    LatencyTo(aPolicy.mExperiment->mPlatform, worker, aPolicy.mEntries[aEntry].mDataCentre);
  ScheduleAfter(ClockOf(aPolicy), 2 * latency, [&aPolicy, aEntry, aUpstream, worker] {
    const auto& fake = aPolicy.mExperiment->mPlatform.mWorkers[worker];
    const bool gone = fake.mUnreachableFrom >= 0 && ClockOf(aPolicy).mNow >= fake.mUnreachableFrom;
    node::SlotsAnswered answered{ aUpstream, std::nullopt };
    if (!gone) {
      answered.mBusy = fake.mBusy;
    }
    Deliver(aPolicy, aEntry, answered);
  });
}

// Peers.

message::Hello MakeHello(const NodePolicy& aPolicy, std::uint32_t aEntry)
{
  const auto& entry = aPolicy.mEntries[aEntry];
  const auto& deployment = aPolicy.mExperiment->mPlatform.mDeployment;
  return { entry.mIncarnation,
           "entry" + std::to_string(aEntry),
           deployment.mDataCentres[entry.mDataCentre],
           entry.mAddress };
}

void ConnectPeers(NodePolicy& aPolicy, std::uint32_t aEntry, const std::string& aAddress)
{
  const auto it = aPolicy.mEntryByAddress.find(aAddress);
  if (it == aPolicy.mEntryByAddress.end() || it->second == aEntry) {
    return;
  }
  const auto pair = std::minmax(aEntry, it->second);
  if (std::exchange(aPolicy.mConnectedPairs[pair], true)) {
    return;
  }
  const auto one = pair.first;
  const auto other = pair.second;
  ScheduleAfter(ClockOf(aPolicy), 2 * LatencyBetween(aPolicy, one, other), [&aPolicy, one, other] {
    Deliver(aPolicy, one, node::PeerUp{ MakeHello(aPolicy, other) });
    Deliver(aPolicy, other, node::PeerUp{ MakeHello(aPolicy, one) });
  });
}

void CountMessage(Experiment& aExperiment, const message::Message& aMessage)
{
  if (std::holds_alternative<message::Heartbeat>(aMessage)) {
    ++aExperiment.mHeartbeats;
  }
  if (const auto* grant = std::get_if<message::Grant>(&aMessage);
      grant && grant->mCredits.empty()) {
    aExperiment.mWastedMessages += 2; // The request for credits and its empty reply.
  }
}

void SendToPeer(NodePolicy& aPolicy, std::uint32_t aEntry, const node::SendPeer& aSend)
{
  const auto it = aPolicy.mEntryByIncarnation.find(aSend.mTo);
  if (it == aPolicy.mEntryByIncarnation.end()) {
    return;
  }
  CountMessage(*aPolicy.mExperiment, aSend.mMessage);
  constexpr std::size_t kLengthPrefixBytes = 4;
  auto& cost = aPolicy.mExperiment->mCost;
  ++cost.mPeerMessages;
  cost.mPeerBytes += message::Encode(aSend.mMessage).size() + kLengthPrefixBytes;
  ScheduleAfter(
    ClockOf(aPolicy),
    LatencyBetween(aPolicy, aEntry, it->second),
    [&aPolicy, aEntry, to = it->second, sent = aSend.mMessage] {
      Deliver(aPolicy, to, node::PeerMessage{ aPolicy.mEntries[aEntry].mIncarnation, sent });
    });
}

// Actions.

struct ActionHandler
{
  NodePolicy& mPolicy;
  std::uint32_t mEntry;

  void operator()(const node::AnswerCaller& aAction) const { AnswerCall(mPolicy, aAction); }
  void operator()(const dispatch::StartTask& aAction) const
  {
    StartOnWorker(mPolicy, mEntry, aAction);
  }
  void operator()(const dispatch::StopTask& aAction) const
  {
    StopOnWorker(mPolicy, mEntry, aAction);
  }
  void operator()(const node::QuerySlots& aAction) const
  {
    bench::QuerySlots(mPolicy, mEntry, aAction.mUpstream);
  }
  void operator()(const node::Connect& aAction) const
  {
    ConnectPeers(mPolicy, mEntry, aAction.mAddress);
  }
  void operator()(const node::SendPeer& aAction) const { SendToPeer(mPolicy, mEntry, aAction); }
  void operator()(const node::ReadLog& aAction) const { ReadStream(mPolicy, mEntry, aAction); }
  void operator()(const node::AppendLog& aAction) const
  {
    ++mPolicy.mExperiment->mCost.mLogAppends;
    mPolicy.mExperiment->mCost.mLogBytes += aAction.mData.size();
    ScheduleAfter(
      ClockOf(mPolicy), kLogAppendLatency, [&policy = mPolicy, entry = mEntry, aAction] {
        AppendRecord(policy, aAction.mStream, aAction.mData);
        Deliver(policy, entry, node::LogAppended{ aAction.mStream, aAction.mToken, true });
      });
  }
  template<typename Other>
  void operator()(const Other& /*aAction*/) const
  {
  }
};

void Deliver(NodePolicy& aPolicy, std::uint32_t aEntry, const node::Event& aEvent)
{
  node::Actions actions;
  const double before = ThreadSeconds();
  node::Handle(*aPolicy.mEntries[aEntry].mState, aEvent, NowOf(aPolicy), actions);
  aPolicy.mExperiment->mCost.mCoreSeconds += ThreadSeconds() - before;
  for (const auto& action : actions) {
    std::visit(ActionHandler{ aPolicy, aEntry }, action);
  }
}

void TickPeriodically(NodePolicy& aPolicy, std::uint32_t aEntry)
{
  Deliver(aPolicy, aEntry, node::Tick{});
  ScheduleAfter(
    ClockOf(aPolicy), kTickInterval, [&aPolicy, aEntry] { TickPeriodically(aPolicy, aEntry); });
}

/// The VM list as of mVmListLag ago.
node::VmList MakeVmList(const NodePolicy& aPolicy)
{
  const auto asOf = aPolicy.mExperiment->mClock.mNow - aPolicy.mExperiment->mVmListLag;
  const auto& platform = aPolicy.mExperiment->mPlatform;
  node::VmList list{ true, kUnixStart + asOf / kMillisecond, {} };
  for (const auto& entry : aPolicy.mEntries) {
    list.mVms.push_back(
      { entry.mAddress, platform.mDeployment.mDataCentres[entry.mDataCentre], true, false });
  }
  std::uint32_t n = 0;
  for (const auto& worker : platform.mWorkers) {
    const auto address = "10.0." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1);
    ++n;
    if (worker.mUnreachableFrom >= 0 && asOf >= worker.mUnreachableFrom) {
      continue;
    }
    const bool leaving = worker.mLeavingFrom >= 0 && asOf >= worker.mLeavingFrom;
    list.mVms.push_back(
      { address, platform.mDeployment.mDataCentres[worker.mDataCentre], false, leaving });
  }
  return list;
}

void PollVmListPeriodically(NodePolicy& aPolicy, std::uint32_t aEntry)
{
  Deliver(aPolicy, aEntry, MakeVmList(aPolicy));
  ScheduleAfter(ClockOf(aPolicy), kVmListPollInterval, [&aPolicy, aEntry] {
    PollVmListPeriodically(aPolicy, aEntry);
  });
}

void MakeEntries(NodePolicy& aPolicy)
{
  const auto& deployment = aPolicy.mExperiment->mPlatform.mDeployment;
  std::vector<std::string> seeds;
  for (std::uint32_t n = 0; n < TotalEntries(deployment); ++n) {
    seeds.push_back("10.1.0." + std::to_string(n + 1) + ":7000");
  }
  for (std::uint32_t n = 0; n < TotalEntries(deployment); ++n) {
    node::Options options;
    options.mName = "entry" + std::to_string(n);
    const auto dataCentre = DataCentreOfEntry(deployment, n);
    options.mDataCentre = deployment.mDataCentres[dataCentre];
    options.mDispatch.mDataCentre = options.mDataCentre;
    options.mPeerAddress = seeds[n];
    options.mSeedAddresses = seeds;
    options.mIncarnation = MakeIncarnation(kUnixStart + n, n);
    options.mSeed = aPolicy.mExperiment->mSeed * 1000 + n;
    Entry entry;
    entry.mState = node::MakeState(options, NowOf(aPolicy));
    entry.mDataCentre = dataCentre;
    entry.mAddress = seeds[n];
    entry.mIncarnation = options.mIncarnation;
    aPolicy.mEntryByAddress[entry.mAddress] = n;
    aPolicy.mEntryByIncarnation[entry.mIncarnation] = n;
    aPolicy.mEntries.push_back(std::move(entry));
  }
}

JobSpec MakeJobSpec(const NodePolicy& aPolicy, std::uint32_t aJob)
{
  const auto& load = (*aPolicy.mExperiment->mJobs)[aJob];
  JobSpec job;
  job.mService = kService;
  job.mTeam = "team" + std::to_string(load.mTeam);
  job.mKind = load.mKind;
  job.mDeadline = std::chrono::milliseconds(load.mDeadlineMs);
  for (const auto& task : load.mTasks) {
    job.mTasks.push_back(
      { std::to_string(aJob), std::chrono::milliseconds(task.mDeclaredMs), Needs{} });
  }
  return job;
}

} // namespace

std::shared_ptr<Policy> MakeNodePolicy(Experiment& aExperiment)
{
  auto state = std::make_shared<NodePolicy>();
  auto policy = std::make_shared<Policy>();
  state->mExperiment = &aExperiment;
  state->mPolicy = policy.get();
  state->mAcceptedIds.resize(aExperiment.mJobs->size());
  for (std::uint32_t n = 0; n < aExperiment.mPlatform.mWorkers.size(); ++n) {
    const auto& worker = aExperiment.mPlatform.mWorkers[n];
    state->mWorkerByUpstream[configuration::UpstreamKey(kService, worker.mName)] = n;
  }
  MakeEntries(*state);
  const auto change =
    configuration::MakeChange({}, MakeConfiguration(aExperiment), "bench-configuration");
  AppendRecord(*state, "configuration", configuration::ChangeRecord(change));
  for (std::uint32_t n = 0; n < state->mEntries.size(); ++n) {
    // Staggers the timers, as separately started processes do.
    ScheduleAfter(
      aExperiment.mClock, n * kMillisecond, [state, n] { TickPeriodically(*state, n); });
    ScheduleAfter(
      aExperiment.mClock, n * kMillisecond, [state, n] { PollVmListPeriodically(*state, n); });
  }
  policy->mSubmit = [state](std::uint32_t aJob) {
    const auto entry = (*state->mExperiment->mJobs)[aJob].mEntry % state->mEntries.size();
    const auto request = state->mNextRequest++;
    state->mCalls[request] = { aJob, false };
    // A caller that may cancel needs the job id first, so it does not wait for the answer.
    const bool wait = (*state->mExperiment->mJobs)[aJob].mCancelAt < 0;
    Deliver(*state,
            static_cast<std::uint32_t>(entry),
            node::CallerSubmit{ request, wait, MakeJobSpec(*state, aJob) });
  };
  policy->mCancel = [state](std::uint32_t aJob) {
    const auto& job = (*state->mExperiment->mJobs)[aJob];
    if (state->mAcceptedIds[aJob].empty()) {
      return;
    }
    const auto request = state->mNextRequest++;
    state->mCalls[request] = { aJob, true };
    Deliver(
      *state,
      job.mEntry % static_cast<std::uint32_t>(state->mEntries.size()),
      node::CallerCancel{ request, state->mAcceptedIds[aJob], "team" + std::to_string(job.mTeam) });
  };
  return policy;
}

} // namespace pollenwall::bench
