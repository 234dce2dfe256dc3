#include <algorithm>
#include <cmath>

#include <boost/json.hpp>

#include "state.h"

namespace pollenwall::dispatch {
namespace {

/// Bounds the time that is projected from little progress.
constexpr double kMinProjectedFraction = 0.01;

constexpr double kMinDemandPerSecond = 0.1;

std::size_t FreeCredits(const placement::Upstream& aUpstream)
{
  return aUpstream.mCredits - std::min(aUpstream.mCredits, aUpstream.mRunning);
}

std::string_view NameOf(JobState aState)
{
  switch (aState) {
    case JobState::Running:
      return "running";
    case JobState::Complete:
      return "complete";
    case JobState::Failed:
      return "failed";
  }
  return "failed";
}

/// Why the queued tasks of a job have not started.
std::string_view ReasonOf(const State& aState, const Job& aJob)
{
  if (aJob.mQueued == 0) {
    return aJob.mDelayed > 0 ? "retry_delay" : "none";
  }
  const auto& service = aState.mServices[aJob.mService];
  bool idle = false;
  bool mayStart = false;
  for (const auto n : aJob.mSlices) {
    const auto& slice = service.mQueue.mSlices[n];
    if (slice.mTasks.empty()) {
      continue;
    }
    const auto& group = service.mGroups[slice.mLane / 2];
    const bool free =
      placement::HasFreeUpstream(aState.mPlacement, aJob.mService, group.mShapes, group.mNeeds);
    idle = idle || free;
    mayStart =
      mayStart ||
      (free && (slice.mLane % 2 == 0 || service.mRunning[1] < LongLimit(aState, aJob.mService)));
  }
  if (!idle) {
    return "no_free_slot";
  }
  return mayStart ? "other_jobs_first" : "long_class_share_used";
}

} // namespace

JobAnswer AnswerOf(const Job& aJob)
{
  if (aJob.mState != JobState::Running) {
    return aJob.mAnswer;
  }
  JobAnswer answer;
  answer.mId = *aJob.mId;
  for (const auto& task : aJob.mTasks) {
    answer.mTasks.push_back({ task.mAnswer.mVerdict, task.mAnswer.mCode, "" });
    answer.mVerdict = Combine(answer.mVerdict, task.mAnswer.mVerdict);
  }
  return answer;
}

std::optional<JobAnswer> FindJobAnswer(const State& aState, std::string_view aId)
{
  const auto it = aState.mJobByName.find(aId);
  return it == aState.mJobByName.end() ? std::nullopt
                                       : std::optional(AnswerOf(aState.mJobs[it->second]));
}

std::optional<KnownJob> FindKnownJob(const State& aState, std::string_view aId)
{
  const auto it = aState.mJobByName.find(aId);
  if (it == aState.mJobByName.end()) {
    return std::nullopt;
  }
  const auto& job = aState.mJobs[it->second];
  return KnownJob{ aState.mTeams[job.mTeam].mName, job.mBodyHash };
}

UpstreamAddress AddressOf(const State& aState, UpstreamIndex aUpstream)
{
  if (aUpstream >= aState.mPlacement.mUpstreams.size()) {
    return {};
  }
  const auto& upstream = aState.mPlacement.mUpstreams[aUpstream];
  return { upstream.mKey, upstream.mAddress };
}

std::optional<UpstreamIndex> FindUpstream(const State& aState, std::string_view aKey)
{
  const auto it = aState.mPlacement.mByKey.find(aKey);
  return it == aState.mPlacement.mByKey.end() ? std::nullopt : std::optional(it->second);
}

placement::Room RoomOf(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  return it == aState.mPlacement.mServices.end() ? placement::Room{}
                                                 : placement::RoomOf(aState.mPlacement, it->second);
}

placement::FitsBySizeClass FitsBySize(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  return it == aState.mPlacement.mServices.end()
           ? placement::FitsBySizeClass{}
           : placement::FitsBySize(aState.mPlacement, it->second);
}

std::uint64_t QueuedMilliCores(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  if (it == aState.mPlacement.mServices.end() || it->second >= aState.mServices.size()) {
    return 0;
  }
  const auto& service = aState.mServices[it->second];
  std::uint64_t sum = 0;
  for (std::size_t n = 0; n < service.mQueue.mLanes.size(); ++n) {
    sum += service.mQueue.mLanes[n].mTasks * service.mGroups[n / 2].mNeeds.mMilliCores;
  }
  return sum;
}

Load LoadOf(const State& aState)
{
  Load load;
  load.mQueuedTasks = aState.mQueuedTasks;
  load.mRunningTasks = aState.mRunningTasks;
  for (UpstreamIndex n = 0; n < aState.mPlacement.mUpstreams.size(); ++n) {
    if (placement::IsUsable(aState.mPlacement, n)) {
      load.mIdleCredits += FreeCredits(aState.mPlacement.mUpstreams[n]);
    }
  }
  for (ServiceIndex n = 0; n < aState.mServices.size(); ++n) {
    const auto credits = aState.mPlacement.mPools[n].mHealthyCredits;
    const auto& byClass = aState.mServices[n].mQueue.mWork;
    const auto work = byClass[0] + byClass[1];
    const auto wait = Duration{ credits == 0 ? 0 : work / credits };
    load.mEstimatedWait =
      std::max(load.mEstimatedWait, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
  }
  return load;
}

std::vector<UpstreamLoad> UpstreamLoads(const State& aState)
{
  std::vector<UpstreamLoad> loads;
  for (const auto& [key, n] : aState.mPlacement.mByKey) {
    const auto& upstream = aState.mPlacement.mUpstreams[n];
    if (upstream.mCredits != 0 || upstream.mRunning != 0) {
      loads.push_back(
        { key, upstream.mCredits, upstream.mRunning, placement::IsUsable(aState.mPlacement, n) });
    }
  }
  return loads;
}

std::optional<UpstreamLoad> FindUpstreamLoad(const State& aState, std::string_view aKey)
{
  const auto it = aState.mPlacement.mByKey.find(aKey);
  if (it == aState.mPlacement.mByKey.end()) {
    return std::nullopt;
  }
  const auto& upstream = aState.mPlacement.mUpstreams[it->second];
  return UpstreamLoad{ std::string(aKey),
                       upstream.mCredits,
                       upstream.mRunning,
                       placement::IsUsable(aState.mPlacement, it->second) };
}

std::size_t QueuedTasks(const State& aState)
{
  return aState.mQueuedTasks;
}

std::size_t WaitingTasks(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  return it == aState.mPlacement.mServices.end() || it->second >= aState.mServices.size()
           ? 0
           : aState.mServices[it->second].mQueue.mTasks;
}

std::size_t UnservedTasks(const State& aState, std::string_view aService)
{
  const auto it = aState.mPlacement.mServices.find(aService);
  if (it == aState.mPlacement.mServices.end() || it->second >= aState.mServices.size()) {
    return 0;
  }
  // Handle never leaves a task queued that a free slot could serve. Tasks that wait for the long
  // class's share are excluded, because another slot would not start them.
  const auto& service = aState.mServices[it->second];
  std::size_t shortTasks = 0;
  std::size_t longTasks = 0;
  for (std::size_t n = 0; n < service.mQueue.mLanes.size(); ++n) {
    (n % 2 == 0 ? shortTasks : longTasks) += service.mQueue.mLanes[n].mTasks;
  }
  const auto limit = LongLimit(aState, it->second);
  const auto running = service.mRunning[1];
  return shortTasks + std::min(longTasks, limit - std::min<std::size_t>(limit, running));
}

std::vector<std::pair<std::string, double>> TeamDemands(const State& aState, const Now& aNow)
{
  std::vector<std::pair<std::string, double>> demands;
  for (const auto& [name, n] : aState.mTeamByName) {
    const double demand = RateNow(aState.mTeams[n].mDemand, kDemandDecaySeconds, aNow);
    if (demand >= kMinDemandPerSecond) {
      demands.emplace_back(name, demand);
    }
  }
  return demands;
}

std::vector<std::pair<std::string, double>> UnhealthyUpstreams(const State& aState)
{
  std::vector<std::pair<std::string, double>> unhealthy;
  for (const auto& [key, n] : aState.mPlacement.mByKey) {
    const auto& health = aState.mPlacement.mUpstreams[n].mHealth;
    if (health.mFailing || health.mSlow) {
      unhealthy.emplace_back(key, placement::FailureRate(health));
    }
  }
  return unhealthy;
}

std::vector<std::string> UnstartedJobs(const State& aState, std::size_t aMaxCount)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> found;
  for (const auto& job : aState.mJobs) {
    if (job.mId != nullptr && job.mState == JobState::Running && !job.mEverStarted) {
      found.emplace_back(job.mSequence, job.mId);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.first < aOther.first;
  });
  std::vector<std::string> ids;
  for (std::size_t n = 0; n < std::min(aMaxCount, found.size()); ++n) {
    ids.push_back(*found[n].second);
  }
  return ids;
}

std::vector<WaitingJob> WaitingJobs(const State& aState)
{
  std::vector<std::pair<std::uint64_t, WaitingJob>> found;
  for (const auto& job : aState.mJobs) {
    if (job.mId != nullptr && job.mState == JobState::Running && job.mQueued + job.mDelayed > 0) {
      found.emplace_back(
        job.mSequence,
        WaitingJob{ *job.mId, job.mSpec, job.mQueued + job.mDelayed, job.mEverStarted });
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.first < aOther.first;
  });
  std::vector<WaitingJob> jobs;
  jobs.reserve(found.size());
  for (auto& [sequence, job] : found) {
    jobs.push_back(std::move(job));
  }
  return jobs;
}

std::vector<LongRun> FindLongRuns(const State& aState, Duration aLeft, const Now& aNow)
{
  std::vector<LongRun> runs;
  for (const auto& attempt : aState.mAttempts) {
    if (attempt.mJob == kNone || attempt.mStopped || attempt.mMoving) {
      continue;
    }
    const auto& job = aState.mJobs[attempt.mJob];
    if (job.mState != JobState::Running || !job.mRestartable) {
      continue;
    }
    const Duration elapsed = aNow.mTime - attempt.mStarted;
    auto whole = std::max(job.mTasks[attempt.mTask].mMedian, elapsed);
    if (attempt.mDoneFraction > 0) {
      whole = Duration{ std::llround(static_cast<double>(elapsed.count()) /
                                     std::max(attempt.mDoneFraction, kMinProjectedFraction)) };
    }
    if (whole - elapsed > aLeft) {
      runs.push_back({ *job.mId, job.mSpec, attempt.mUpstream, whole, job.mDeadline - aNow.mTime });
    }
  }
  return runs;
}

std::size_t OutstandingRuns(const State& aState, std::string_view aId)
{
  const auto it = aState.mJobByName.find(aId);
  return it == aState.mJobByName.end() ? 0 : aState.mJobs[it->second].mOutstanding;
}

std::vector<CrashReport> RecentCrashes(const State& aState)
{
  std::vector<CrashReport> reports;
  const auto& crashes = aState.mCrashes.mCrashes;
  for (const auto& id : aState.mCrashes.mOldest) {
    if (const auto it = crashes.find(id); it != crashes.end()) {
      reports.push_back(it->second.mReport);
    }
  }
  return reports;
}

std::vector<CrashReport> DecidedCrashes(const State& aState,
                                        std::string_view aUpstream,
                                        std::optional<UnixMs> aBornMs)
{
  return crashes::FindDecided(aState.mCrashes, aUpstream, aBornMs);
}

std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState)
{
  const auto& counts = aState.mCounts;
  std::uint64_t moves = 0;
  for (const auto& service : aState.mServices) {
    moves += queue::HeapMoves(service.mQueue);
  }
  std::vector<std::pair<std::string, std::uint64_t>> counters{
    { "backfilled_tasks_total", counts.mBackfilledTasks },
    { "reservations_total{outcome=\"given_up\"}", counts.mReservationsGivenUp },
    { "reservations_total{outcome=\"moved\"}", counts.mReservationsMoved },
    { "reservations_total{outcome=\"used\"}", counts.mReservationsUsed },
    { "jobs_accepted_total", counts.mJobsAccepted },
    { "jobs_cancelled_total", counts.mJobsCancelled },
    { "jobs_complete_total", counts.mJobsComplete },
    { "jobs_expired_total", counts.mJobsExpired },
    { "jobs_failed_total", counts.mJobsFailed },
    { "late_outcomes_total", counts.mLateOutcomes },
    { "leaving_signs_held_total", aState.mPlacement.mHeldSigns },
    { "probes_total", aState.mPlacement.mProbes },
    { "queue_moves_total", moves },
    { "records_dropped_total", counts.mDroppedRecords },
    { "results_dropped_total", counts.mDroppedResults },
    { "retries_deferred_total", counts.mRetriesDeferred },
    { "service_faults_total", aState.mPlacement.mServiceFaults },
    { "task_refusals_total", counts.mTaskRefusals },
    { "task_retries_total", counts.mTaskRetries },
    { "task_restarts_total", counts.mTaskRestarts },
    { "deadly_tasks_total", counts.mDeadlyTasks },
    { "tasks_moved_total{reason=\"slow\"}", counts.mTasksSlow },
    { "tasks_moved_total{reason=\"stalled\"}", counts.mTasksStalled },
    { "task_starts_total", counts.mTaskStarts },
    { "task_stops_total", counts.mTaskStops },
    { "tasks_reclassified_total", counts.mReclassified },
    { "unknown_outcomes_total", counts.mUnknownOutcomes },
    { "upstreams_excluded_total", aState.mPlacement.mExclusions },
  };
  if (!aState.mOptions.mShortageShares) {
    counters.emplace_back("jobs_refused_total", counts.mJobsRefused);
    return counters;
  }
  for (const auto& [kind, count] : counts.mAdmittedByKind) {
    counters.emplace_back("jobs_admitted_total{kind=\"" + kind + "\"}", count);
  }
  for (const auto& [key, count] : counts.mRefusedByKind) {
    counters.emplace_back("jobs_refused_total{kind=\"" + key.first + "\",reason=\"" +
                            std::string(ToString(key.second)) + "\"}",
                          count);
  }
  return counters;
}

std::string Dump(const State& aState, const Now& aNow)
{
  namespace json = boost::json;
  const auto milliseconds = [](Duration aDuration) { return aDuration.count() / 1000; };
  json::array services;
  for (ServiceIndex n = 0; n < aState.mServices.size(); ++n) {
    const auto& service = aState.mServices[n];
    const auto& pool = aState.mPlacement.mPools[n];
    services.push_back({ { "name", pool.mName },
                         { "queued", service.mQueue.mTasks },
                         { "needs_groups", service.mGroups.size() },
                         { "queued_work_ms", service.mQueue.mWork[0] / 1000 },
                         { "queued_long_work_ms", service.mQueue.mWork[1] / 1000 },
                         { "running_short", service.mRunning[0] },
                         { "running_long", service.mRunning[1] },
                         { "long_limit", LongLimit(aState, n) },
                         { "usable_credits", pool.mHealthyCredits },
                         { "service_fault", pool.mServiceFault } });
  }
  json::array upstreams;
  for (const auto& [key, n] : aState.mPlacement.mByKey) {
    const auto& upstream = aState.mPlacement.mUpstreams[n];
    upstreams.push_back({ { "key", key },
                          { "configured", upstream.mConfigured },
                          { "credits", upstream.mCredits },
                          { "running", upstream.mRunning },
                          { "leaving", upstream.mLeaving },
                          { "suspected", upstream.mSuspected },
                          { "treated_as_leaving", upstream.mTreatedAsLeaving },
                          { "failing", upstream.mHealth.mFailing },
                          { "slow", upstream.mHealth.mSlow },
                          { "failure_rate", placement::FailureRate(upstream.mHealth) } });
  }
  json::array jobs;
  for (const auto& job : aState.mJobs) {
    if (job.mId == nullptr || job.mState != JobState::Running) {
      continue;
    }
    jobs.push_back({ { "id", *job.mId },
                     { "state", NameOf(job.mState) },
                     { "team", aState.mTeams[job.mTeam].mName },
                     { "service", aState.mPlacement.mPools[job.mService].mName },
                     { "tasks", job.mTasks.size() },
                     { "queued", job.mQueued },
                     { "delayed", job.mDelayed },
                     { "ran", job.mCompletedTasks },
                     { "queued_work_ms", (job.mQueuedWork[0] + job.mQueuedWork[1]) / 1000 },
                     { "age_ms", milliseconds(aNow.mTime - job.mAccepted) },
                     { "deadline_in_ms", milliseconds(job.mDeadline - aNow.mTime) },
                     { "waits_for", ReasonOf(aState, job) } });
  }
  json::array teams;
  for (const auto& [name, n] : aState.mTeamByName) {
    const auto& team = aState.mTeams[n];
    teams.push_back({ { "name", name },
                      { "queued", team.mQueued },
                      { "share", team.mShare },
                      { "tokens", team.mQuota.mTokens } });
  }
  return json::serialize(json::object{ { "configuration_version", aState.mVersion },
                                       { "accepting", aState.mAccepting },
                                       { "queued_tasks", aState.mQueuedTasks },
                                       { "running_tasks", aState.mRunningTasks },
                                       { "retry_tokens", aState.mRetryBudget.mTokens },
                                       { "services", std::move(services) },
                                       { "upstreams", std::move(upstreams) },
                                       { "teams", std::move(teams) },
                                       { "jobs", std::move(jobs) } });
}

} // namespace pollenwall::dispatch
