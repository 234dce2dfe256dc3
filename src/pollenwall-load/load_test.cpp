#include "answers.h"
#include "plan.h"
#include "report.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include <boost/json.hpp>
#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::load;

namespace {

bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

/// Guards against a load whose job sizes, run times or rates differ from the plan's options.
bool PlansFollowTheirDistributions()
{
  PlanOptions options;
  options.mSeed = 7;
  options.mRates = { { 0, 1000 }, { 50, 4000 } };
  options.mSeconds = 100;
  options.mDeclaredFactor = 10;
  auto plan = MakePlan(options);
  std::vector<std::size_t> sizes;
  std::vector<double> runs;
  double early = 0;
  double late = 0;
  bool passed = true;
  std::chrono::nanoseconds last{ 0 };
  while (auto job = NextJob(plan, true)) {
    passed &= job->mAt >= last;
    last = job->mAt;
    sizes.push_back(job->mTasks.size());
    (job->mAt < std::chrono::seconds(50) ? early : late) += double(job->mTasks.size());
    for (const auto& task : job->mTasks) {
      runs.push_back(task.mRunMs);
      passed &= task.mDeclaredMs >= std::floor(task.mRunMs / 10) &&
                double(task.mDeclaredMs) <= std::ceil(task.mRunMs * 10);
    }
  }
  std::sort(sizes.begin(), sizes.end());
  std::sort(runs.begin(), runs.end());
  passed = Expect(passed, "arrivals in order and declared times within their factor");
  const auto median = sizes[sizes.size() / 2];
  passed &=
    Expect(median >= 4 && median <= 5 && sizes.front() == 1 && sizes.back() <= 190, "sizes");
  passed &= Expect(runs.front() >= 50 && runs.back() <= 1000, "run times in range");
  passed &=
    Expect(std::fabs(runs[runs.size() / 2] / std::sqrt(50 * 1000) - 1) < 0.03, "median run");
  passed &= Expect(std::fabs(early / 50000 - 1) < 0.05, "the first rate");
  passed &= Expect(std::fabs(late / 200000 - 1) < 0.05, "the second rate");
  return passed;
}

/// Guards against runs that cannot be reproduced from their seed.
bool PlansRepeat()
{
  return rc::check("the same seed gives the same jobs", [] {
    PlanOptions options;
    options.mSeed = *rc::gen::arbitrary<std::uint32_t>();
    options.mHomes = { "north" };
    options.mCallerIdRatio = 0.5;
    auto one = MakePlan(options);
    auto other = MakePlan(options);
    for (int n = 0; n < 20; ++n) {
      const auto a = NextJob(one, true);
      const auto b = NextJob(other, true);
      RC_ASSERT(a.has_value() == b.has_value());
      RC_ASSERT(!a ||
                (a->mAt == b->mAt && a->mId == b->mId && a->mTasks.size() == b->mTasks.size() &&
                 a->mTasks[0].mRunMs == b->mTasks[0].mRunMs));
    }
  });
}

bool RatesAreChecked()
{
  bool passed =
    Expect(ParseRates("0:10,2.5:20") == std::vector<RateStep>{ { 0, 10 }, { 2.5, 20 } }, "valid");
  for (const auto* text : { "", "10", "1:10", "0:10,0:20", "0:-1", "0:10x", "0:1,,2:3" }) {
    passed &= Expect(!ParseRates(text), std::string("refused: ") + text);
  }
  return passed;
}

/// Guards against a check that accepts another task's result or a partial answer.
bool AnswersAreChecked()
{
  const auto answer = [](std::string_view aTasks, std::string_view aState = "complete") {
    const auto body = R"({"id":"x","state":")" + std::string(aState) + R"(","verdict":"ran",)" +
                      R"("tasks":[)" + std::string(aTasks) + "]}";
    return CheckAnswer(200, body, 1, 2, 2);
  };
  const std::string first = R"({"index":0,"verdict":"ran","result":"{\"echo\":\"1/2/0\"}"})";
  const std::string second = R"({"index":1,"verdict":"ran","result":"{\"echo\":\"1/2/1\"}"})";
  const auto whole = answer(first + "," + second);
  bool passed = Expect(whole.mOutcome == Outcome::Complete && !whole.mWrongResult, "whole");
  const std::string swapped = R"({"index":1,"verdict":"ran","result":"{\"echo\":\"1/2/0\"}"})";
  passed &= Expect(answer(first + "," + swapped).mWrongResult, "a result of another task");
  passed &= Expect(answer(first).mOutcome == Outcome::Malformed, "a task is missing");
  passed &= Expect(answer(second + "," + first).mOutcome == Outcome::Malformed, "out of order");
  passed &= Expect(answer(first + "," + second, "failed").mWrongResult, "results of a failed job");
  passed &= Expect(answer(first + "," + second, "running").mOutcome == Outcome::Malformed,
                   "no final answer");
  const auto refusal =
    CheckAnswer(429, R"({"verdict":"not_run","code":"overloaded","message":""})", 1, 2, 2);
  passed &= Expect(refusal.mOutcome == Outcome::Refused && refusal.mVerdict == Verdict::NotRun,
                   "a refusal");
  passed &= Expect(CheckAnswer(500, "oops", 1, 2, 2).mOutcome == Outcome::Malformed, "no JSON");
  return passed;
}

/// Guards against undetected verdicts that contradict the workers' counts.
bool WrongVerdictsAreFound()
{
  const auto claims = [](Outcome aOutcome, Verdict aJob, std::vector<Verdict> aTasks) {
    Claims made;
    made.mSize = 2;
    ParsedAnswer answer;
    answer.mOutcome = aOutcome;
    answer.mVerdict = aJob;
    answer.mTasks = std::move(aTasks);
    AddClaims(made, answer);
    return made;
  };
  using enum Verdict;
  const auto complete = claims(Outcome::Complete, Ran, { Ran, Ran });
  bool passed = Expect(CountWrongClaims(complete, { 1, 1 }) == 0, "a true complete answer");
  passed &= Expect(CountWrongClaims(complete, { 1, 0 }) == 1, "complete with a missing task");
  const auto failed = claims(Outcome::Failed, Ran, { Ran, NotRun });
  passed &= Expect(CountWrongClaims(failed, { 1, 0 }) == 0, "a true failed answer");
  passed &= Expect(CountWrongClaims(failed, { 1, 1 }) == 1, "not run, but it ran");
  passed &= Expect(CountWrongClaims(failed, { 0, 0 }) == 1, "ran, but it did not");
  const auto refused = claims(Outcome::Refused, NotRun, {});
  passed &= Expect(CountWrongClaims(refused, { 0, 0 }) == 0, "a true refusal");
  passed &= Expect(CountWrongClaims(refused, { 0, 1 }) == 1, "a refused job that ran");
  const auto unknown = claims(Outcome::Failed, MayHaveRun, { MayHaveRun, NotRun });
  passed &=
    Expect(CountWrongClaims(unknown, { 1, 0 }) == 0 && CountWrongClaims(unknown, { 0, 0 }) == 0,
           "may have run is true either way");
  return passed;
}

/// Guards against off-by-one percentiles and result lines that are not valid JSON.
bool ReportsAreExact()
{
  Report report;
  for (int n = 100; n >= 1; --n) {
    AddSample(report.mSlowdown, n);
  }
  bool passed = Expect(Percentile(report.mSlowdown, 0.99) == 99, "99 of 100");
  passed &= Expect(Percentile(report.mSlowdown, 0.5) == 50, "50 of 100");
  passed &= Expect(Percentile(report.mSlowdown, 1) == 100, "the largest");
  report.mScenario = "a \"b\"";
  const auto line = ToJson(report);
  passed &= Expect(line.find('\n') == std::string::npos, "one line");
  passed &= Expect(boost::json::parse(line).at("scenario").as_string() == "a \"b\"", "JSON");
  return passed;
}

} // namespace

int main()
{
  bool passed = PlansFollowTheirDistributions();
  passed &= PlansRepeat();
  passed &= RatesAreChecked();
  passed &= AnswersAreChecked();
  passed &= WrongVerdictsAreFound();
  passed &= ReportsAreExact();
  return passed ? 0 : 1;
}
