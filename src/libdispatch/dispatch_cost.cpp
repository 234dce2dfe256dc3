// Measures the processor time of dispatch::Handle per task of a steady stream, with a long and with
// a short queue in the same run. Prints one JSON object.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <iostream>
#include <string>

#include <pollenwall/dispatch.h>

using namespace pollenwall;
using namespace pollenwall::dispatch;

namespace {

constexpr std::uint32_t kTeams = 150;
constexpr std::uint32_t kTasksPerJob = 4;
constexpr std::uint32_t kSlots = 8;
constexpr std::chrono::milliseconds kRunTime{ 100 };
/// Long enough that admission never refuses a job for its estimated wait.
constexpr std::chrono::milliseconds kDeadline{ 600000 };

double ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::shared_ptr<const configuration::Configuration> MakeConfiguration(std::uint32_t aWorkers)
{
  auto made = std::make_shared<configuration::Configuration>();
  made->mVersion = 1;
  made->mServices["s"].mName = "s";
  made->mServices["s"].mMaxDeadline = kDeadline;
  for (std::uint32_t n = 0; n < aWorkers; ++n) {
    const auto name = "w" + std::to_string(n);
    made->mWorkers[name] = {
      name, "dc", "rack" + std::to_string(n / 6), "127.0.0.1", 64, 1U << 30
    };
    made->mUpstreams["s/" + name] = { "s", name, 9000, kSlots };
  }
  for (std::uint32_t n = 0; n < kTeams; ++n) {
    const auto name = "t" + std::to_string(n);
    made->mTeams[name] = { name, 1.0 + n % 5, 1e9, 1e9 };
  }
  return made;
}

struct Cost
{
  double mMicrosecondsPerTask = 0; ///< A start, an outcome and a quarter of a submission.
  double mMaxCallMicroseconds = 0; ///< The longest single call, in processor time.
  std::size_t mQueued = 0;
};

/// Runs aTasks tasks while about aQueued tasks stay queued.
Cost Measure(std::uint32_t aWorkers, std::size_t aQueued, std::size_t aTasks)
{
  Options options{ .mDataCentre = "dc" };
  options.mMaxQueuedTasks = aQueued + 100000;
  auto state = MakeState(options, 1);
  Now now{ Time{ std::chrono::seconds(1) }, 1000 };
  Actions actions;
  std::deque<StartTask> running;
  std::size_t jobs = 0;
  double maxCall = 0;
  const auto handle = [&](const Event& aEvent) {
    actions.clear();
    const double before = ProcessorSeconds();
    Handle(*state, aEvent, now, actions);
    maxCall = std::max(maxCall, ProcessorSeconds() - before);
    for (auto& action : actions) {
      if (auto* start = std::get_if<StartTask>(&action)) {
        running.push_back(std::move(*start));
      }
    }
  };
  const auto submit = [&] {
    Submit event;
    event.mRequest = ++jobs;
    event.mJob.mId = "pw-north-0123456789abcdef-" + std::to_string(jobs);
    event.mJob.mService = "s";
    event.mJob.mTeam = "t" + std::to_string(jobs * 7 % kTeams);
    event.mJob.mKind = "k" + std::to_string(jobs % 3);
    event.mJob.mDeadline = kDeadline;
    event.mJob.mTasks.resize(kTasksPerJob);
    for (std::size_t n = 0; n < event.mJob.mTasks.size(); ++n) {
      event.mJob.mTasks[n].mPayload = std::string(64, 'p');
      event.mJob.mTasks[n].mDeclaredRunTime =
        std::chrono::milliseconds(50 + 37 * ((jobs + n) % 17));
    }
    handle(event);
  };
  handle(ConfigurationApplied{ MakeConfiguration(aWorkers) });
  for (std::uint32_t n = 0; n < aWorkers; ++n) {
    handle(SetCredits{ "s/w" + std::to_string(n), kSlots });
  }
  while (LoadOf(*state).mQueuedTasks < aQueued) {
    submit();
  }
  maxCall = 0;
  // Each slot ends a task every kRunTime, so one task ends with each step of the clock.
  const auto step = Duration(kRunTime) / (aWorkers * kSlots);
  std::int64_t nextTick = 0;
  const double begin = ProcessorSeconds();
  for (std::size_t n = 0; n < aTasks; ++n) {
    now.mTime += step;
    now.mUnixMs = now.mTime.time_since_epoch().count() / 1000;
    if (now.mUnixMs >= nextTick) {
      nextTick = now.mUnixMs + 20;
      handle(Tick{});
    }
    const auto start = std::move(running.front());
    running.pop_front();
    handle(TaskEnded{ start.mTask,
                      start.mAttempt,
                      start.mUpstream,
                      { Verdict::Ran, std::nullopt, "r", kRunTime } });
    if (n % kTasksPerJob == 0) {
      submit();
    }
  }
  const double seconds = ProcessorSeconds() - begin;
  return { 1e6 * seconds / static_cast<double>(aTasks),
           1e6 * maxCall,
           LoadOf(*state).mQueuedTasks };
}

} // namespace

int main()
{
  constexpr std::size_t kTasks = 400000;
  const auto longQueue = Measure(250, 200000, kTasks);
  const auto shortQueue = Measure(250, 2000, kTasks);
  const auto fewUpstreams = Measure(25, 2000, kTasks);
  std::cout << "{\"scenario\":\"dispatch_cost\",\"tasks\":" << kTasks
            << ",\"queued\":" << longQueue.mQueued
            << ",\"microseconds_per_task\":" << longQueue.mMicrosecondsPerTask
            << ",\"worst_call_microseconds\":" << longQueue.mMaxCallMicroseconds
            << ",\"cost_ratio_to_queue_of_2000\":"
            << longQueue.mMicrosecondsPerTask / shortQueue.mMicrosecondsPerTask
            << ",\"cost_ratio_of_250_to_25_upstreams\":"
            << shortQueue.mMicrosecondsPerTask / fewUpstreams.mMicrosecondsPerTask << "}\n";
  return 0;
}
