#include <pollenwall/configuration_log.h>
#include <pollenwall/configuration_yaml.h>

#include <iostream>

#include <rapidcheck.h>

#include "packed.h"

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
Configuration SmallConfiguration()
{
  Configuration small;
  PutItem(small, DataCentre{ "north", "south-east", std::chrono::microseconds(1000) });
  PutItem(
    small,
    Worker{
      "w1", "north", "r1", "127.0.0.1", 64 * kMilliCoresPerCore, std::uint64_t{ 1 } << 37, 0 });
  PutItem(small, Service{ "dispatch", { "quote", "route-reshuffle" } });
  PutItem(small, Upstream{ "dispatch", "w1", 9000, 8, 60 });
  PutItem(small, Team{ "team-1", 1.5, 100, 0.1 });
  return small;
}

/// Guards against a YAML form that loses a field, so that the readers' configuration differs from
/// the file that the operator published.
bool TextFormsKeepEveryField()
{
  const auto small = SmallConfiguration();
  yaml::Report report{ "small.yaml", {} };
  bool passed = Expect(ParseDocument(report, PrintDocument(small)) == small, "document round trip");
  for (const auto& item : ItemsOf(small)) {
    const auto parsed = ParseItem(report, KeyOf(item), PrintItem(item));
    passed &= Expect(parsed && *parsed == item, "item round trip");
  }
  return passed & Expect(report.mProblems.empty(), "no problems");
}

/// Guards against a change that lost a race and takes effect, a repeated append that takes effect
/// twice, and an invalid record that has an effect.
bool OutcomesOfAChange()
{
  ConfigurationLog log;
  const auto first = MakeChange(*log.mConfiguration, SmallConfiguration(), "a");
  auto outcome = ApplyRecord(log, 0, 1, ChangeRecord(first));
  bool passed = Expect(outcome.mKind == OutcomeKind::Accepted && outcome.mVersion == 1, "accepted");
  auto expected = SmallConfiguration();
  expected.mVersion = 1;
  passed &= Expect(*log.mConfiguration == expected, "the configuration has the change");
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

/// Guards against references that are checked before the other items of the same change are
/// considered, so that a valid change is rejected or an invalid one accepted.
bool ReferencesAreThoseAfterTheChange()
{
  struct Case
  {
    std::string_view mName;
    std::map<std::string, std::string, std::less<>> mPuts;
    std::set<std::string, std::less<>> mDeletes;
    bool mAccepted;
  };
  const std::string second = "{data_centre: north, address: 127.0.0.1}";
  const Case cases[] = {
    { "an upstream with its worker",
      { { "worker/w2", second }, { "upstream/dispatch/w2", "{port: 9001}" } },
      {},
      true },
    { "an upstream of an unknown worker",
      { { "upstream/dispatch/w2", "{port: 9001}" } },
      {},
      false },
    { "an upstream of an unknown service", { { "upstream/other/w1", "{port: 9001}" } }, {}, false },
    { "a worker of an unknown data centre",
      { { "worker/w2", "{data_centre: x, address: 1.1.1.1}" } },
      {},
      false },
    { "a worker moved off a deleted data centre",
      { { "data_centre/south", "{}" },
        { "worker/w1", "{data_centre: south, address: 127.0.0.1}" } },
      { "data_centre/north" },
      true },
    { "a data centre in use", {}, { "data_centre/north" }, false },
    { "a service in use", {}, { "service/dispatch" }, false },
    { "a service with its upstreams", {}, { "service/dispatch", "upstream/dispatch/w1" }, true },
    { "an unknown key deleted", {}, { "team/none" }, false },
    { "a key put and deleted", { { "team/team-1", "{}" } }, { "team/team-1" }, false },
    { "an endpoint in use",
      { { "worker/w2", second }, { "upstream/dispatch/w2", "{port: 9000}" } },
      {},
      false },
    { "an endpoint taken over from a deleted upstream",
      { { "worker/w2", second }, { "upstream/dispatch/w2", "{port: 9000}" } },
      { "upstream/dispatch/w1" },
      true },
    { "two upstreams of one change with the same endpoint",
      { { "service/s2", "{}" },
        { "upstream/dispatch/w1", "{port: 1}" },
        { "upstream/s2/w1", "{port: 1}" } },
      {},
      false },
    { "a malformed key", { { "worker/a/b", second } }, {}, false },
    { "a value that is not a mapping", { { "team/t", "text" } }, {}, false },
    { "an unknown field", { { "team/t", "{wait: 1}" } }, {}, false },
    { "nothing", {}, {}, false },
  };
  bool passed = true;
  for (const auto& it : cases) {
    ConfigurationLog log;
    ApplyRecord(
      log, 0, 1, ChangeRecord(MakeChange(*log.mConfiguration, SmallConfiguration(), "a")));
    const auto before = log.mConfiguration;
    const auto outcome = ApplyRecord(log, 1, 2, ChangeRecord({ "b", 1, it.mPuts, it.mDeletes }));
    const bool accepted = outcome.mKind == OutcomeKind::Accepted;
    passed &= Expect(accepted == it.mAccepted, it.mName);
    passed &= Expect(accepted || (log.mConfiguration == before && !outcome.mProblems.empty()),
                     "an invalid record has no effect and its problems are reported");
  }
  return passed;
}

/// Guards against a rejected exchange of the addresses of two workers in one change, and against an
/// endpoint that stays reserved after its upstream has got another address.
bool EndpointsFollowAddresses()
{
  ConfigurationLog log;
  auto wanted = SmallConfiguration();
  PutItem(wanted, Worker{ "w2", "north", "r1", "127.0.0.2" });
  PutItem(wanted, Upstream{ "dispatch", "w2", 9000 });
  ApplyRecord(log, 0, 1, ChangeRecord(MakeChange(*log.mConfiguration, wanted, "a")));
  std::swap(wanted.mWorkers.at("w1").mAddress, wanted.mWorkers.at("w2").mAddress);
  auto outcome = ApplyRecord(log, 1, 2, ChangeRecord(MakeChange(*log.mConfiguration, wanted, "b")));
  bool passed = Expect(outcome.mVersion == 2, "addresses exchanged");
  wanted.mWorkers.at("w1").mAddress = "127.0.0.3";
  outcome = ApplyRecord(log, 2, 3, ChangeRecord(MakeChange(*log.mConfiguration, wanted, "c")));
  wanted.mWorkers.at("w2").mAddress = "127.0.0.2";
  outcome = ApplyRecord(log, 3, 4, ChangeRecord(MakeChange(*log.mConfiguration, wanted, "d")));
  passed &=
    Expect(outcome.mKind == OutcomeKind::Accepted && outcome.mVersion == 4, "address reused");
  wanted.mWorkers.at("w2").mAddress = "127.0.0.3";
  outcome = ApplyRecord(log, 4, 5, ChangeRecord(MakeChange(*log.mConfiguration, wanted, "e")));
  return passed & Expect(outcome.mKind == OutcomeKind::Invalid, "an address in use is refused");
}

/// Guards against a change to a configuration object that is in use elsewhere.
bool AHeldConfigurationNeverChanges()
{
  ConfigurationLog log;
  ApplyRecord(log, 0, 1, ChangeRecord(MakeChange(*log.mConfiguration, SmallConfiguration(), "a")));
  const auto held = log.mConfiguration;
  ApplyRecord(log, 1, 2, ChangeRecord({ "b", 1, {}, { "team/team-1" } }));
  return Expect(held->mVersion == 1 && held->mTeams.size() == 1,
                "the held configuration is unchanged") &
         Expect(log.mConfiguration->mTeams.empty(), "the new version has the change");
}

/// A text with a few random edits.
std::string Damaged(std::string aText)
{
  const auto edits = *rc::gen::inRange(0, 5);
  for (int n = 0; n < edits && !aText.empty(); ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 12);
    const auto piece = *rc::gen::element<std::string>("",
                                                      "0",
                                                      "-1",
                                                      "1e9",
                                                      "18446744073709551615",
                                                      "{",
                                                      "}",
                                                      "[]",
                                                      "\"",
                                                      ":",
                                                      ",",
                                                      "\n",
                                                      "/",
                                                      "null",
                                                      "w1",
                                                      "~",
                                                      "&a",
                                                      "*a",
                                                      "!!x",
                                                      "\\u0000",
                                                      "\x80",
                                                      "- ",
                                                      "team/",
                                                      "{}");
    aText.replace(at, length, piece);
  }
  return aText;
}

/// Guards against a damaged log record or peer's snapshot that ends the process, or that is
/// accepted although a snapshot of the result is not.
bool DamagedRecordsAreHandled()
{
  ConfigurationLog base;
  ApplyRecord(
    base, 0, 1, ChangeRecord(MakeChange(*base.mConfiguration, SmallConfiguration(), "a")));
  auto other = *base.mConfiguration;
  other.mTeams.at("team-1").mWeight = 9;
  PutItem(other, Worker{ "w2", "north", "r2", "127.0.0.2" });
  const std::string texts[] = { ChangeRecord(MakeChange(*base.mConfiguration, other, "b")),
                                SnapshotRecord(base),
                                RestoreRecord(other, "c", 1),
                                "{}" };
  return rc::check("damaged records are accepted or reported", [&] {
    auto log = base;
    if (*rc::gen::inRange(0, 2) == 0) {
      log = {};
      NoteOldestOffset(log, 1);
    }
    const auto before = VersionOf(log);
    const auto text = Damaged(texts[*rc::gen::inRange<std::size_t>(0, 4)]);
    const auto outcome =
      *rc::gen::inRange(0, 4) == 0 ? AdoptSnapshot(log, text) : ApplyRecord(log, 1, 2, text);
    RC_CLASSIFY(outcome.mKind == OutcomeKind::Invalid, "invalid");
    RC_CLASSIFY(VersionOf(log) > before, "took effect");
    RC_ASSERT(VersionOf(log) >= before);
    RC_ASSERT((outcome.mKind == OutcomeKind::Invalid) == !outcome.mProblems.empty());
    if (VersionOf(log) == before) {
      RC_ASSERT(log.mConfiguration->mTeams ==
                (before == 0 ? decltype(other.mTeams){} : base.mConfiguration->mTeams));
      return;
    }
    ConfigurationLog fresh;
    AdoptSnapshot(fresh, SnapshotRecord(log));
    RC_ASSERT(*fresh.mConfiguration == *log.mConfiguration);
    RC_ASSERT(fresh.mReferences == log.mReferences);
  });
}

/// Guards against a damaged document that ends the tool, and against one that is accepted but
/// changes when it is printed and parsed again.
bool DamagedDocumentsAreReported()
{
  const auto text = PrintDocument(SmallConfiguration());
  return rc::check("damaged documents are read or reported", [&text] {
    yaml::Report report{ "fuzz.yaml", {} };
    const auto parsed = ParseDocument(report, Damaged(text));
    RC_CLASSIFY(report.mProblems.empty(), "accepted");
    if (!report.mProblems.empty()) {
      return;
    }
    yaml::Report again{ "again.yaml", {} };
    RC_ASSERT(ParseDocument(again, PrintDocument(parsed)) == parsed);
    RC_ASSERT(again.mProblems.empty());
    ConfigurationLog log;
    const auto change = MakeChange(*log.mConfiguration, parsed, "a");
    if (!change.mPuts.empty()) {
      RC_ASSERT(ApplyRecord(log, 0, 1, ChangeRecord(change)).mKind == OutcomeKind::Accepted);
    }
  });
}

/// Guards against large records that exceed the log service's limit or lose items, and against
/// unpacking without a limit on the size.
bool LargeRecordsArePacked()
{
  constexpr std::size_t kServices = 10000;
  constexpr std::size_t kMebibyte = 1024 * 1024;
  ConfigurationLog log;
  auto wanted = SmallConfiguration();
  for (std::size_t n = 0; n < kServices; ++n) {
    PutItem(wanted, Service{ "service-" + std::to_string(n) });
  }
  const auto record = ChangeRecord(MakeChange(*log.mConfiguration, wanted, "a"));
  bool passed = Expect(record.size() < kMebibyte, "a large change fits into a record");
  passed &= Expect(ApplyRecord(log, 0, 1, record).mKind == OutcomeKind::Accepted, "accepted");
  wanted.mVersion = 1;
  passed &= Expect(*log.mConfiguration == wanted, "no item is lost");
  ConfigurationLog reader;
  NoteOldestOffset(reader, 1);
  passed &=
    Expect(ApplyRecord(reader, 1, 2, SnapshotRecord(log)).mKind == OutcomeKind::SnapshotAdopted &&
             *reader.mConfiguration == wanted,
           "a packed snapshot is adopted");
  ConfigurationLog restored;
  passed &= Expect(ApplyRecord(restored, 0, 1, RestoreRecord(wanted, "r", 0)).mVersion == 1 &&
                     *restored.mConfiguration == wanted,
                   "a packed restore takes effect");
  const auto packed = Pack(std::string(kMebibyte, 'a'));
  passed &= Expect(!Unpack(packed, kMebibyte - 1), "a text over the limit is rejected");
  passed &= Expect(Unpack(packed, kMebibyte + 1) == std::string(kMebibyte, 'a'),
                   "a text within the limit is unpacked");
  return passed;
}

/// Guards against malformed packed data that ends the process.
bool DamagedPacksAreRefused()
{
  return rc::check("packed texts are unpacked unchanged, damaged ones rejected or unpacked", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element('a', 'b', '{', '"'));
    const auto packed = Pack(text);
    RC_ASSERT(Unpack(packed, text.size() + 1) == text);
    const auto damaged = Unpack(Damaged(packed), 1000);
    RC_ASSERT(!damaged || damaged->size() <= 1000);
    const auto noise = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ABCDEFabcdef0123456789+/=")));
    (void)Unpack(noise, 1000);
  });
}

} // namespace

int main()
{
  bool passed = TextFormsKeepEveryField();
  passed &= OutcomesOfAChange();
  passed &= ReferencesAreThoseAfterTheChange();
  passed &= EndpointsFollowAddresses();
  passed &= AHeldConfigurationNeverChanges();
  passed &= LargeRecordsArePacked();
  passed &= DamagedPacksAreRefused();
  passed &= DamagedRecordsAreHandled();
  passed &= DamagedDocumentsAreReported();
  return passed ? 0 : 1;
}
