#include <algorithm>
#include <iostream>

#include "world_test.h"

// Jobs that are asked for, or cancelled, by their ids at any entry.

namespace {

using namespace pollenwall;
using namespace pollenwall::entry;
using namespace pollenwall::entry::test;
using message::LookupResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodesEach = 6;
/// From the acknowledgement of a cancel to the end of the last run: an order, and the time that a
/// stop takes.
constexpr milliseconds kStopTime{ 40 };
constexpr milliseconds kDeadline{ 8000 };

/// 3 data centres of 6 entries, of which 3 are candidates and one holds the upstreams.
std::unique_ptr<World> MakeFleet(std::uint64_t aSeed = 1)
{
  WorldOptions options;
  options.mSeed = aSeed;
  options.mNodesEach = kNodesEach;
  options.mLargeNodesEach = 1;
  options.mRetryDelay = milliseconds(1300);
  auto world = MakeWorld(options);
  RunFor(*world, seconds(4));
  return world;
}

bool IsCandidate(const World& aWorld, std::size_t aNode)
{
  return GaugeOf(aWorld, aNode, "candidate") == 1;
}

bool IsHolder(const World& aWorld, std::size_t aNode)
{
  return GaugeOf(aWorld, aNode, "upstreams{state=\"held\"}") > 0;
}

/// An entry of a data centre that is no candidate, the aNth of them.
std::size_t OrdinaryEntry(const World& aWorld, std::size_t aDataCentre, std::size_t aNth = 0)
{
  for (std::size_t n = aDataCentre * kNodesEach; n < (aDataCentre + 1) * kNodesEach; ++n) {
    if (!IsCandidate(aWorld, n) && aNth-- == 0) {
      return n;
    }
  }
  std::cerr << "too few entries are no candidates\n";
  std::abort();
}

std::size_t HolderIn(const World& aWorld, std::size_t aDataCentre)
{
  for (std::size_t n = aDataCentre * kNodesEach; n < (aDataCentre + 1) * kNodesEach; ++n) {
    if (aWorld.mNodes[n].mAlive && IsHolder(aWorld, n)) {
      return n;
    }
  }
  std::cerr << "no entry holds upstreams\n";
  std::abort();
}

/// Submits a job that runs for about 4 s: 12 rounds of all workers of a data centre.
RequestId SubmitLongJob(World& aWorld, std::size_t aNode)
{
  constexpr std::uint32_t kTasks = 190;
  return SubmitJob(aWorld, aNode, kTasks, milliseconds(300), kDeadline);
}

std::size_t RunsOf(const World& aWorld, const std::string& aJob)
{
  std::size_t runs = 0;
  for (const auto& [task, at] : aWorld.mRunningAt) {
    runs += task.mJob == aJob ? at.size() : 0;
  }
  return runs;
}

Time LastStartOf(const World& aWorld, const std::string& aJob)
{
  Time last{};
  for (const auto& [task, at] : aWorld.mLastStart) {
    last = task.mJob == aJob ? std::max(last, at) : last;
  }
  return last;
}

/// The result of a lookup; a second is more than one may take.
LookupResult ResultOf(World& aWorld, std::size_t aNode, const std::string& aJob, bool aCancel)
{
  const auto lookup = LookUpJob(aWorld, aNode, aJob, aCancel);
  RunFor(aWorld, seconds(1));
  const auto& record = aWorld.mLookups.at(lookup);
  if (!record.mAnswered) {
    aWorld.mViolations.push_back("a lookup of " + aJob + " is not answered");
  }
  return record.mResult;
}

/// Cancels a job, again after 500 ms as long as the answer is that the job is not known to be
/// absent, as callers do after a 503.
void CancelUntilAcknowledged(World& aWorld, std::size_t aNode, const std::string& aJob)
{
  const auto lookup = LookUpJob(aWorld, aNode, aJob, true);
  After(aWorld, milliseconds(1500), [&aWorld, aNode, aJob, lookup] {
    const auto& record = aWorld.mLookups.at(lookup);
    if (!record.mAnswered || record.mResult == LookupResult::Unknown) {
      CancelUntilAcknowledged(aWorld, aNode, aJob);
    }
  });
}

/// Whether no task of the job has started since its cancel was acknowledged, none runs, and its
/// callers that are still connected were told that it is cancelled.
bool IsOver(const World& aWorld, const std::string& aJob, std::string_view aWhat)
{
  const auto it = aWorld.mCancelAcknowledged.find(aJob);
  const std::string what(aWhat);
  if (!Expect(it != aWorld.mCancelAcknowledged.end(), what + ": the cancel is acknowledged")) {
    return false;
  }
  bool ok = Expect(LastStartOf(aWorld, aJob) <= it->second, what + ": no task starts afterwards");
  ok &= Expect(RunsOf(aWorld, aJob) == 0, what + ": no task runs");
  for (const auto& [request, call] : aWorld.mCalls) {
    if (call.mJob.mId == aJob && !call.mGone) {
      ok &= Expect(call.mAnswered && call.mError && call.mError->mCode == ErrorCode::Cancelled,
                   what + ": the caller is told");
    }
  }
  return ok;
}

/// Guards against a cancel that is answered as if the job did not exist because it arrives at
/// another entry than the job's caller is connected to, while the job's tasks go on to be started.
bool CancelReachesTheJob()
{
  bool ok = true;
  for (const std::string where : { "owner", "same data centre", "holder", "candidate", "other" }) {
    auto world = MakeFleet();
    auto& w = *world;
    const auto owner = OrdinaryEntry(w, 0);
    const auto job = JobName(SubmitLongJob(w, owner));
    RunFor(w, milliseconds(500));
    std::size_t at = owner;
    if (where == "same data centre") {
      at = OrdinaryEntry(w, 0, 1);
    } else if (where == "holder" || where == "candidate") {
      at = HolderIn(w, where == "holder" ? 0 : 1);
    } else if (where == "other") {
      at = OrdinaryEntry(w, 2);
    }
    ok &= Expect(RunsOf(w, job) > 0, "the job runs");
    const auto lookup = LookUpJob(w, at, job, true);
    RunFor(w, milliseconds(60));
    const auto& record = w.mLookups.at(lookup);
    ok &= Expect(record.mAnswered && record.mResult == LookupResult::Owned,
                 "at " + where + ": the cancel is acknowledged within 60 ms");
    RunFor(w, Duration(kStopTime));
    ok &= Expect(RunsOf(w, job) == 0, "at " + where + ": running tasks are stopped");
    RunFor(w, seconds(6));
    ok &= IsOver(w, job, "at " + where) && NoViolations(w);
  }
  return ok;
}

/// Guards against a job that is denied at an entry that does not know it, and against an answer
/// that never denies any.
bool StateIsFoundAnywhere()
{
  auto world = MakeFleet();
  auto& w = *world;
  const auto job = JobName(SubmitLongJob(w, OrdinaryEntry(w, 1)));
  RunFor(w, milliseconds(300));
  bool ok = true;
  std::vector<std::pair<RequestId, bool>> lookups;
  for (std::size_t n = 0; n < w.mNodes.size(); ++n) {
    lookups.emplace_back(LookUpJob(w, n, job, false), true);
    lookups.emplace_back(LookUpJob(w, n, "unknown", false), false);
    RunFor(w, milliseconds(30));
  }
  for (const auto& [lookup, exists] : lookups) {
    const auto& record = w.mLookups.at(lookup);
    const bool found =
      record.mResult == LookupResult::Owned || record.mResult == LookupResult::Held;
    ok &= Expect(record.mAnswered && (exists ? found : record.mResult == LookupResult::NotFound),
                 "the job is found and an unknown one is not, at any entry");
  }
  return NoViolations(w) && ok;
}

/// Guards against a cancel that reaches only one of several open calls of a job: the others keep it
/// running.
bool AllCallsOfAJobAreCancelled(bool aSameEntry)
{
  auto world = MakeFleet();
  auto& w = *world;
  const auto owner = OrdinaryEntry(w, 0);
  const auto first = SubmitLongJob(w, owner);
  const auto job = JobName(first);
  RunFor(w, milliseconds(200));
  ResubmitJob(w, aSameEntry ? owner : HolderIn(w, 0), first);
  RunFor(w, milliseconds(200));
  ResultOf(w, OrdinaryEntry(w, 2), job, true);
  RunFor(w, seconds(6));
  // Callers keep no two connections open to two entries; the tasks may then run twice.
  return IsOver(w, job, aSameEntry ? "two calls at one entry" : "two calls at two entries") &&
         (!aSameEntry || NoViolations(w));
}

/// Guards against a call that is not found while it waits for a holder: only its owner knows it.
bool WaitingCallIsCancelled()
{
  auto world = MakeFleet();
  auto& w = *world;
  const auto job = JobName(SubmitLongJob(w, OrdinaryEntry(w, 0)));
  RunFor(w, milliseconds(200));
  // Cut off and not killed: the owner gives its holder up after 0.5 s and waits until the runs are
  // over.
  for (std::size_t dc = 0; dc < 3; ++dc) {
    CutNode(w, HolderIn(w, dc), true);
  }
  RunFor(w, milliseconds(700));
  bool ok = Expect(ResultOf(w, OrdinaryEntry(w, 0, 1), job, true) == LookupResult::Owned,
                   "a call without a holder is found");
  RunFor(w, seconds(6));
  return IsOver(w, job, "a call without a holder") && NoViolations(w) && ok;
}

/// Guards against a cancelled job that starts again because its owner died around the cancel, and
/// its caller has submitted it again: the entry that takes it may be a restarted one, which was not
/// there when the job was cancelled. aOffset: from the cancel to the owner's death.
bool OwnerDiesAroundTheCancel(milliseconds aOffset, milliseconds aRestartAfter, bool aAtOwner)
{
  auto world = MakeFleet(static_cast<std::uint64_t>(7 + aOffset.count() + aRestartAfter.count()));
  auto& w = *world;
  const auto owner = aAtOwner ? HolderIn(w, 0) : OrdinaryEntry(w, 0);
  const auto job = JobName(SubmitLongJob(w, owner));
  After(w, milliseconds(500) + aOffset, [&w, owner] { Kill(w, owner); });
  After(w, milliseconds(500) + aOffset + aRestartAfter, [&w, owner] { Restart(w, owner); });
  RunFor(w, milliseconds(500));
  CancelUntilAcknowledged(w, OrdinaryEntry(w, 1), job);
  // The caller's retry may also arrive at the restarted entry, before it has heard all others.
  After(w, std::max(aOffset + aRestartAfter, milliseconds(1300)) + milliseconds(100), [&w, owner] {
    ResubmitJob(w, owner, w.mCalls.begin()->first);
  });
  RunFor(w, seconds(9));
  return IsOver(w,
                job,
                "the owner dies " + std::to_string(aOffset.count()) +
                  " ms after the cancel and is back after " +
                  std::to_string(aRestartAfter.count()) + " ms") &&
         NoViolations(w);
}

/// Guards against a cancelled job that its owner submits to another holder after the death of the
/// first one.
bool HolderDiesAroundTheCancel(milliseconds aOffset)
{
  auto world = MakeFleet(static_cast<std::uint64_t>(7 + aOffset.count()));
  auto& w = *world;
  const auto holder = HolderIn(w, 0);
  const auto job = JobName(SubmitLongJob(w, OrdinaryEntry(w, 0)));
  After(w, milliseconds(500) + aOffset, [&w, holder] { Kill(w, holder); });
  RunFor(w, milliseconds(500));
  CancelUntilAcknowledged(w, OrdinaryEntry(w, 1), job);
  RunFor(w, seconds(9));
  // The runs of the dead holder lapse; no order of it arrives later.
  return IsOver(
           w, job, "the holder dies " + std::to_string(aOffset.count()) + " ms after the cancel") &&
         NoViolations(w);
}

/// Guards against a job that is denied because the entry that has it can't be asked, and against
/// entries that are gone for good and keep all jobs from being denied.
bool UnreachableEntryIsNotDenied()
{
  auto world = MakeFleet();
  auto& w = *world;
  const auto owner = OrdinaryEntry(w, 0);
  const auto job = JobName(SubmitLongJob(w, owner));
  RunFor(w, milliseconds(300));
  CutNode(w, owner, true);
  bool ok = true;
  for (int n = 0; n < 12; ++n) {
    for (const auto at : { OrdinaryEntry(w, 0, 1), HolderIn(w, 0), OrdinaryEntry(w, 2) }) {
      ok &= Expect(ResultOf(w, at, job, n % 2 == 0) != LookupResult::NotFound,
                   "a job of an entry that is cut off is not denied");
    }
  }
  CutNode(w, owner, false);
  RunFor(w, seconds(2));
  ok &= Expect(ResultOf(w, OrdinaryEntry(w, 2), job, false) == LookupResult::NotFound,
               "the cancelled job is denied once all entries can be asked");
  const auto drained = OrdinaryEntry(w, 1);
  BeginDrain(w, drained);
  RunFor(w, seconds(9));
  ok &= Expect(!w.mNodes[drained].mAlive &&
                 ResultOf(w, OrdinaryEntry(w, 0), "unknown", false) == LookupResult::NotFound,
               "an unknown job is denied soon after an entry has stopped");
  Kill(w, OrdinaryEntry(w, 2));
  RunFor(w, seconds(1));
  ok &= Expect(ResultOf(w, OrdinaryEntry(w, 0), "unknown", false) == LookupResult::Unknown,
               "no job is denied just after an entry has died");
  RunFor(w, seconds(60));
  ok &= Expect(ResultOf(w, OrdinaryEntry(w, 0), "unknown", false) == LookupResult::NotFound,
               "an unknown job is denied a minute after an entry has died");
  return NoViolations(w) && ok;
}

/// Guards against an entry that denies a job or starts one again under random faults: kills, pauses
/// and cuts, with cancels at random entries.
bool RandomCancels(std::uint64_t aSeed)
{
  auto world = MakeFleet(aSeed);
  auto& w = *world;
  const auto randomEntry = [&w] { return w.mRandom() % w.mNodes.size(); };
  GenerateLoad(w, 30, seconds(10), milliseconds(700));
  for (int n = 0; n < 5; ++n) {
    const auto node = randomEntry();
    const auto start = Duration(static_cast<std::int64_t>(UniformRandom(w) * 9e6));
    const auto end = start + Duration(static_cast<std::int64_t>(300e3 + UniformRandom(w) * 3e6));
    const auto kind = w.mRandom() % 3;
    After(w, start, [&w, node, kind] {
      kind == 0 ? Kill(w, node) : (kind == 1 ? Pause(w, node) : CutNode(w, node, true));
    });
    After(w, end, [&w, node, kind] {
      if (kind == 0 && !w.mNodes[node].mAlive) {
        Restart(w, node);
      }
      kind == 1 ? Resume(w, node) : CutNode(w, node, false);
    });
  }
  for (int n = 0; n < 100; ++n) {
    After(w, milliseconds(100 * n + 50), [&w, randomEntry] {
      const auto at = randomEntry();
      if (w.mLastRequestId > 0 && w.mNodes[at].mAlive) {
        LookUpJob(w, at, JobName(w.mLastRequestId - w.mRandom() % 3), true);
      }
    });
  }
  RunFor(w, seconds(24));
  const bool ok = NoViolations(w) && AllAnswered(w);
  if (!ok) {
    std::cerr << "seed " << aSeed << "\n";
  }
  return ok;
}

std::uint64_t MessagesOf(const World& aWorld)
{
  std::uint64_t most = 0;
  for (const auto& node : aWorld.mNodes) {
    most = std::max(most, node.mMessages);
  }
  return most;
}

WorldOptions LargeFleet(std::size_t aNodes, std::size_t aDataCentres)
{
  WorldOptions options;
  options.mDataCentres = aDataCentres;
  options.mNodesEach = (aNodes + aDataCentres - 1) / aDataCentres;
  options.mMaxNodes = aNodes;
  options.mLargeNodesEach = 1;
  return options;
}

/// Guards against lookups that cost more than a message and a reply for each entry, and against
/// cancels that take long without any fault. Prints the figures of docs/platform.md.
bool CostOfALookup(std::size_t aNodes, std::size_t aDataCentres)
{
  constexpr std::size_t kLookups = 200;
  auto world = MakeWorld(LargeFleet(aNodes, aDataCentres));
  auto& w = *world;
  RunFor(w, seconds(4));
  std::vector<RequestId> lookups;
  for (std::size_t n = 0; n < kLookups; ++n) {
    const auto job = JobName(SubmitJob(w, w.mRandom() % aNodes, 2, milliseconds(500), kDeadline));
    RunFor(w, milliseconds(50));
    lookups.push_back(LookUpJob(w, w.mRandom() % aNodes, job, true));
    RunFor(w, milliseconds(50));
  }
  RunFor(w, seconds(1));
  std::vector<std::int64_t> times;
  bool ok = true;
  for (const auto lookup : lookups) {
    const auto& record = w.mLookups.at(lookup);
    ok &= Expect(record.mAnswered && record.mResult == LookupResult::Owned, "a job is cancelled");
    times.push_back((record.mAnswered.value_or(w.mNow.mTime) - record.mSent).count());
  }
  std::sort(times.begin(), times.end());
  const auto messages = static_cast<double>(w.mLookupMessages) / kLookups;
  std::cerr << aNodes << " entries: " << messages << " messages for a cancel, p50 "
            << times[kLookups / 2] << " us, p99 " << times[kLookups * 99 / 100] << " us\n";
  return Expect(messages <= 2.0 * static_cast<double>(aNodes), "messages of a lookup") &&
         Expect(times[kLookups * 99 / 100] < 20000, "p99 of a cancel is below 20 ms") &&
         NoViolations(w) && ok;
}

constexpr int kFloodSeconds = 4;

struct Flood
{
  double mWithin = 0;              ///< Fraction of the jobs that complete within 250 ms.
  std::uint64_t mMostMessages = 0; ///< A second, of the entry that sends most.
  std::uint64_t mWarnings = 0;     ///< Lines logged of lookups.
  double mPerSecond = 0;           ///< Lookups and replies of all entries.
};

Flood ServeBesideLookups(std::size_t aNodes, std::size_t aDataCentres, int aLookupsPerSecond)
{
  auto world = MakeWorld(LargeFleet(aNodes, aDataCentres));
  auto& w = *world;
  RunFor(w, seconds(4));
  GenerateLoad(w, 60, seconds(kFloodSeconds), milliseconds(100));
  for (int n = 0; n < aLookupsPerSecond * kFloodSeconds; ++n) {
    After(w, std::chrono::microseconds(1000000 / aLookupsPerSecond * n), [&w, n, aNodes] {
      LookUpJob(w, w.mRandom() % aNodes, "absent" + std::to_string(n), n % 2 == 0);
    });
  }
  const auto before = MessagesOf(w);
  const auto lookupsBefore = w.mLookupMessages;
  RunFor(w, seconds(kFloodSeconds));
  Flood flood;
  flood.mMostMessages = (MessagesOf(w) - before) / kFloodSeconds;
  flood.mPerSecond = static_cast<double>(w.mLookupMessages - lookupsBefore) / kFloodSeconds;
  RunFor(w, seconds(2));
  std::size_t within = 0;
  for (const auto& [request, call] : w.mCalls) {
    within += call.mComplete && *call.mAnswered - call.mSubmitted <= milliseconds(250) ? 1 : 0;
  }
  flood.mWithin = static_cast<double>(within) / static_cast<double>(w.mCalls.size());
  flood.mWarnings = w.mLookupWarnings;
  NoViolations(w);
  return flood;
}

/// Guards against a flood of lookups of absent jobs that multiplies into messages between entries
/// or into log lines without a bound: 2,000 and 20,000 lookups a second must cost the same.
bool FloodOfLookupsIsBounded(std::size_t aNodes, std::size_t aDataCentres)
{
  const auto none = ServeBesideLookups(aNodes, aDataCentres, 1);
  const auto flood = ServeBesideLookups(aNodes, aDataCentres, 2000);
  const auto more = ServeBesideLookups(aNodes, aDataCentres, 20000);
  for (const auto& [name, figures] :
       { std::pair("1", none), std::pair("2000", flood), std::pair("20000", more) }) {
    std::cerr << aNodes << " entries, " << name << " lookups a second: " << figures.mWithin
              << " of the jobs within 250 ms, " << figures.mMostMessages
              << " messages a second of the busiest entry, " << figures.mPerSecond
              << " for lookups of all entries\n";
  }
  // A candidate asks all entries of its data centre and one of each other one 5 times a second and
  // 30 times at once. It replies to the candidates, at most 5 in each data centre, and to the
  // entries of its own, 5 times a second and 20 times at once each.
  const auto each = static_cast<double>(aNodes) / static_cast<double>(aDataCentres);
  const auto others = static_cast<double>(aDataCentres);
  const auto most = static_cast<double>(none.mMostMessages) +
                    (5 + 30.0 / kFloodSeconds) * (each + others + 5 * others) +
                    (5 + 20.0 / kFloodSeconds) * each;
  return Expect(static_cast<double>(more.mMostMessages) <= most, "messages during a flood") &&
         Expect(static_cast<double>(more.mMostMessages) <=
                  1.2 * static_cast<double>(flood.mMostMessages),
                "a larger flood costs no more messages") &&
         Expect(more.mWarnings <= (5 * kFloodSeconds + 20 + 1) * aNodes, "lines logged") &&
         Expect(more.mWithin >= none.mWithin - 0.01, "jobs are served during a flood");
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount > 1) {
    return RandomCancels(std::stoull(aArguments[1])) ? 0 : 1;
  }
  bool ok = CancelReachesTheJob();
  ok = StateIsFoundAnywhere() && ok;
  ok = AllCallsOfAJobAreCancelled(true) && ok;
  ok = AllCallsOfAJobAreCancelled(false) && ok;
  ok = WaitingCallIsCancelled() && ok;
  for (const auto offset : { -300, -20, -2, 0, 1, 2, 3, 5, 20, 300 }) {
    for (const auto restart : { 100, 1000 }) {
      ok = OwnerDiesAroundTheCancel(milliseconds(offset), milliseconds(restart), false) && ok;
      ok = OwnerDiesAroundTheCancel(milliseconds(offset), milliseconds(restart), true) && ok;
    }
    ok = HolderDiesAroundTheCancel(milliseconds(offset)) && ok;
  }
  ok = UnreachableEntryIsNotDenied() && ok;
  ok = CostOfALookup(31, 4) && ok;
  ok = CostOfALookup(147, 6) && ok;
  ok = FloodOfLookupsIsBounded(31, 4) && ok;
  ok = FloodOfLookupsIsBounded(147, 6) && ok;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ok = RandomCancels(seed) && ok;
  }
  std::cout << (ok ? "passed" : "failed") << "\n";
  return ok ? 0 : 1;
}
