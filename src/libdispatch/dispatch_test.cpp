#include "dispatch_test.h"

#include <cstdlib>

namespace pollenwall::test {

std::shared_ptr<configuration::Configuration> MakeConfiguration(const Layout& aLayout)
{
  auto made = std::make_shared<configuration::Configuration>();
  made->mVersion = aLayout.mVersion;
  made->mDataCentres["dc"] = { "dc", "region" };
  configuration::Service service;
  service.mName = "s";
  made->mServices["s"] = service;
  for (std::uint32_t n = 0; n < aLayout.mWorkers; ++n) {
    const auto name = "w" + std::to_string(n);
    configuration::Worker worker;
    worker.mName = name;
    worker.mDataCentre = "dc";
    worker.mRack = "rack" + std::to_string(n / 6);
    worker.mAddress = "127.0.0.1";
    worker.mMilliCores = 32 * kMilliCoresPerCore;
    worker.mMemoryBytes = std::uint64_t{ 64 } << 30;
    worker.mAccelerators = n % 4 == 0 ? aLayout.mAccelerators : 0;
    made->mWorkers[name] = worker;
    configuration::Upstream upstream;
    upstream.mService = "s";
    upstream.mWorker = name;
    upstream.mPort = static_cast<std::uint16_t>(9000 + n);
    upstream.mSlots = aLayout.mSlots;
    made->mUpstreams["s/" + name] = upstream;
  }
  for (std::uint32_t n = 0; n < aLayout.mTeams; ++n) {
    const auto name = "t" + std::to_string(n);
    made->mTeams[name] = { name, 1, aLayout.mStartsPerSecond, aLayout.mStartsPerSecond };
  }
  return made;
}

Fixture MakeFixture(const Layout& aLayout, const dispatch::Options& aOptions)
{
  Fixture fixture{ dispatch::MakeState(aOptions, 1) };
  Handle(fixture, dispatch::ConfigurationApplied{ MakeConfiguration(aLayout) });
  for (std::uint32_t n = 0; n < aLayout.mWorkers; ++n) {
    Handle(fixture, dispatch::SetCredits{ "s/w" + std::to_string(n), aLayout.mSlots });
  }
  return fixture;
}

void Advance(Fixture& aFixture, Duration aTime)
{
  aFixture.mNow.mTime += aTime;
  aFixture.mNow.mUnixMs = 1'699'999'000'000 + aFixture.mNow.mTime.time_since_epoch().count() / 1000;
}

void Handle(Fixture& aFixture, const dispatch::Event& aEvent)
{
  aFixture.mActions.clear();
  dispatch::Handle(*aFixture.mState, aEvent, aFixture.mNow, aFixture.mActions);
}

std::string SubmitJob(Fixture& aFixture,
                      std::uint32_t aTasks,
                      std::chrono::milliseconds aDeclared,
                      std::string_view aTeam,
                      std::chrono::milliseconds aDeadline)
{
  dispatch::Submit submit;
  submit.mRequest = ++aFixture.mNextJob;
  submit.mJob.mId = "j" + std::to_string(aFixture.mNextJob);
  submit.mJob.mService = "s";
  submit.mJob.mTeam = aTeam;
  submit.mJob.mKind = "k";
  submit.mJob.mDeadline = aDeadline;
  submit.mJob.mTasks.resize(aTasks);
  for (auto& task : submit.mJob.mTasks) {
    task.mDeclaredRunTime = aDeclared;
  }
  Handle(aFixture, submit);
  return submit.mJob.mId;
}

dispatch::TaskEnded Ended(const dispatch::StartTask& aStart, TaskOutcome aOutcome)
{
  return { aStart.mTask, aStart.mAttempt, aStart.mUpstream, std::move(aOutcome) };
}

TaskOutcome RanWell(Duration aRunTime)
{
  return { Verdict::Ran, std::nullopt, "result", aRunTime };
}

TaskOutcome Failed(Verdict aVerdict, ErrorCode aCode)
{
  return { aVerdict, aCode, "", std::chrono::milliseconds(1) };
}

std::uint64_t Counter(const Fixture& aFixture, std::string_view aName)
{
  for (const auto& [name, value] : dispatch::Counters(*aFixture.mState)) {
    if (name == aName) {
      return value;
    }
  }
  std::cerr << "no counter " << aName << "\n";
  std::abort();
}

} // namespace pollenwall::test

int main()
{
  // Uses the same seed as ctest when run by hand, and enough cases to cover rare orders of events.
  const char* given = std::getenv("RC_PARAMS");
  std::string parameters = given == nullptr ? "seed=20261204" : given;
  if (parameters.find("max_success") == std::string::npos) {
    parameters += " max_success=1000";
  }
  setenv("RC_PARAMS", parameters.c_str(), 1);
  using namespace pollenwall::test;
  bool passed = QueueTests();
  passed &= PolicyTests();
  passed &= MemoryTests();
  passed &= ShortageTests();
  passed &= InvariantTests();
  passed &= LookAheadTests();
  return passed ? 0 : 1;
}
