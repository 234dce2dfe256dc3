#include <pollenwall/admission.h>

#include <iostream>

#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::admission;

namespace {

bool Expect(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

Time At(std::int64_t aMicroseconds)
{
  return Time{ Duration{ aMicroseconds } };
}

/// Guards against a quota that admits more than its rate over any length of time. With aRefill the
/// bucket is filled before each request, which the check has to notice.
bool BucketHoldsItsRate(bool aRefill)
{
  return rc::check("a bucket admits at most burst + one job + rate * time", [aRefill] {
    const double rate = *rc::gen::inRange(1, 2000);
    const double burst = *rc::gen::inRange(1, 500);
    auto bucket = MakeTokenBucket(rate, burst, At(0));
    double taken = 0;
    std::int64_t now = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      200, rc::gen::pair(rc::gen::inRange(0, 20000), rc::gen::inRange(1, 190)));
    for (const auto& [gap, tasks] : steps) {
      now += gap;
      bucket.mTokens = aRefill ? burst : bucket.mTokens;
      taken += TryTake(bucket, tasks, At(now)) ? tasks : 0;
    }
    RC_ASSERT(taken <= burst + rate * static_cast<double>(now) / 1e6 + 190);
  });
}

/// Guards against a retry-after that sends the caller back too early, and against a job larger than
/// the bucket that is never admitted.
bool WaitingTheToldTimeIsEnough()
{
  return rc::check("a refused request is admitted after TimeUntil", [] {
    const double rate = *rc::gen::inRange(1, 2000);
    auto bucket = MakeTokenBucket(rate, *rc::gen::inRange(1, 100), At(0));
    const double tasks = *rc::gen::inRange(1, 190);
    while (TryTake(bucket, tasks, At(0))) {
    }
    const auto wait = TimeUntil(bucket, tasks, At(0));
    RC_ASSERT(wait.has_value());
    RC_ASSERT(wait->count() > 0);
    RC_ASSERT(!TryTake(bucket, tasks, At(wait->count() / 2)));
    RC_ASSERT(TryTake(bucket, tasks, At(wait->count())));
  });
}

/// Guards against a team with no quota that waits for a time that never comes.
bool EmptyQuotaNeverAdmits()
{
  auto bucket = MakeTokenBucket(0, 0, At(0));
  return Expect(!TryTake(bucket, 1, At(1000000)), "a quota of 0 admits nothing") &&
         Expect(!TimeUntil(bucket, 1, At(0)), "a quota of 0 has no time of admission");
}

/// Guards against retries that multiply the load when most starts are refused.
bool RetriesStayWithinTheRatio()
{
  return rc::check("retries <= burst + ratio * starts + trickle", [] {
    RetryBudget budget;
    const auto events = *rc::gen::container<std::vector<bool>>(2000, rc::gen::arbitrary<bool>());
    double starts = 0;
    double retries = 0;
    std::int64_t now = 0;
    for (const bool start : events) {
      now += 100;
      if (start) {
        CountStart(budget);
        ++starts;
        continue;
      }
      retries += TryRetry(budget, At(now)) ? 1 : 0;
    }
    RC_ASSERT(retries <= 50 + 0.1 * starts + static_cast<double>(now) / 1e6 + 1e-6);
    RC_ASSERT(retries >= 50);
  });
}

/// Guards against an entry whose upstreams all refuse and that never tries again.
bool TrickleEndsAnEmptyBudget()
{
  RetryBudget budget;
  std::int64_t now = 0;
  while (TryRetry(budget, At(now))) {
  }
  return Expect(!TryRetry(budget, At(now + 500000)), "no retry after half a second") &&
         Expect(TryRetry(budget, At(now + 1100000)), "one retry after a second");
}

/// Guards against one team that fills the whole queue.
bool OneTeamLeavesRoom()
{
  std::size_t flood = 0;
  while (HasRoom(flood, flood, 1, 9000)) {
    ++flood;
  }
  return Expect(flood == 8000, "one team fills eight ninths") &&
         Expect(HasRoom(flood, 0, 190, 9000), "another team still has room") &&
         Expect(!HasRoom(9000, 0, 1, 9000), "the bound holds for all teams together") &&
         Expect(!HasRoom(8990, 0, 11, 9000), "a job is queued whole or not at all");
}

/// Guards against an estimate that makes a team wait for the work of others beyond its share.
bool EstimateFollowsTheShare()
{
  using std::chrono::seconds;
  const Backlog backlog{ seconds(10), seconds(1000), 1, 4, 10 };
  auto flooded = backlog;
  flooded.mTeamAhead = seconds(900);
  return Expect(EstimateWait(backlog) == Duration(seconds(4)),
                "own work at a fourth of 10 slots") &&
         Expect(EstimateWait(flooded) == Duration(seconds(100)), "at most all work") &&
         Expect(!EstimateWait(Backlog{}), "without slots nothing is known");
}

/// Guards against refused callers that all return at the same moment.
bool RetryAfterIsJittered()
{
  std::mt19937_64 random(1);
  const auto least = std::chrono::milliseconds(400);
  auto low = RetryAfter(least, random);
  auto high = low;
  for (int n = 0; n < 100; ++n) {
    const auto value = RetryAfter(least, random);
    low = std::min(low, value);
    high = std::max(high, value);
  }
  return Expect(low >= least && high <= 2 * least, "between one and two times") &&
         Expect(high - low > least / 2, "spread out");
}

} // namespace

int main()
{
  bool passed = BucketHoldsItsRate(false);
  // RapidCheck's report of the expected failure is not shown.
  auto* shown = std::cerr.rdbuf(nullptr);
  const bool noticed = !BucketHoldsItsRate(true);
  std::cerr.rdbuf(shown);
  std::cerr.clear();
  passed &= Expect(noticed, "the check of the rate can fail");
  passed &= WaitingTheToldTimeIsEnough();
  passed &= EmptyQuotaNeverAdmits();
  passed &= RetriesStayWithinTheRatio();
  passed &= TrickleEndsAnEmptyBudget();
  passed &= OneTeamLeavesRoom();
  passed &= EstimateFollowsTheShare();
  passed &= RetryAfterIsJittered();
  return passed ? 0 : 1;
}
