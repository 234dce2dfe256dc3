#include "run.h"

#include <cstdio>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <pollenwall/log.h>

ABSL_FLAG(std::vector<std::string>, entries, {}, "IP:PORT,... of the caller ports of the entries");
ABSL_FLAG(std::vector<std::string>,
          workers,
          {},
          "IP:PORT,... of one port of each worker stand-in, to read its counts of starts");
ABSL_FLAG(bool, direct, false, "the entries are worker stand-ins: send each task directly to one");
ABSL_FLAG(std::string, balance, "round_robin", "choice of the entry: round_robin or random");
ABSL_FLAG(std::int64_t,
          ready_poll_ms,
          0,
          "interval of /readyz probes of each entry, as from a load balancer; 0 is never");
ABSL_FLAG(std::string, rates, "0:100", "SECONDS:TASKS_PER_SECOND,... the rate from each time on");
ABSL_FLAG(std::uint32_t, outstanding, 0, "closed loop with this many jobs in flight; 0 is open");
ABSL_FLAG(double, seconds, 10, "duration of the arrivals");
ABSL_FLAG(std::uint64_t, jobs, 1000000, "maximum number of jobs");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals, sizes and run times");
ABSL_FLAG(std::uint64_t,
          run,
          0,
          "number that keeps the ids of runs distinct; 0 uses the time in ms");
ABSL_FLAG(double, run_ms, -1, "run time of each task; below 0 draws from a lognormal distribution");
ABSL_FLAG(double,
          run_low_ms,
          50,
          "95% of run times lie between run_low_ms and run_high_ms, others are clamped");
ABSL_FLAG(double, run_high_ms, 1000, "see run_low_ms");
ABSL_FLAG(std::uint32_t, job_size, 0, "tasks per job; 0 draws from a geometric distribution");
ABSL_FLAG(double, median_size, 4, "median of geometric job sizes");
ABSL_FLAG(std::uint32_t, max_size, 190, "largest geometric job size");
ABSL_FLAG(double, declared_factor, 1, "declared run times deviate by up to this factor either way");
ABSL_FLAG(std::string, service, "dispatch", "service of all jobs");
ABSL_FLAG(std::vector<std::string>, teams, { "team" }, "teams of the jobs");
ABSL_FLAG(std::vector<std::string>, kinds, { "kind" }, "kinds of the jobs");
ABSL_FLAG(std::vector<std::string>, homes, {}, "home data centres of caller-chosen ids");
ABSL_FLAG(double, caller_ids, 0, "fraction of jobs with a caller-chosen id");
ABSL_FLAG(std::int64_t,
          resubmit_after_ms,
          0,
          "time after which a job with a caller-chosen id is sent to another entry; 0 is never");
ABSL_FLAG(std::uint32_t, copies, 4, "maximum number of copies of one submission");
ABSL_FLAG(double,
          cancel_ratio,
          0,
          "fraction of the jobs in flight with a caller-chosen id that each wave cancels");
ABSL_FLAG(std::vector<std::string>, cancel_at, {}, "times in seconds of the cancellation waves");
ABSL_FLAG(std::int64_t, deadline_ms, 10000, "deadline of each job");
ABSL_FLAG(std::int64_t,
          answer_timeout_ms,
          30000,
          "time after which a missing answer counts as lost");
ABSL_FLAG(std::int64_t, settle_ms, 500, "time between the last answer and reading the counts");
ABSL_FLAG(std::uint64_t, slots, 0, "slots of all workers, for load and goodput_ratio");
ABSL_FLAG(std::uint32_t, connections, 2000, "maximum number of connections to each entry");
ABSL_FLAG(std::uint64_t,
          checked_tasks,
          3000000,
          "maximum number of tasks whose verdicts are checked");
ABSL_FLAG(std::string, jobs_file, "", "file to write with one JSON line per job");
ABSL_FLAG(std::string, scenario, "load", "scenario name in the result");
ABSL_FLAG(std::string, policy, "pollenwall", "policy name in the result");
ABSL_FLAG(bool,
          require_complete,
          false,
          "exit with 1 unless every job was answered complete and no check failed");

namespace {

using namespace pollenwall;
using boost::asio::ip::tcp;

/// Prints a usage error and ends the program.
[[noreturn]] void ExitWithUsageError(const std::string& aFlag, const std::string& aAllowed)
{
  std::cerr << "pollenwall-load: --" << aFlag << ": allowed: " << aAllowed << "\n";
  std::exit(2);
}

std::vector<tcp::endpoint> ParseEndpoints(const std::string& aFlag,
                                          const std::vector<std::string>& aTexts)
{
  std::vector<tcp::endpoint> endpoints;
  for (const auto& text : aTexts) {
    const auto colon = text.rfind(':');
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
    const auto port =
      colon == std::string::npos ? 0 : std::strtol(text.c_str() + colon + 1, nullptr, 10);
    if (ec || port < 1 || port > 65535) {
      ExitWithUsageError(aFlag, "IP:PORT,... (found '" + text + "')");
    }
    endpoints.emplace_back(address, static_cast<std::uint16_t>(port));
  }
  return endpoints;
}

load::RunOptions ReadFlags()
{
  load::RunOptions options;
  auto& plan = options.mPlan;
  options.mEntries = ParseEndpoints("entries", absl::GetFlag(FLAGS_entries));
  options.mWorkers = ParseEndpoints("workers", absl::GetFlag(FLAGS_workers));
  if (options.mEntries.empty()) {
    ExitWithUsageError("entries", "at least one IP:PORT");
  }
  const auto balance = absl::GetFlag(FLAGS_balance);
  if (balance != "round_robin" && balance != "random") {
    ExitWithUsageError("balance", "round_robin or random");
  }
  const auto rates = load::ParseRates(absl::GetFlag(FLAGS_rates));
  if (!rates) {
    ExitWithUsageError("rates", "SECONDS:TASKS_PER_SECOND,... with seconds rising from 0");
  }
  options.mRandomEntry = balance == "random";
  options.mReadyPollMs = absl::GetFlag(FLAGS_ready_poll_ms);
  options.mDirect = absl::GetFlag(FLAGS_direct);
  options.mClosedLoopJobs = absl::GetFlag(FLAGS_outstanding);
  options.mMaxConnections = absl::GetFlag(FLAGS_connections);
  options.mDeadlineMs = absl::GetFlag(FLAGS_deadline_ms);
  options.mResubmitAfterMs = absl::GetFlag(FLAGS_resubmit_after_ms);
  options.mMaxCopies = absl::GetFlag(FLAGS_copies);
  options.mAnswerTimeoutMs = absl::GetFlag(FLAGS_answer_timeout_ms);
  options.mSettleMs = absl::GetFlag(FLAGS_settle_ms);
  options.mSlots = absl::GetFlag(FLAGS_slots);
  options.mMaxCheckedTasks = absl::GetFlag(FLAGS_checked_tasks);
  options.mJobsFile = absl::GetFlag(FLAGS_jobs_file);
  options.mScenario = absl::GetFlag(FLAGS_scenario);
  options.mPolicy = absl::GetFlag(FLAGS_policy);
  options.mService = absl::GetFlag(FLAGS_service);
  plan.mSeed = absl::GetFlag(FLAGS_seed);
  plan.mRun = absl::GetFlag(FLAGS_run);
  if (plan.mRun == 0) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    plan.mRun = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  plan.mRates = *rates;
  plan.mSeconds = absl::GetFlag(FLAGS_seconds);
  plan.mMaxJobs = absl::GetFlag(FLAGS_jobs);
  plan.mFixedRunMs = absl::GetFlag(FLAGS_run_ms);
  plan.mRunLowMs = absl::GetFlag(FLAGS_run_low_ms);
  plan.mRunHighMs = absl::GetFlag(FLAGS_run_high_ms);
  plan.mFixedSize = absl::GetFlag(FLAGS_job_size);
  plan.mMedianSize = absl::GetFlag(FLAGS_median_size);
  plan.mMaxSize = absl::GetFlag(FLAGS_max_size);
  plan.mDeclaredFactor = absl::GetFlag(FLAGS_declared_factor);
  plan.mCallerIdRatio = absl::GetFlag(FLAGS_caller_ids);
  plan.mCancelRatio = absl::GetFlag(FLAGS_cancel_ratio);
  plan.mTeams = absl::GetFlag(FLAGS_teams);
  plan.mKinds = absl::GetFlag(FLAGS_kinds);
  plan.mHomes = absl::GetFlag(FLAGS_homes);
  for (const auto& text : absl::GetFlag(FLAGS_cancel_at)) {
    plan.mCancelAtSeconds.push_back(std::strtod(text.c_str(), nullptr));
  }
  if (plan.mTeams.empty() || plan.mKinds.empty()) {
    ExitWithUsageError("teams and --kinds", "at least one name");
  }
  if (plan.mCallerIdRatio > 0 && plan.mHomes.empty()) {
    ExitWithUsageError("homes", "at least one data centre when --caller_ids is above 0");
  }
  const bool validSizes = plan.mMedianSize >= 0.5 && plan.mMaxSize >= 1;
  const bool validRuns = plan.mRunLowMs > 0 && plan.mRunHighMs >= plan.mRunLowMs;
  if (!validSizes || !validRuns || !(plan.mDeclaredFactor >= 1)) {
    ExitWithUsageError("median_size, --max_size, --run_low_ms, --run_high_ms, --declared_factor",
                       "at least 0.5, 1, above 0, at least run_low_ms, at least 1");
  }
  return options;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("pollenwall-load " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(
    "Submits jobs to entries, checks every answer and prints one JSON line of statistics.\n"
    "Example: pollenwall-load --entries 127.0.0.1:8001,127.0.0.1:8002 --workers 127.0.0.1:9099 \\\n"
    "           --rates 0:1000,10:3000 --seconds 20 --slots 400");
  absl::ParseCommandLine(aArgc, aArgv);
  log::Init("pollenwall-load");
  const auto options = ReadFlags();
  try {
    auto report = load::Run(options);
    std::puts(load::ToJson(report).c_str());
    const bool allComplete = report.mComplete == report.mJobs && report.mWrongAnswers == 0 &&
                             report.mDuplicateStarts == 0 && report.mWrongVerdicts == 0;
    return absl::GetFlag(FLAGS_require_complete) && !allComplete ? 1 : 0;
  } catch (const std::exception& error) {
    log::LogError("run_failed", { { "message", error.what() } });
    return 1;
  }
}
