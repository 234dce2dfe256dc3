#include <algorithm>
#include <set>

#include "dispatch_test.h"

// Limits on the memory that callers can make the dispatcher hold.

namespace pollenwall::test {
namespace {

using dispatch::Accepted;
using dispatch::Refuse;
using dispatch::StartTask;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMebibyte = std::uint64_t{ 1 } << 20;

JobSpec MakeJob(Fixture& aFixture, std::string aPayload)
{
  JobSpec job{
    .mId = "j" + std::to_string(++aFixture.mNextJob), .mService = "s", .mTeam = "t0", .mKind = "k"
  };
  job.mDeadline = seconds(60);
  TaskSpec task;
  task.mPayload = std::move(aPayload);
  task.mDeclaredRunTime = milliseconds(1);
  job.mTasks.push_back(std::move(task));
  return job;
}

/// Submits the job and returns the error of its refusal, if it is refused.
std::optional<Error> Submit(Fixture& aFixture, JobSpec aJob, bool aCanRepeat = true)
{
  Handle(aFixture, dispatch::Submit{ aFixture.mNextJob, std::move(aJob), aCanRepeat });
  const auto refusals = ActionsOf<Refuse>(aFixture.mActions);
  return refusals.empty() ? std::nullopt : std::optional(refusals[0].mError);
}

bool IsRetryLater(const std::optional<Error>& aError)
{
  return aError && aError->mCode == ErrorCode::Overloaded && aError->mVerdict == Verdict::NotRun &&
         aError->mRetryAfter;
}

/// Guards against queued jobs whose payloads exceed the memory, although their number is small.
bool JobsShareMemory()
{
  auto fixture = MakeFixture({ .mWorkers = 1, .mSlots = 1 },
                             { .mDataCentre = "dc", .mMaxJobBytes = 4 * kMebibyte });
  std::vector<StartTask> starts;
  std::optional<Error> refusal;
  std::size_t accepted = 0;
  while (!refusal && accepted < 100) {
    refusal = Submit(fixture, MakeJob(fixture, std::string(kMebibyte, 'p')));
    accepted += refusal ? 0 : 1;
    const auto started = ActionsOf<StartTask>(fixture.mActions);
    starts.insert(starts.end(), started.begin(), started.end());
  }
  bool passed = Expect(accepted == 3 && IsRetryLater(refusal), "beyond the limit jobs are refused");
  passed &= Expect(!Submit(fixture, MakeJob(fixture, "p")), "a small job is accepted beside them");
  Handle(fixture, Ended(starts.at(0), RanWell()));
  passed &= Expect(!Submit(fixture, MakeJob(fixture, std::string(kMebibyte, 'p'))),
                   "the end of a job makes room for another one");
  const auto large = Submit(fixture, MakeJob(fixture, std::string(5 * kMebibyte, 'p')));
  passed &= Expect(large && large->mCode == ErrorCode::TooLarge && !large->mRetryAfter,
                   "a job that can never fit is not asked to come back");
  auto shared = MakeJob(fixture, std::string(kMebibyte / 2, 'p'));
  shared.mTasks.resize(100, shared.mTasks[0]);
  return passed && Expect(!Submit(fixture, std::move(shared)), "a shared payload counts once");
}

/// Guards against records of ended jobs without a bound, and against a second run of a job whose
/// record was dropped while a copy of it could arrive.
bool RecordsOfEndedJobsAreBounded()
{
  constexpr std::size_t kMaxRecords = 50;
  auto fixture = MakeFixture({ .mWorkers = 1 },
                             { .mDataCentre = "dc", .mMaxEndedJobBytes = kMaxRecords * 1024 });
  const auto run = [&fixture](bool aCanRepeat) {
    auto refusal = Submit(fixture, MakeJob(fixture, "p"), aCanRepeat);
    if (!refusal) {
      Handle(fixture, Ended(ActionsOf<StartTask>(fixture.mActions).at(0), RanWell()));
    }
    return refusal;
  };
  const auto isKnown = [&fixture](std::size_t aJob) {
    return FindJobAnswer(*fixture.mState, "j" + std::to_string(aJob)).has_value();
  };
  bool passed = true;
  for (std::size_t n = 0; n < 2 * kMaxRecords; ++n) {
    passed &= Expect(!run(false), "jobs without copies are always accepted");
  }
  passed &= Expect(!isKnown(1) && isKnown(2 * kMaxRecords), "their oldest records are dropped");
  const auto first = fixture.mNextJob + 1;
  std::optional<Error> refusal;
  while (!refusal && fixture.mNextJob < first + 4 * kMaxRecords) {
    refusal = run(true);
  }
  passed &= Expect(IsRetryLater(refusal) && isKnown(first),
                   "records of jobs with copies are kept, and further ones are refused");
  passed &= Expect(!run(false), "a job without copies is accepted beside them");
  Advance(fixture, seconds(61));
  Handle(fixture, dispatch::Tick{});
  return passed && Expect(!run(true), "after the retention time they are accepted again");
}

std::size_t GroupsIn(const Fixture& aFixture)
{
  const std::string key = "\"needs_groups\":";
  const auto text = dispatch::Dump(*aFixture.mState, aFixture.mNow);
  return std::stoul(text.substr(text.find(key) + key.size()));
}

/// Guards against state for each combination of needs that callers have ever asked for, also in
/// jobs that are refused.
bool NeedsAreForgotten()
{
  constexpr std::uint32_t kWaitingJobs = 700;
  // The quota is used up by the waiting jobs and the one that they wait for.
  auto fixture =
    MakeFixture({ .mWorkers = 1, .mSlots = 1000, .mStartsPerSecond = kWaitingJobs + 1 },
                { .mDataCentre = "dc", .mExclusiveUpstreams = true });
  const auto withNeeds = [&fixture](std::uint32_t aNumber, milliseconds aDeclared) {
    auto job = MakeJob(fixture, "p");
    job.mTasks[0].mDeclaredRunTime = aDeclared;
    job.mTasks[0].mNeeds = { kMilliCoresPerCore * (1 + aNumber % 32),
                             256 * kMebibyte * (1 + aNumber / 32 % 256),
                             0 };
    return job;
  };
  // Occupies the worker, so that the jobs wait, each with other needs.
  auto full = withNeeds(31, seconds(1));
  bool passed = Expect(!Submit(fixture, std::move(full)), "a job that fits is accepted");
  const auto blocker = ActionsOf<StartTask>(fixture.mActions).at(0);
  std::set<std::string> waiting;
  for (std::uint32_t n = 0; n < kWaitingJobs; ++n) {
    auto job = withNeeds(n, milliseconds(1));
    waiting.insert(job.mId);
    passed &= Expect(!Submit(fixture, std::move(job)), "a waiting job is accepted");
  }
  const auto groups = GroupsIn(fixture);
  for (std::uint32_t n = 0; n < 5000; ++n) {
    passed &= Expect(Submit(fixture, withNeeds(kWaitingJobs + n, milliseconds(1))).has_value(),
                     "a job beyond the quota is refused");
  }
  passed &= Expect(GroupsIn(fixture) <= groups + 1, "refused jobs leave no groups of needs");
  // Each end makes room for others, until all have run exactly once.
  std::vector<StartTask> running{ blocker };
  while (!running.empty()) {
    const auto next = running.back();
    running.pop_back();
    waiting.erase(next.mTask.mJob);
    Handle(fixture, Ended(next, RanWell(milliseconds(1))));
    const auto starts = ActionsOf<StartTask>(fixture.mActions);
    running.insert(running.end(), starts.begin(), starts.end());
  }
  passed &= Expect(waiting.empty() && Counter(fixture, "task_starts_total") == kWaitingJobs + 1,
                   "all waiting jobs run once");
  for (std::uint32_t n = 0; n < 5000; ++n) {
    Advance(fixture, milliseconds(10));
    passed &= Expect(!Submit(fixture, withNeeds(kWaitingJobs + n, milliseconds(1))),
                     "a job within the quota is accepted");
    for (const auto& start : ActionsOf<StartTask>(fixture.mActions)) {
      Handle(fixture, Ended(start, RanWell(milliseconds(1))));
    }
  }
  return passed && Expect(GroupsIn(fixture) <= groups + 1, "groups of ended jobs are used again");
}

} // namespace

bool MemoryTests()
{
  bool passed = JobsShareMemory();
  passed &= RecordsOfEndedJobsAreBounded();
  passed &= NeedsAreForgotten();
  return passed;
}

} // namespace pollenwall::test
