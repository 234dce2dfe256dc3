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
/// bucket is filled before each request, which the check has to detect.
bool BucketEnforcesItsRate(bool aRefill)
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

/// Guards against a retry-after at which the request is refused again, and against a job larger
/// than the bucket that is never admitted.
bool ARequestIsAdmittedAfterTimeUntil()
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

/// Guards against a retry-after for a team without quota, whose requests are never admitted.
bool EmptyQuotaNeverAdmits()
{
  auto bucket = MakeTokenBucket(0, 0, At(0));
  return Expect(!TryTake(bucket, 1, At(1000000)), "a quota of 0 admits nothing") &&
         Expect(!TimeUntil(bucket, 1, At(0)), "a quota of 0 gives no time until admission");
}

/// Guards against retries that multiply the load when most starts are refused.
bool RetriesStayWithinTheRatio()
{
  return rc::check("retries <= burst + ratio * starts + minimum rate * time", [] {
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

/// Guards against an entry that never retries after all its upstreams have refused for a while.
bool AnEmptyBudgetRefills()
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
  return Expect(flood == 8000, "one team can fill eight ninths") &&
         Expect(HasRoom(flood, 0, 190, 9000), "another team still has space") &&
         Expect(!HasRoom(9000, 0, 1, 9000), "the limit holds for all teams together") &&
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
                "own work at a quarter of 10 slots") &&
         Expect(EstimateWait(flooded) == Duration(seconds(100)),
                "never longer than for all work") &&
         Expect(!EstimateWait(Backlog{}), "no estimate without slots");
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
         Expect(high - low > least / 2, "the values are spread out");
}

} // namespace

int main()
{
  bool passed = BucketEnforcesItsRate(false);
  // Hides RapidCheck's report of the expected failure.
  auto* shown = std::cerr.rdbuf(nullptr);
  const bool detected = !BucketEnforcesItsRate(true);
  std::cerr.rdbuf(shown);
  std::cerr.clear();
  passed &= Expect(detected, "the check detects a bucket that is refilled");
  passed &= ARequestIsAdmittedAfterTimeUntil();
  passed &= EmptyQuotaNeverAdmits();
  passed &= RetriesStayWithinTheRatio();
  passed &= AnEmptyBudgetRefills();
  passed &= OneTeamLeavesRoom();
  passed &= EstimateFollowsTheShare();
  passed &= RetryAfterIsJittered();
  return passed ? 0 : 1;
}
