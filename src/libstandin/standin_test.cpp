#include <pollenwall/standin/fault.h>
#include <pollenwall/standin/log_streams.h>
#include <pollenwall/standin/vm_list.h>
#include <pollenwall/standin/worker.h>

#include <iostream>
#include <set>

#include <boost/json.hpp>
#include <rapidcheck.h>

using namespace pollenwall;
using namespace pollenwall::standin;

namespace {

bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

/// Guards against a worker that accepts work late, while leaving or beyond its slots: each would
/// hide a fault of the dispatcher.
bool StartsAreRefused()
{
  UpstreamState state;
  state.mSlots = 1;
  bool passed = Expect(!CheckStart(state, 1000, 1000), "a start at its not-after runs");
  passed &= Expect(CheckStart(state, 1000, 1001) == ErrorCode::Expired, "a later one is expired");
  StartCounts counts;
  BeginRun(state, counts, "j/0", 1000);
  passed &=
    Expect(CheckStart(state, 2000, 1000) == ErrorCode::Overloaded, "a start without a free slot");
  state.mBusy = 0;
  state.mLeaving = true;
  passed &= Expect(CheckStart(state, 2000, 1000) == ErrorCode::Stopping, "leaving");
  passed &=
    Expect(state.mRefusedBusy == 1 && state.mRefusedLeaving == 1 && state.mRefusedExpired == 1,
           "refusals are counted by reason");
  return passed;
}

/// Guards against a count that misses duplicate starts or reports a first start as a duplicate.
bool DuplicatesAreCounted()
{
  return rc::check("duplicates are the starts beyond the first of each id", [] {
    const auto ids = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    StartCounts counts;
    for (const auto id : ids) {
      CountStart(counts, "job/" + std::to_string(id));
    }
    const std::set<int> distinct(ids.begin(), ids.end());
    RC_ASSERT(counts.mStarts == ids.size());
    RC_ASSERT(counts.mDuplicates == ids.size() - distinct.size());
    for (int id = 0; id < 30; ++id) {
      const auto n = std::count(ids.begin(), ids.end(), id);
      RC_ASSERT(StartCountOf(counts, "job/" + std::to_string(id)) == static_cast<std::uint32_t>(n));
    }
  });
}

/// Guards against memory that grows with the number of tasks, and against evicting recent ids.
bool CountsAreBounded()
{
  StartCounts counts;
  counts.mCapacity = 10;
  for (int id = 0; id < 25; ++id) {
    CountStart(counts, std::to_string(id));
  }
  bool passed = Expect(counts.mCounts.size() == 10, "no more ids than the capacity");
  passed &= Expect(counts.mEvicted == 15, "evicted ids are counted");
  passed &= Expect(StartCountOf(counts, "15") == 1 && StartCountOf(counts, "14") == 0,
                   "the oldest id is evicted first");
  return passed;
}

/// Guards against results that are not the echo of the task's own payload.
bool PayloadsAreParsed()
{
  const auto payload = ParsePayload(R"({"run_ms": 1.5, "echo": {"a": [1, "x"]}})");
  bool passed = Expect(payload && payload->mRunTime.count() == 1500, "a fraction of a millisecond");
  passed &= Expect(payload && payload->mEcho == R"({"a":[1,"x"]})", "the echo is kept");
  passed &= Expect(!ParsePayload("[1]") && !ParsePayload(R"({"run_ms": -1})") && !ParsePayload("{"),
                   "other JSON and invalid text are refused");
  const auto named = ParsePayload(R"({"key": "a/1"})");
  passed &=
    Expect(named && named->mKey == "a/1" && named->mEcho == R"("a/1")", "the key is echoed");
  const std::string large(100000, 'x');
  const auto big = ParsePayload(R"({"echo": ")" + large + "\"}");
  passed &= Expect(big && big->mEcho.size() == large.size() + 2, "a large payload");
  const auto nested = ParsePayload(R"({"echo": [)" + std::string(200, '1') + "]}");
  passed &= Expect(nested.has_value(), "a long number");
  std::string many = R"({"echo": [1)";
  for (int n = 0; n < 120; ++n) {
    many += ",[]";
  }
  passed &= Expect(ParsePayload(many + "]}").has_value(), "many small values");
  return passed;
}

/// Guards against offsets that are reused or skipped and against records kept beyond the limits,
/// which would hide a reader that relies on old records.
bool RetentionIsLimited()
{
  return rc::check("a stream keeps a suffix within its limits", [] {
    Stream stream;
    const StreamLimits limits{ std::chrono::milliseconds(100), 50 };
    UnixMs now = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 60), rc::gen::inRange(1, 60)));
    std::uint64_t appended = 0;
    for (const auto& [wait, size] : steps) {
      now += wait;
      RC_ASSERT(AppendRecord(stream, limits, std::string(size, 'x'), now) == appended);
      ++appended;
      ExpireRecords(stream, limits, now);
      std::size_t bytes = 0;
      auto offset = FirstOffset(stream);
      for (const auto& record : stream.mRecords) {
        RC_ASSERT(record.mOffset == offset++);
        RC_ASSERT(now - record.mAtMs <= 100);
        bytes += record.mData.size();
      }
      RC_ASSERT(offset == appended);
      RC_ASSERT(bytes == stream.mBytes);
      RC_ASSERT(bytes <= 50 || stream.mRecords.size() == 1);
    }
  });
}

/// Guards against reads that fail or skip records when their offset is no longer retained.
bool ReadsBeginAtTheOldestRecord()
{
  Stream stream;
  const StreamLimits limits{ std::chrono::milliseconds(1000), 3 };
  for (int n = 0; n < 5; ++n) {
    AppendRecord(stream, limits, std::to_string(n), 0);
  }
  const auto page = ReadRecords(stream, 0, 2, 1000);
  bool passed = Expect(page.mFirst == 2 && page.mNext == 4 && page.mEnd == 5, "page offsets");
  passed &= Expect(page.mRecords.size() == 2 && page.mRecords[0]->mData == "2", "page records");
  const auto text = boost::json::parse(PageToJson(page));
  passed &= Expect(text.at("records").as_array()[1].at("data").as_string() == "3", "page text");
  const auto rest = ReadRecords(stream, 9, 2, 1000);
  passed &= Expect(rest.mNext == 5 && rest.mRecords.empty(), "a read beyond the end");
  return passed;
}

/// Guards against a log that takes more appends than its rate allows.
bool AppendsAreLimited()
{
  RateLimiter limiter{ 10, 5, 5, Time() };
  int taken = 0;
  for (int n = 0; n < 1000; ++n) {
    taken += TakeToken(limiter, Time(std::chrono::milliseconds(n))) ? 1 : 0;
  }
  return Expect(taken == 14 || taken == 15, "5 at once and 10 in a second");
}

/// Guards against faults that leak to other ports or addresses or outlive their count or time.
bool FaultsHaveScopes()
{
  ActiveFaults faults;
  const Time now{};
  const FaultScope a{ "127.0.0.1", 1 };
  const FaultScope b{ "127.0.0.2", 1 };
  SetFault(faults, { "", 1 }, { FaultKind::Drop, {}, 2 }, now);
  SetFault(faults, { "127.0.0.2", 0 }, { FaultKind::Outage, std::chrono::milliseconds(5) }, now);
  bool passed = Expect(TakeFault(faults, a, now).mKind == FaultKind::Drop, "a fault by port");
  passed &= Expect(TakeFault(faults, b, now).mKind == FaultKind::Outage,
                   "a scope by address wins over one by port");
  passed &= Expect(TakeFault(faults, { "127.0.0.1", 2 }, now).mKind == FaultKind::None, "other");
  const auto later = now + std::chrono::milliseconds(5);
  passed &= Expect(TakeFault(faults, b, later).mKind == FaultKind::Drop, "the outage is over");
  passed &=
    Expect(TakeFault(faults, a, later).mKind == FaultKind::None, "the fault ends after its count");
  SetFault(faults, {}, { FaultKind::Fail }, now);
  passed &= Expect(TakeFault(faults, a, now).mKind == FaultKind::Fail, "any");
  SetFault(faults, {}, {}, now);
  passed &= Expect(faults.mByScope.empty(), "none for any scope removes all");
  return passed;
}

/// Guards against commands that are misread as another fault.
bool FaultCommandsAreChecked()
{
  std::string problem;
  const auto command =
    ParseFaultCommand(R"({"kind": "late", "ms": 7, "count": 2, "port": 9})", problem);
  bool passed = Expect(command && command->mFault.mKind == FaultKind::Late &&
                         command->mFault.mDuration.count() == 7 && command->mFault.mCount == 2 &&
                         command->mScope.mPort == 9,
                       "a whole command");
  passed &= Expect(!ParseFaultCommand(R"({"kind": "slow"})", problem), "an unknown kind");
  passed &= Expect(!ParseFaultCommand(R"({"kind": "drop", "ms": -1})", problem), "a negative time");
  passed &= Expect(!ParseFaultCommand("[]", problem), "a body that is not an object");
  return passed;
}

/// Guards against a list that shows changes before the lag has passed, or out of order.
bool ChangesAppearAfterTheLag()
{
  VmTable table;
  table.mLag = std::chrono::milliseconds(100);
  std::string problem;
  const auto change = [&](std::string_view aBody, UnixMs aNow) {
    auto parsed = ParseVmChange(aBody, problem);
    ChangeVms(table, parsed.value(), aNow);
  };
  const auto shown = [&](UnixMs aNow) {
    return boost::json::parse(ListVms(table, aNow)).at("vms").as_array().size();
  };
  change(R"({"vms": [{"address": "1", "role": "worker"}], "at_once": true})", 0);
  bool passed = Expect(shown(0) == 1, "visible at once");
  change(R"({"put": [{"address": "2", "role": "entry", "state": "leaving"}]})", 10);
  passed &= Expect(shown(109) == 1 && shown(110) == 2, "visible after the lag");
  change(R"({"delete": ["1"]})", 120);
  change(R"({"put": [{"address": "1", "role": "worker"}], "lag_ms": 0})", 130);
  passed &= Expect(shown(219) == 2, "a change with a shorter lag does not overtake");
  passed &= Expect(shown(220) == 2, "the last change wins");
  passed &= Expect(!ParseVmChange(R"({"put": [{"address": "1"}]})", problem), "a role is needed");
  passed &= Expect(!ParseVmChange(R"({"add": []})", problem), "an unknown key");
  return passed;
}

} // namespace

int main()
{
  bool passed = StartsAreRefused();
  passed &= DuplicatesAreCounted();
  passed &= CountsAreBounded();
  passed &= PayloadsAreParsed();
  passed &= RetentionIsLimited();
  passed &= ReadsBeginAtTheOldestRecord();
  passed &= AppendsAreLimited();
  passed &= FaultsHaveScopes();
  passed &= FaultCommandsAreChecked();
  passed &= ChangesAppearAfterTheLag();
  return passed ? 0 : 1;
}
