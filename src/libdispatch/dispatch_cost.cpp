// Measures the processor time of dispatch::Handle per task of a steady stream, with a long and with
// a short queue in the same run, and of tasks of different sizes on exclusive upstreams with
// look-ahead off and on. Prints one JSON object.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <iostream>
#include <queue>
#include <random>
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

/// Tasks of 5 to 12 cores on upstreams of 16 and 24 cores.
constexpr std::uint32_t kMinMilliCores = 5000;
constexpr std::uint32_t kMilliCoresRange = 7000;

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

struct MixedOptions
{
  std::uint32_t mWorkers = 350;
  std::size_t mQueued = 500; ///< Tasks that stay queued, about.
  std::size_t mTasks = 50000;
  bool mLookAhead = false;
};

/// Runs tasks of mixed sizes on exclusive upstreams.
Cost MeasureMixed(const MixedOptions& aMixed)
{
  Options options{ .mDataCentre = "dc" };
  options.mExclusiveUpstreams = true;
  options.mLookAhead = aMixed.mLookAhead;
  auto state = MakeState(options, 1);
  Now now{ Time{ std::chrono::seconds(1) }, 1000 };
  Actions actions;
  using End = std::pair<Time, StartTask>;
  const auto later = [](const End& aOne, const End& aOther) { return aOne.first > aOther.first; };
  std::priority_queue<End, std::vector<End>, decltype(later)> running(later);
  std::mt19937_64 random(1);
  std::size_t jobs = 0;
  double maxCall = 0;
  double seconds = 0;
  const auto handle = [&](const Event& aEvent) {
    actions.clear();
    const double before = ProcessorSeconds();
    Handle(*state, aEvent, now, actions);
    const double call = ProcessorSeconds() - before;
    seconds += call;
    maxCall = std::max(maxCall, call);
    for (auto& action : actions) {
      if (auto* start = std::get_if<StartTask>(&action)) {
        const Duration run{ 50'000 + static_cast<std::int64_t>(random() % 100'000) };
        running.emplace(now.mTime + run, std::move(*start));
      }
    }
  };
  const auto submit = [&] {
    Submit event;
    event.mRequest = ++jobs;
    event.mJob.mId = "job" + std::to_string(jobs);
    event.mJob.mService = "s";
    event.mJob.mTeam = "t0";
    event.mJob.mKind = "k" + std::to_string(jobs % 3);
    event.mJob.mPriority = jobs % 3;
    // Large tasks wait long enough for reservations.
    event.mJob.mTargetStretch = 1;
    event.mJob.mTargetSlack = kRunTime;
    event.mJob.mDeadline = kDeadline;
    TaskSpec task;
    task.mDeclaredRunTime = kRunTime;
    task.mNeeds.mMilliCores =
      kMinMilliCores + static_cast<std::uint32_t>(random() % kMilliCoresRange);
    event.mJob.mTasks.assign(kTasksPerJob, task);
    handle(event);
  };
  auto configuration = *MakeConfiguration(aMixed.mWorkers);
  std::uint32_t workers = 0;
  for (auto& [name, worker] : configuration.mWorkers) {
    worker.mMilliCores = ++workers % 3 == 0 ? 24000 : 16000;
  }
  handle(ConfigurationApplied{
    std::make_shared<const configuration::Configuration>(std::move(configuration)) });
  for (std::uint32_t n = 0; n < aMixed.mWorkers; ++n) {
    handle(SetCredits{ "s/w" + std::to_string(n), kSlots });
  }
  while (LoadOf(*state).mQueuedTasks < aMixed.mQueued) {
    submit();
  }
  maxCall = 0;
  seconds = 0;
  std::int64_t nextTick = 0;
  for (std::size_t n = 0; n < aMixed.mTasks; ++n) {
    now.mTime = running.top().first;
    now.mUnixMs = now.mTime.time_since_epoch().count() / 1000;
    if (now.mUnixMs >= nextTick) {
      nextTick = now.mUnixMs + 20;
      handle(Tick{});
    }
    const auto start = running.top().second;
    running.pop();
    handle(TaskEnded{ start.mTask,
                      start.mAttempt,
                      start.mUpstream,
                      { Verdict::Ran, std::nullopt, "r", kRunTime } });
    if (LoadOf(*state).mQueuedTasks < aMixed.mQueued) {
      submit();
    }
  }
  return { 1e6 * seconds / static_cast<double>(aMixed.mTasks),
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
  const auto mixed = MeasureMixed({});
  const auto ahead = MeasureMixed({ .mLookAhead = true });
  std::cout << "{\"scenario\":\"dispatch_cost\",\"tasks\":" << kTasks
            << ",\"queued\":" << longQueue.mQueued
            << ",\"microseconds_per_task\":" << longQueue.mMicrosecondsPerTask
            << ",\"worst_call_microseconds\":" << longQueue.mMaxCallMicroseconds
            << ",\"cost_ratio_to_queue_of_2000\":"
            << longQueue.mMicrosecondsPerTask / shortQueue.mMicrosecondsPerTask
            << ",\"cost_ratio_of_250_to_25_upstreams\":"
            << shortQueue.mMicrosecondsPerTask / fewUpstreams.mMicrosecondsPerTask
            << ",\"mixed_microseconds_per_task\":" << mixed.mMicrosecondsPerTask
            << ",\"mixed_worst_call_microseconds\":" << mixed.mMaxCallMicroseconds
            << ",\"look_ahead_microseconds_per_task\":" << ahead.mMicrosecondsPerTask
            << ",\"look_ahead_worst_call_microseconds\":" << ahead.mMaxCallMicroseconds << "}\n";
  return 0;
}
