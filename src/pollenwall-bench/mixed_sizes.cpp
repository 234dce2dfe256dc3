#include "mixed_sizes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <random>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include <pollenwall/dispatch.h>

#include "clock.h"
#include "report.h"

namespace pollenwall::bench {
namespace {

/// Upstreams of the data centre that the holder serves: a quarter of 350.
constexpr std::uint32_t kUpstreams = 88;
constexpr std::array<std::uint32_t, 3> kMilliCores{ 16000, 16000, 24000 };
constexpr std::array<double, 3> kSpeeds{ 1.0, 1.0, 1.3 };
constexpr double kMeanMilliCores = 8000;
constexpr double kLogSpread = 0.2;
constexpr double kMaxMilliCores = 12000;
/// Natural-logarithmic errors of declared run times, and the spread of the tasks of one job.
constexpr double kDeclaredError = 0.4;
constexpr double kRunSpread = 0.15;
constexpr double kLongRunShare = 0.03;
constexpr double kLongRunFactor = 7;
constexpr double kStretch = 1.6;
constexpr std::int64_t kTargetSlackMs = 60;
constexpr std::int64_t kMinDeadlineMs = 1500;
/// Leaves time for a task of kLongRunFactor.
constexpr std::int64_t kDeadlineRuns = 9;
constexpr Micros kTickInterval = 20 * kMillisecond;
constexpr Micros kOneWayDelay = kMillisecond / 2;
/// Run times are learned in this time; it is not measured.
constexpr Micros kWarmUp = 5 * kSecond;
constexpr Micros kMeasured = 60 * kSecond;
/// A response up to this multiple of the target is worth a fifth, a later one nothing.
constexpr double kUsefulTargets = 3;
constexpr double kLateWorth = 0.2;
constexpr std::string_view kService = "s";

struct KindOfJob
{
  const char* mName;
  double mPerSecond; ///< In the whole deployment; scaled to the load of the run.
  std::uint32_t mTasks;
  double mRunMs;
  std::uint32_t mPriority;
};

constexpr std::array<KindOfJob, 3> kKinds{
  { { "wide", 206, 8, 60, 0 }, { "narrow", 600, 2, 200, 1 }, { "long", 37.5, 4, 900, 2 } }
};

/// Upper limits of the size classes of the report, in thousandths of a core, from
/// placement::kSizeScale.
constexpr std::array<std::uint32_t, 4> kSizeLimits{ 5657, 8000, 11314, 16000 };

struct Arrival
{
  Micros mAt = 0;
  std::uint32_t mKind = 0;
  std::uint32_t mMilliCores = 0;
  std::int64_t mDeclaredMs = 0;
  std::vector<Micros> mRuns; ///< At a speed of 1.
};

struct Outcome
{
  Micros mAnsweredAt = -1; ///< Of a complete job.
  bool mRefused = false;
  std::vector<Micros> mStarts; ///< Of its tasks; negative for none.
};

std::uint32_t SizeClassOf(std::uint32_t aMilliCores)
{
  std::uint32_t n = 0;
  while (n + 1 < kSizeLimits.size() && aMilliCores > kSizeLimits.at(n)) {
    ++n;
  }
  return n;
}

double CapacityInCores()
{
  double sum = 0;
  for (std::uint32_t n = 0; n < kUpstreams; ++n) {
    sum += kMilliCores.at(n % 3) / 1000.0 * kSpeeds.at(n / 3 % 3);
  }
  return sum;
}

/// Core-seconds that the kinds need per second at their rates in the whole deployment.
double OfferedCores()
{
  constexpr double kMeanRunFactor = 1 + kLongRunShare * (kLongRunFactor - 1);
  double sum = 0;
  for (const auto& kind : kKinds) {
    sum += kind.mPerSecond * kind.mTasks * kind.mRunMs / 1000 * kMeanMilliCores / 1000;
  }
  return sum * kMeanRunFactor;
}

std::vector<Arrival> MakeArrivals(double aLoad, Micros aEnd, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  const double factor = aLoad * CapacityInCores() / OfferedCores();
  std::vector<Arrival> arrivals;
  for (std::uint32_t n = 0; n < kKinds.size(); ++n) {
    const auto& kind = kKinds.at(n);
    std::exponential_distribution<double> gap(kind.mPerSecond * factor / kSecond);
    for (double at = gap(random); at < static_cast<double>(aEnd); at += gap(random)) {
      Arrival arrival{ std::llround(at), n, 0, 0, {} };
      const double cores =
        kMeanMilliCores * std::exp(kLogSpread * normal(random) - kLogSpread * kLogSpread / 2);
      arrival.mMilliCores = static_cast<std::uint32_t>(std::min(cores, kMaxMilliCores));
      arrival.mDeclaredMs = std::max<std::int64_t>(
        1, std::llround(kind.mRunMs * std::exp(kDeclaredError * normal(random))));
      for (std::uint32_t task = 0; task < kind.mTasks; ++task) {
        const double slow = uniform(random) < kLongRunShare ? kLongRunFactor : 1;
        arrival.mRuns.push_back(
          std::llround(kind.mRunMs * slow * std::exp(kRunSpread * normal(random)) * kMillisecond));
      }
      arrivals.push_back(std::move(arrival));
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.mAt < aOther.mAt;
  });
  return arrivals;
}

std::shared_ptr<const configuration::Configuration> MakeConfiguration()
{
  auto made = std::make_shared<configuration::Configuration>();
  made->mVersion = 1;
  configuration::Service service;
  service.mName = kService;
  service.mMaxDeadline = std::chrono::minutes(1);
  service.mLongAfter = std::chrono::minutes(1);
  service.mLongShare = 1;
  made->mServices[service.mName] = service;
  for (std::uint32_t n = 0; n < kUpstreams; ++n) {
    const auto name = "w" + std::to_string(100 + n);
    const auto cores = kMilliCores.at(n % 3);
    made->mWorkers[name] = { name, "dc", "rack", "127.0.0.1", cores, std::uint64_t{ 64 } << 30U };
    made->mUpstreams[configuration::UpstreamKey(kService, name)] = {
      service.mName, name, 9000, cores / 1000
    };
  }
  made->mTeams["t"] = { "t", 1, 1e9, 1e9 };
  return made;
}

/// One run: a holder on virtual time, with workers that answer after the run time of the task.
struct Holder
{
  Clock mClock;
  const std::vector<Arrival>* mArrivals = nullptr;
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mState{ nullptr, nullptr };
  std::vector<Outcome> mOutcomes;
  std::unordered_map<std::string, std::uint32_t> mJobs;
  std::vector<std::uint32_t> mUsed;   ///< Thousandths of a core by upstream.
  std::vector<double> mSpeed;         ///< By upstream.
  std::vector<std::uint32_t> mLimits; ///< By upstream.
  std::uint64_t mOverCapacity = 0;    ///< Starts beyond the capacity of the upstream.
  double mBusyCoreSeconds = 0;
  double mCoreSeconds = 0; ///< Processor time of the dispatcher.
  std::uint64_t mCalls = 0;
};

double ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

void Deliver(Holder& aHolder, const dispatch::Event& aEvent);

void StartOnWorker(Holder& aHolder, const dispatch::StartTask& aStart)
{
  const auto job = aHolder.mJobs.at(aStart.mTask.mJob);
  const auto& arrival = (*aHolder.mArrivals)[job];
  auto& used = aHolder.mUsed[aStart.mUpstream];
  used += arrival.mMilliCores;
  aHolder.mOverCapacity += used > aHolder.mLimits[aStart.mUpstream] ? 1 : 0;
  aHolder.mOutcomes[job].mStarts[aStart.mTask.mIndex] = aHolder.mClock.mNow;
  const double speed = aHolder.mSpeed[aStart.mUpstream];
  const auto run = std::llround(static_cast<double>(arrival.mRuns[aStart.mTask.mIndex]) / speed);
  if (arrival.mAt >= kWarmUp) {
    aHolder.mBusyCoreSeconds += arrival.mMilliCores / 1000.0 * static_cast<double>(run) / kSecond;
  }
  ScheduleAfter(aHolder.mClock, run + 2 * kOneWayDelay, [&aHolder, aStart, job, run] {
    aHolder.mUsed[aStart.mUpstream] -= (*aHolder.mArrivals)[job].mMilliCores;
    Deliver(aHolder,
            dispatch::TaskEnded{ aStart.mTask,
                                 aStart.mAttempt,
                                 aStart.mUpstream,
                                 { Verdict::Ran, std::nullopt, "", Duration(run) } });
  });
}

void Deliver(Holder& aHolder, const dispatch::Event& aEvent)
{
  dispatch::Actions actions;
  const Now now{ Time(Duration(aHolder.mClock.mNow)), aHolder.mClock.mNow / kMillisecond };
  const double before = ThreadSeconds();
  dispatch::Handle(*aHolder.mState, aEvent, now, actions);
  aHolder.mCoreSeconds += ThreadSeconds() - before;
  ++aHolder.mCalls;
  for (const auto& action : actions) {
    if (const auto* start = std::get_if<dispatch::StartTask>(&action)) {
      StartOnWorker(aHolder, *start);
    } else if (const auto* refuse = std::get_if<dispatch::Refuse>(&action)) {
      aHolder.mOutcomes[aHolder.mJobs.at(refuse->mId)].mRefused = true;
    } else if (const auto* answer = std::get_if<dispatch::Answer>(&action)) {
      auto& outcome = aHolder.mOutcomes[aHolder.mJobs.at(answer->mAnswer.mId)];
      outcome.mRefused = answer->mAnswer.mVerdict == Verdict::NotRun;
      if (answer->mAnswer.mState == JobState::Complete) {
        outcome.mAnsweredAt = aHolder.mClock.mNow;
      }
    }
  }
}

void Submit(Holder& aHolder, std::uint32_t aJob)
{
  const auto& arrival = (*aHolder.mArrivals)[aJob];
  const auto& kind = kKinds.at(arrival.mKind);
  dispatch::Submit event;
  event.mRequest = aJob + 1;
  auto& job = event.mJob;
  job.mId = "job" + std::to_string(aJob);
  job.mService = kService;
  job.mTeam = "t";
  job.mKind = kind.mName;
  job.mPriority = kind.mPriority;
  job.mTargetStretch = kStretch;
  job.mTargetSlack = std::chrono::milliseconds(kTargetSlackMs);
  job.mRestartable = true;
  job.mMaxFailures = 3;
  job.mDeadline = std::chrono::milliseconds(
    std::max(kMinDeadlineMs, kDeadlineRuns * static_cast<std::int64_t>(kind.mRunMs)));
  for (std::uint32_t n = 0; n < kind.mTasks; ++n) {
    job.mTasks.push_back(
      { "", std::chrono::milliseconds(arrival.mDeclaredMs), { arrival.mMilliCores, 0, 0 } });
  }
  aHolder.mJobs[job.mId] = aJob;
  aHolder.mOutcomes[aJob].mStarts.assign(kind.mTasks, -1);
  Deliver(aHolder, event);
}

void TickPeriodically(Holder& aHolder)
{
  Deliver(aHolder, dispatch::Tick{});
  ScheduleAfter(aHolder.mClock, kTickInterval, [&aHolder] { TickPeriodically(aHolder); });
}

void SubmitInOrder(Holder& aHolder, std::uint32_t aNext)
{
  if (aNext >= aHolder.mArrivals->size()) {
    return;
  }
  const auto delay = (*aHolder.mArrivals)[aNext].mAt - aHolder.mClock.mNow;
  ScheduleAfter(aHolder.mClock, delay, [&aHolder, aNext] {
    Submit(aHolder, aNext);
    SubmitInOrder(aHolder, aNext + 1);
  });
}

/// Sums over the jobs of one kind or of one size.
struct Group
{
  std::uint64_t mJobs = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mRefused = 0;
  double mWorth = 0;
  std::vector<double> mWaits; ///< Of the started tasks, in ms.
};

void Add(Group& aGroup, const Arrival& aArrival, const Outcome& aOutcome)
{
  ++aGroup.mJobs;
  aGroup.mRefused += aOutcome.mRefused ? 1 : 0;
  for (const auto start : aOutcome.mStarts) {
    if (start >= 0) {
      aGroup.mWaits.push_back(static_cast<double>(start - aArrival.mAt) / kMillisecond);
    }
  }
  if (aOutcome.mAnsweredAt < 0) {
    return;
  }
  ++aGroup.mComplete;
  const auto longest = *std::max_element(aArrival.mRuns.begin(), aArrival.mRuns.end());
  const double target =
    kStretch * static_cast<double>(longest) + static_cast<double>(kTargetSlackMs * kMillisecond);
  const auto response = static_cast<double>(aOutcome.mAnsweredAt - aArrival.mAt);
  aGroup.mWorth += response <= target ? 1 : response <= kUsefulTargets * target ? kLateWorth : 0;
}

void Write(std::ostream& aOut, const std::string& aName, const Group& aGroup)
{
  const auto jobs = static_cast<double>(std::max<std::uint64_t>(1, aGroup.mJobs));
  aOut << "\"" << aName << "\":{\"jobs\":" << aGroup.mJobs << ",\"worth\":" << aGroup.mWorth / jobs
       << ",\"served\":" << static_cast<double>(aGroup.mComplete) / jobs
       << ",\"refused\":" << static_cast<double>(aGroup.mRefused) / jobs
       << ",\"wait_ms_p50\":" << Quantile(aGroup.mWaits, 0.5)
       << ",\"wait_ms_p99\":" << Quantile(aGroup.mWaits, 0.99) << "}";
}

void Report(const Holder& aHolder, double aLoad, bool aLookAhead, std::ostream& aOut)
{
  Group all;
  std::array<Group, kKinds.size()> kinds;
  std::array<Group, kSizeLimits.size()> sizes;
  for (std::size_t n = 0; n < aHolder.mArrivals->size(); ++n) {
    const auto& arrival = (*aHolder.mArrivals)[n];
    if (arrival.mAt < kWarmUp) {
      continue;
    }
    Add(all, arrival, aHolder.mOutcomes[n]);
    Add(kinds.at(arrival.mKind), arrival, aHolder.mOutcomes[n]);
    Add(sizes.at(SizeClassOf(arrival.mMilliCores)), arrival, aHolder.mOutcomes[n]);
  }
  const double seconds =
    static_cast<double>(aHolder.mArrivals->back().mAt - kWarmUp) / static_cast<double>(kSecond);
  // No exponents, because some readers of JSON lines reject them.
  std::ostringstream line;
  line << std::fixed << std::setprecision(5);
  double cores = 0;
  for (const auto limit : aHolder.mLimits) {
    cores += limit / 1000.0;
  }
  line << "{\"scenario\":\"mixed_sizes\",\"policy\":\"look_ahead_" << (aLookAhead ? "on" : "off")
       << "\",\"load\":" << aLoad << ",\"busy\":" << aHolder.mBusyCoreSeconds / seconds / cores
       << ",\"over_capacity\":" << aHolder.mOverCapacity << ",\"microseconds_per_call\":"
       << 1e6 * aHolder.mCoreSeconds / static_cast<double>(aHolder.mCalls) << ",";
  Write(line, "all", all);
  for (std::size_t n = 0; n < kinds.size(); ++n) {
    line << ",";
    Write(line, std::string("kind_") + kKinds.at(n).mName, kinds.at(n));
  }
  for (std::size_t n = 0; n < sizes.size(); ++n) {
    line << ",";
    Write(line, "cores_to_" + std::to_string(kSizeLimits.at(n)), sizes.at(n));
  }
  for (const auto& [name, value] : dispatch::Counters(*aHolder.mState)) {
    if (value > 0 && (name.starts_with("reservations") || name.starts_with("backfilled"))) {
      line << ",\"" << name.substr(0, name.find('{'))
           << (name.find('"') == std::string::npos
                 ? ""
                 : "_" + name.substr(name.find('"') + 1, name.rfind('"') - name.find('"') - 1))
           << "\":" << value;
    }
  }
  aOut << line.str() << "}" << std::endl;
}

void RunOnce(const std::vector<Arrival>& aArrivals,
             double aLoad,
             bool aLookAhead,
             Micros aEnd,
             std::ostream& aOut)
{
  Holder holder;
  holder.mArrivals = &aArrivals;
  holder.mOutcomes.resize(aArrivals.size());
  dispatch::Options options{ .mDataCentre = "dc" };
  options.mExclusiveUpstreams = true;
  options.mLookAhead = aLookAhead;
  holder.mState = dispatch::MakeState(options, 1);
  Deliver(holder, dispatch::ConfigurationApplied{ MakeConfiguration() });
  holder.mUsed.resize(kUpstreams);
  holder.mSpeed.resize(kUpstreams);
  holder.mLimits.resize(kUpstreams);
  for (std::uint32_t n = 0; n < kUpstreams; ++n) {
    const auto key = configuration::UpstreamKey(kService, "w" + std::to_string(100 + n));
    const auto index = *dispatch::FindUpstream(*holder.mState, key);
    holder.mSpeed[index] = kSpeeds.at(n / 3 % 3);
    holder.mLimits[index] = kMilliCores.at(n % 3);
    Deliver(holder, dispatch::SetCredits{ key, kMilliCores.at(n % 3) / 1000 });
  }
  TickPeriodically(holder);
  SubmitInOrder(holder, 0);
  // The last jobs end or expire within their deadline.
  RunUntil(holder.mClock, aEnd + 10 * kSecond);
  holder.mClock.mCalls = {};
  Report(holder, aLoad, aLookAhead, aOut);
}

} // namespace

void RunMixedSizes(std::uint64_t aSeed, double aScale, std::ostream& aOut)
{
  const auto end = kWarmUp + std::llround(aScale * static_cast<double>(kMeasured));
  for (const double load : { 0.7, 0.9, 1.1 }) {
    const auto arrivals = MakeArrivals(load, end, aSeed);
    for (const bool lookAhead : { false, true }) {
      RunOnce(arrivals, load, lookAhead, end, aOut);
    }
  }
}

} // namespace pollenwall::bench
