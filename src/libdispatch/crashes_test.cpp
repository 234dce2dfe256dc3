#include <iostream>

#include "crashes.h"

namespace {

using namespace pollenwall;
using namespace pollenwall::crashes;
using std::chrono::seconds;

constexpr Incarnation kReporter{ 1 };

bool Expect(bool aCondition, std::string_view aWhat)
{
  if (!aCondition) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aCondition;
}

struct Log
{
  State mState;
  Now mNow{ Time{ seconds(1000) }, 0 };
  std::uint64_t mLastNumber = 0;
};

/// Records a crash under these tasks and returns those that are deadly.
std::vector<TaskId> Crashed(Log& aLog, std::vector<TaskId> aTasks)
{
  return Record(aLog.mState,
                { kReporter, ++aLog.mLastNumber, CrashState::Confirmed, std::move(aTasks) },
                aLog.mNow);
}

/// Guards against a task that is given up for what another task does.
bool TheCommonTaskIsDeadly()
{
  Log log;
  bool ok = Expect(Crashed(log, { { "a", 0 }, { "b", 0 } }).empty(), "one crash proves nothing");
  ok &= Expect(Crashed(log, { { "a", 0 }, { "c", 0 } }) == std::vector<TaskId>{ { "a", 0 } },
               "the task that both crashes have in common is deadly");
  ok &= Expect(Crashed(log, { { "b", 0 }, { "d", 0 } }).empty(),
               "a crash that a deadly task explains does not count for the tasks beside it");
  ok &= Expect(FindDeadlyTask(log.mState, "a") == 0U, "a submission of the job finds the task");
  return Expect(!FindDeadlyTask(log.mState, "b"), "the other jobs are not affected") && ok;
}

/// Guards against tasks that are started without a limit because they always crash together.
bool TheThirdCrashDecides()
{
  Log log;
  const std::vector<TaskId> both{ { "a", 0 }, { "b", 0 } };
  bool ok = Expect(Crashed(log, both).empty() && Crashed(log, both).empty(),
                   "two crashes do not tell which of two tasks is the cause");
  return Expect(Crashed(log, both) == both, "no task is started after three crashes") && ok;
}

/// Guards against a job whose deadly task is not found because its tasks share all upstreams.
bool TasksOfOneJobFailTogether()
{
  Log log;
  const std::vector<TaskId> both{ { "a", 0 }, { "a", 1 } };
  return Expect(Crashed(log, both).empty() && Crashed(log, both) == both,
                "tasks of one job fail together");
}

/// Guards against a crash that counts twice because two entries pass on its report.
bool CopiesCountOnce()
{
  Log log;
  const CrashReport report{ kReporter, 7, CrashState::Confirmed, { { "a", 0 } } };
  bool ok = true;
  for (int n = 0; n < 5; ++n) {
    ok &= Expect(Record(log.mState, report, log.mNow).empty(), "a copy counts once");
  }
  return ok;
}

/// Guards against a task that is given up, or kept waiting for ever, because its upstreams were
/// silent for a while, and against one that is started without a limit meanwhile.
bool SilentUpstreamsAreNotBlamed()
{
  Log log;
  const TaskId task{ "a", 0 };
  const auto report = [&](std::uint64_t aNumber, CrashState aState) {
    return Record(log.mState, { kReporter, aNumber, aState, { task } }, log.mNow);
  };
  bool ok = true;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    ok &= Expect(!IsOnHold(log.mState, task), "a task may start after fewer than three losses");
    ok &= Expect(report(n, CrashState::Suspected).empty(), "a suspicion makes no task deadly");
  }
  ok &= Expect(IsOnHold(log.mState, task), "a task is on hold while three upstreams are silent");
  ok &= Expect(report(2, CrashState::Cleared).empty() && !IsOnHold(log.mState, task),
               "it may start again when one of them answers");
  ok &= Expect(report(1, CrashState::Confirmed).empty(), "one confirmed crash proves nothing");
  return Expect(report(3, CrashState::Confirmed) == std::vector<TaskId>{ task },
                "it is deadly when two of them have crashed") &&
         ok;
}

/// Guards against a sound job that is given up after cuts that reset connections, and against a
/// deadly task that is started a third time before its crashes are proven.
bool RefusedConnectionsAreNoProof()
{
  Log log;
  const TaskId task{ "a", 0 };
  const auto report = [&](std::uint64_t aNumber, CrashState aState) {
    return Record(log.mState, { kReporter, aNumber, aState, { task } }, log.mNow);
  };
  bool ok = Expect(report(1, CrashState::Refused).empty() && !IsOnHold(log.mState, task),
                   "a task may start again after one refusal");
  ok &= Expect(report(2, CrashState::Refused).empty(), "refused connections make no task deadly");
  ok &= Expect(IsOnHold(log.mState, task), "a task is on hold after two");
  ok &= Expect(report(1, CrashState::Confirmed).empty(), "a crash and a refusal prove nothing");
  ok &= Expect(report(2, CrashState::Cleared).empty() && !IsOnHold(log.mState, task),
               "it may start again when the same process answers");
  ok &= Expect(report(2, CrashState::Refused).empty() && !IsOnHold(log.mState, task),
               "a late copy of a withdrawn report changes nothing");
  ok &= Expect(report(3, CrashState::Refused).empty() && IsOnHold(log.mState, task),
               "the next refusal holds it back again");
  ok &= Expect(!FindDeadlyTask(log.mState, "a"), "it is not deadly so far");
  return Expect(report(3, CrashState::Confirmed) == std::vector<TaskId>{ task },
                "it is deadly when both processes are known to have ended") &&
         ok;
}

/// Guards against sound jobs that are given up on a day on which many upstreams crash, each under
/// other tasks, and against a deadly task that is started without a limit meanwhile.
bool CoincidencesAreNoProof()
{
  Log log;
  for (int n = 0; n < 10; ++n) {
    Crashed(log, { { "sound" + std::to_string(n), 0 } });
  }
  log.mNow.mTime += Duration(seconds(3));
  const std::vector<TaskId> task{ { "a", 0 } };
  bool ok = Expect(Crashed(log, task).empty() && Crashed(log, task).empty(),
                   "two crashes prove nothing among many others");
  ok &= Expect(!IsOnHold(log.mState, task.front()), "the task may be started a third time");
  ok &= Expect(Crashed(log, task) == task, "no task is started after three crashes");
  log.mNow.mTime += Duration(seconds(31));
  const std::vector<TaskId> other{ { "b", 0 } };
  return Expect(Crashed(log, other).empty() && Crashed(log, other) == other,
                "two crashes are proof again when the others have stopped") &&
         ok;
}

/// Guards against suspicions that nobody decides because their reporter has died, and against those
/// that are decided without proof.
bool AnotherEntryDecides()
{
  Log log;
  constexpr UnixMs kBorn = 1000;
  const auto suspect = [&](std::uint64_t aNumber, std::optional<UnixMs> aBorn, bool aBegan) {
    Record(log.mState,
           { kReporter, aNumber, CrashState::Suspected, { { "a", 0 } }, "up", aBorn, aBegan },
           log.mNow);
  };
  const auto decided = [&](std::string_view aUpstream, std::optional<UnixMs> aBorn) {
    std::vector<std::pair<std::uint64_t, CrashState>> found;
    for (const auto& report : FindDecided(log.mState, aUpstream, aBorn)) {
      found.emplace_back(report.mNumber, report.mState);
    }
    return found;
  };
  using Found = std::vector<std::pair<std::uint64_t, CrashState>>;
  suspect(1, kBorn, true);
  suspect(2, kBorn, false);
  suspect(3, std::nullopt, true);
  bool ok = Expect(decided("other", kBorn).empty(), "other upstreams show nothing");
  ok &=
    Expect(decided("up", kBorn) == Found{ { 1, CrashState::Cleared }, { 2, CrashState::Cleared } },
           "the same process withdraws both suspicions");
  ok &= Expect(decided("up", kBorn + 1) == Found{ { 1, CrashState::Confirmed } },
               "a new process is proof only for runs that had begun");
  ok &= Expect(decided("up", std::nullopt) ==
                 Found{ { 1, CrashState::Confirmed }, { 3, CrashState::Confirmed } },
               "so is a process with another id");
  for (auto& report : FindDecided(log.mState, "up", std::nullopt)) {
    Record(log.mState, report, log.mNow);
  }
  return Expect(decided("up", std::nullopt).empty(), "each crash is decided once") && ok;
}

/// Guards against memory that grows with the number of crashes, or that is never freed.
bool MemoryIsBounded()
{
  Log log;
  for (std::size_t n = 0; n < 2 * kMaxCrashesKept; ++n) {
    Crashed(log, { { "job" + std::to_string(n), 0 }, { "job" + std::to_string(n + 1), 0 } });
    Forget(log.mState, log.mNow);
  }
  bool ok = Expect(log.mState.mCrashes.size() <= kMaxCrashesKept &&
                     log.mState.mSuspects.size() <= 2 * kMaxCrashesKept,
                   "the number of crashes that are kept is bounded");
  log.mNow.mTime += Duration(kRetention) + Duration(seconds(1));
  Forget(log.mState, log.mNow);
  return Expect(log.mState.mCrashes.empty() && log.mState.mSuspects.empty() &&
                  log.mState.mOldest.empty() && log.mState.mUndecided.empty(),
                "old crashes are forgotten") &&
         ok;
}

} // namespace

int main()
{
  bool ok = TheCommonTaskIsDeadly();
  ok &= TheThirdCrashDecides();
  ok &= TasksOfOneJobFailTogether();
  ok &= CopiesCountOnce();
  ok &= SilentUpstreamsAreNotBlamed();
  ok &= RefusedConnectionsAreNoProof();
  ok &= AnotherEntryDecides();
  ok &= CoincidencesAreNoProof();
  ok &= MemoryIsBounded();
  std::cout << (ok ? "passed" : "failed") << "\n";
  return ok ? 0 : 1;
}
