#include <pollenwall/configuration_log.h>
#include <pollenwall/configuration_yaml.h>

#include <iostream>

using namespace pollenwall;
using namespace pollenwall::configuration;

namespace {

bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

/// One data centre, one worker, one service, their upstream and a team.
Configuration Small()
{
  Configuration small;
  PutItem(small, DataCentre{ "north", "south-east", std::chrono::microseconds(1000) });
  PutItem(small, Worker{ "w1", "north", "r1", "127.0.0.1", 64, std::uint64_t{ 1 } << 37, 0 });
  PutItem(small, Service{ "dispatch", { "quote", "route-reshuffle" } });
  PutItem(small, Upstream{ "dispatch", "w1", 9000, 8, 60 });
  PutItem(small, Team{ "team-1", 1.5, 100, 0.1 });
  return small;
}

/// Guards against a text form that loses a field, so that readers of the log differ from the file
/// that the operator published.
bool TextFormsKeepEveryField()
{
  const auto small = Small();
  yaml::Report report{ "small.yaml", {} };
  bool passed = Expect(ParseDocument(report, PrintDocument(small)) == small, "document round trip");
  for (const auto& item : ItemsOf(small)) {
    const auto parsed = ParseItem(report, KeyOf(item), PrintItem(item));
    passed &= Expect(parsed && *parsed == item, "item round trip");
  }
  return passed & Expect(report.mProblems.empty(), "no problems");
}

/// Guards against the loser of a race taking effect, a repeated append taking effect twice, and an
/// invalid record changing anything.
bool OutcomesOfAChange()
{
  ConfigurationLog log;
  const auto first = MakeChange(*log.mConfiguration, Small(), "a");
  auto outcome = ApplyRecord(log, 0, 1, ChangeRecord(first));
  bool passed = Expect(outcome.mKind == OutcomeKind::Accepted && outcome.mVersion == 1, "accepted");
  auto expected = Small();
  expected.mVersion = 1;
  passed &= Expect(*log.mConfiguration == expected, "the configuration is in force");
  outcome = ApplyRecord(log, 1, 2, ChangeRecord(first));
  passed &= Expect(outcome.mKind == OutcomeKind::Duplicate && outcome.mVersion == 1, "duplicate");
  auto loser = first;
  loser.mId = "b";
  outcome = ApplyRecord(log, 2, 3, ChangeRecord(loser));
  passed &= Expect(outcome.mKind == OutcomeKind::LostRace && outcome.mVersion == 1, "lost race");
  const Change orphaning{ "c", 1, {}, { "worker/w1" } };
  outcome = ApplyRecord(log, 3, 4, ChangeRecord(orphaning));
  passed &= Expect(outcome.mKind == OutcomeKind::Invalid && outcome.mProblems.size() == 1,
                   "a worker in use is not deleted");
  const Change deleting{ "d", 1, {}, { "worker/w1", "upstream/dispatch/w1" } };
  outcome = ApplyRecord(log, 4, 5, ChangeRecord(deleting));
  passed &= Expect(outcome.mKind == OutcomeKind::Accepted && outcome.mVersion == 2, "deleted");
  passed &= Expect(log.mConfiguration->mUpstreams.empty() && log.mReferences.mEndpoints.empty(),
                   "nothing of the upstream is left");
  return passed;
}

} // namespace

int main()
{
  bool passed = TextFormsKeepEveryField();
  passed &= OutcomesOfAChange();
  return passed ? 0 : 1;
}
