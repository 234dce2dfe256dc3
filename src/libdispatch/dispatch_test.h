#pragma once

#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/dispatch.h>

namespace pollenwall::test {

/// Reports a failed expectation. Returns whether the condition holds.
inline bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

/// Runs a property that is expected to fail, without the output of RapidCheck.
template<typename Check>
bool Fails(Check aCheck)
{
  auto* shown = std::cerr.rdbuf(nullptr);
  const bool failed = !aCheck();
  std::cerr.rdbuf(shown);
  std::cerr.clear();
  return failed;
}

/// The size of a test configuration: one service "s", workers w0, w1, ... in racks of six, teams
/// t0, t1, ...
struct Layout
{
  std::uint32_t mWorkers = 4;
  std::uint32_t mSlots = 8;
  std::uint32_t mTeams = 2;
  std::uint32_t mAccelerators = 0; ///< Of every fourth worker.
  double mStartsPerSecond = 1e9;
  configuration::Version mVersion = 1;
};

std::shared_ptr<configuration::Configuration> MakeConfiguration(const Layout& aLayout);

/// A dispatch state with a simulated clock.
struct Fixture
{
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mState;
  Now mNow{ Time{ std::chrono::seconds(1000) }, 1'700'000'000'000 };
  dispatch::Actions mActions; ///< Of the last event.
  std::uint64_t mNextJob = 0;
};

/// A state with the configuration applied and credits for all slots of all workers.
Fixture MakeFixture(const Layout& aLayout,
                    const dispatch::Options& aOptions = { .mDataCentre = "dc" });

void Advance(Fixture& aFixture, Duration aTime);

/// Applies an event and stores the resulting actions in mActions.
void Handle(Fixture& aFixture, const dispatch::Event& aEvent);

/// Submits a job of equal tasks and returns its id. Its request is the job's number, from 1.
std::string SubmitJob(Fixture& aFixture,
                      std::uint32_t aTasks,
                      std::chrono::milliseconds aDeclared = std::chrono::milliseconds(100),
                      std::string_view aTeam = "t0",
                      std::chrono::milliseconds aDeadline = std::chrono::seconds(30));

template<typename Kind>
std::vector<Kind> ActionsOf(const dispatch::Actions& aActions)
{
  std::vector<Kind> found;
  for (const auto& action : aActions) {
    if (const auto* kind = std::get_if<Kind>(&action)) {
      found.push_back(*kind);
    }
  }
  return found;
}

/// The event that ends a start with the given outcome.
dispatch::TaskEnded Ended(const dispatch::StartTask& aStart, TaskOutcome aOutcome);

TaskOutcome RanWell(Duration aRunTime = std::chrono::milliseconds(100));
TaskOutcome Failed(Verdict aVerdict, ErrorCode aCode);

std::uint64_t Counter(const Fixture& aFixture, std::string_view aName);

// The tests of each file; true when they pass.
bool InvariantTests();
bool LookAheadTests();
bool MemoryTests();
bool PolicyTests();
bool QueueTests();
bool ShortageTests();

} // namespace pollenwall::test
