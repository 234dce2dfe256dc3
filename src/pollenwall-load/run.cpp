#include "run.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <list>
#include <memory>
#include <stdexcept>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "answers.h"
#include "client.h"

namespace pollenwall::load {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kRoundTripSamples = 21;
constexpr std::size_t kKeysPerQuery = 5000;
/// Minimum delay before another copy of a job is sent. It is the whole delay after a broken
/// connection or a refusal without a retry-after.
constexpr std::int64_t kMinRetryDelayMs = 100;

double MsBetween(Clock::time_point aFrom, Clock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

std::int64_t UnixMsNow()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

struct Job
{
  explicit Job(asio::io_context& aContext)
    : mTimer(aContext)
  {
  }
  PlannedJob mPlan;
  Clock::time_point mStart;
  std::int64_t mBornMs = 0; ///< Wall-clock time of the submission.
  std::string mBody;
  asio::steady_timer mTimer; ///< For the next resubmission or the answer timeout.
  std::uint32_t mCopies = 0;
  std::uint32_t mOutstandingCopies = 0;
  /// Failed connects that are still retried at another entry without counting as a copy.
  std::uint32_t mConnectRetriesLeft = 10;
  std::size_t mEntry = 0; ///< Entry of the last copy.
  bool mDone = false;
  bool mRetryScheduled = false;
  Claims mClaims;
  std::list<std::shared_ptr<Job>>::iterator mPosition;
  // Used in direct mode only.
  std::size_t mTasksLeft = 0;
  ParsedAnswer mDirectAnswer;
};

struct WorkerTotals
{
  std::uint64_t mStarts = 0;
  std::uint64_t mDuplicates = 0;
  std::uint64_t mRefusals = 0;
  std::vector<std::uint64_t> mStartsPerWorker;
};

/// State and event handlers of one run; lives until its io_context has no work left or is stopped.
class Driver
{
public:
  explicit Driver(const RunOptions& aOptions)
    : mOptions(aOptions)
    , mPlan(MakePlan(aOptions.mPlan))
    , mArrivalTimer(mContext)
    , mSettleTimer(mContext)
  {
    for (const auto& endpoint : aOptions.mEntries) {
      mEntries.push_back(std::make_shared<Server>(mContext, endpoint, aOptions.mMaxConnections));
    }
    mReady.assign(mEntries.size(), true);
    mProbePending.assign(mEntries.size(), false);
    for (const auto& endpoint : aOptions.mEntries) {
      mProbes.push_back(std::make_shared<Server>(mContext, endpoint, 1));
    }
    for (const auto& endpoint : aOptions.mWorkers) {
      mWorkers.push_back(std::make_shared<Server>(mContext, endpoint, 1));
    }
    if (!aOptions.mJobsFile.empty()) {
      mJobsFile.open(aOptions.mJobsFile);
      if (!mJobsFile) {
        throw std::runtime_error("cannot write " + aOptions.mJobsFile);
      }
    }
  }

  Report Execute()
  {
    mReport.mScenario = mOptions.mScenario;
    mReport.mPolicy = mOptions.mPolicy;
    mReport.mSeed = mOptions.mPlan.mSeed;
    mReport.mSlots = mOptions.mSlots;
    const auto before = ReadWorkerTotals();
    mReport.mRoundTripMs = MeasureRoundTrip();
    mRandom.seed(mOptions.mPlan.mSeed + 1);
    mStart = Clock::now();
    mLastAnswer = mStart;
    for (const auto at : mOptions.mPlan.mCancelAtSeconds) {
      auto timer = std::make_shared<asio::steady_timer>(
        mContext, mStart + std::chrono::microseconds(std::llround(at * 1e6)));
      timer->async_wait([this, timer](error_code) { CancelWave(); });
    }
    for (std::size_t n = 0; mOptions.mReadyPollMs > 0 && n < mEntries.size(); ++n) {
      PollReady(n);
    }
    if (mOptions.mClosedLoopJobs > 0) {
      for (std::uint32_t n = 0; n < mOptions.mClosedLoopJobs; ++n) {
        SubmitNextClosed();
      }
    } else {
      ScheduleArrival();
    }
    mContext.restart();
    mContext.run();
    mReport.mSeconds = std::chrono::duration<double>(mLastAnswer - mStart).count();
    mReport.mLoadSeconds = mOptions.mClosedLoopJobs > 0
                             ? mReport.mSeconds
                             : std::min(mOptions.mPlan.mSeconds, mReport.mSeconds);
    for (const auto& entry : mEntries) {
      mReport.mClientQueued += entry->mQueued;
    }
    CheckWorkerCounts(before);
    for (const auto* servers : { &mEntries, &mProbes, &mWorkers }) {
      for (const auto& server : *servers) {
        server->mIdleConnections.clear();
      }
    }
    return std::move(mReport);
  }

private:
  /// Sends one request and runs the io_context until it is answered.
  HttpAnswer SendAndWait(Server& aServer, const std::string& aRequest)
  {
    HttpAnswer answer;
    Send(aServer, aRequest, [&](HttpAnswer aAnswer) {
      answer = std::move(aAnswer);
      mContext.stop();
    });
    mContext.restart();
    mContext.run();
    return answer;
  }

  double MeasureRoundTrip()
  {
    std::vector<double> times;
    auto& server = *mEntries.front();
    const auto request =
      RequestText(server, "GET", mOptions.mDirect ? "/v1/slots" : "/healthz", "");
    for (int n = 0; n < kRoundTripSamples; ++n) {
      const auto start = Clock::now();
      SendAndWait(server, request);
      times.push_back(MsBetween(start, Clock::now()));
    }
    std::nth_element(times.begin(), times.begin() + kRoundTripSamples / 2, times.end());
    return times[kRoundTripSamples / 2];
  }

  void ScheduleArrival()
  {
    // Submits all jobs that are due, so that a late timer does not delay the following arrivals.
    const auto now = Clock::now();
    do {
      if (mNextJob) {
        const auto at = mStart + mNextJob->mAt;
        Submit(std::move(*mNextJob), at);
      }
      mNextJob = NextJob(mPlan, true);
    } while (mNextJob && mStart + mNextJob->mAt <= now);
    if (!mNextJob) {
      mArrivalsDone = true;
      StopWhenDone();
      return;
    }
    mArrivalTimer.expires_at(mStart + mNextJob->mAt);
    mArrivalTimer.async_wait([this](error_code aEc) {
      if (!aEc) {
        ScheduleArrival();
      }
    });
  }

  void SubmitNextClosed()
  {
    const auto now = Clock::now();
    auto job = std::chrono::duration<double>(now - mStart).count() < mOptions.mPlan.mSeconds
                 ? NextJob(mPlan, false)
                 : std::nullopt;
    if (!job) {
      mArrivalsDone = true;
      StopWhenDone();
      return;
    }
    Submit(std::move(*job), now);
  }

  void Submit(PlannedJob aPlan, Clock::time_point aAt)
  {
    auto job = std::make_shared<Job>(mContext);
    job->mPlan = std::move(aPlan);
    job->mStart = aAt;
    job->mBornMs = UnixMsNow();
    job->mClaims.mJob = job->mPlan.mNumber;
    job->mClaims.mSize = static_cast<std::uint32_t>(job->mPlan.mTasks.size());
    job->mPosition = mJobs.insert(mJobs.end(), job);
    ++mReport.mJobs;
    mReport.mTasks += job->mPlan.mTasks.size();
    for (const auto& task : job->mPlan.mTasks) {
      mReport.mWorkMs += task.mRunMs;
    }
    if (mOptions.mDirect) {
      SubmitDirect(job);
      return;
    }
    job->mBody = RequestBody(*job);
    SendCopy(job);
    ArmTimer(job);
  }

  std::string RequestBody(const Job& aJob) const
  {
    const auto& plan = aJob.mPlan;
    std::string body = R"({"service":")" + mOptions.mService + R"(","team":")" + plan.mTeam +
                       R"(","kind":")" + plan.mKind + R"(","idempotent":false,"wait":true,)";
    body += R"("deadline_ms":)" + std::to_string(mOptions.mDeadlineMs);
    if (!plan.mId.empty()) {
      body += R"(,"id":")" + plan.mId + R"(","born_ms":)" + std::to_string(aJob.mBornMs);
    }
    body += R"(,"tasks":[)";
    for (std::size_t n = 0; n < plan.mTasks.size(); ++n) {
      const auto& task = plan.mTasks[n];
      const auto payload = TaskPayload(mOptions.mPlan.mRun, plan.mNumber, n, task.mRunMs);
      body += n == 0 ? R"({"payload":")" : R"(,{"payload":")";
      // Quotes are the only characters of a payload that need escaping.
      for (const char c : payload) {
        if (c == '"') {
          body += '\\';
        }
        body += c;
      }
      body += R"(","declared_run_ms":)" + std::to_string(task.mDeclaredMs) + "}";
    }
    return body + "]}";
  }

  /// Returns the first ready entry from aFirst on, or aFirst if no entry is ready.
  std::size_t NextReadyEntry(std::size_t aFirst) const
  {
    const auto n = mEntries.size();
    for (std::size_t step = 0; step < n; ++step) {
      if (mReady[(aFirst + step) % n]) {
        return (aFirst + step) % n;
      }
    }
    return aFirst % n;
  }

  std::size_t PickEntry(const Job& aJob)
  {
    if (aJob.mCopies > 0) {
      return NextReadyEntry(aJob.mEntry + 1);
    }
    return NextReadyEntry(mOptions.mRandomEntry ? mRandom() % mEntries.size() : mNextEntry++);
  }

  /// Probes the readiness of one entry at regular intervals. An entry that has not answered by the
  /// next probe, or answers with a status other than 200, gets no new submissions.
  void PollReady(std::size_t aEntry)
  {
    if (mSettled) {
      return;
    }
    auto& server = *mProbes[aEntry];
    if (mProbePending[aEntry]) {
      mReady[aEntry] = false;
    } else {
      mProbePending[aEntry] = true;
      Send(server, RequestText(server, "GET", "/readyz", ""), [this, aEntry](const auto& aAnswer) {
        mProbePending[aEntry] = false;
        mReady[aEntry] = aAnswer.mOk && aAnswer.mStatus == 200;
      });
    }
    auto timer =
      std::make_shared<asio::steady_timer>(mContext, milliseconds(mOptions.mReadyPollMs));
    timer->async_wait([this, timer, aEntry](error_code) { PollReady(aEntry); });
  }

  void SendCopy(const std::shared_ptr<Job>& aJob)
  {
    mReport.mResubmissions += aJob->mCopies > 0 ? 1 : 0;
    SendCopyTo(aJob, PickEntry(*aJob));
  }

  void SendCopyTo(const std::shared_ptr<Job>& aJob, std::size_t aEntry)
  {
    aJob->mEntry = aEntry;
    ++aJob->mCopies;
    ++aJob->mOutstandingCopies;
    auto& server = *mEntries[aEntry];
    Send(server,
         RequestText(server, "POST", "/v1/jobs", aJob->mBody),
         [this, job = aJob](const HttpAnswer& aAnswer) { OnCopyResult(job, aAnswer); });
  }

  bool MayResubmit(const Job& aJob) const
  {
    return !aJob.mPlan.mId.empty() && aJob.mCopies < mOptions.mMaxCopies &&
           MsBetween(aJob.mStart, Clock::now()) < static_cast<double>(mOptions.mAnswerTimeoutMs);
  }

  void ArmTimer(const std::shared_ptr<Job>& aJob)
  {
    const auto end = aJob->mStart + milliseconds(mOptions.mAnswerTimeoutMs);
    const bool resubmits = mOptions.mResubmitAfterMs > 0 && MayResubmit(*aJob);
    const auto next = Clock::now() + milliseconds(mOptions.mResubmitAfterMs);
    aJob->mTimer.expires_at(resubmits ? std::min(end, next) : end);
    aJob->mTimer.async_wait([this, job = aJob, end](error_code aEc) {
      if (aEc || job->mDone) {
        return;
      }
      if (Clock::now() >= end) {
        ++mReport.mLostAnswers;
        Finish(job, "lost", "");
        return;
      }
      if (MayResubmit(*job) && !job->mRetryScheduled) {
        SendCopy(job);
      }
      ArmTimer(job);
    });
  }

  /// Sends another copy after a delay. Used when it is unknown whether the submission runs.
  void RetryLater(const std::shared_ptr<Job>& aJob, std::int64_t aWaitMs)
  {
    aJob->mRetryScheduled = true;
    auto timer = std::make_shared<asio::steady_timer>(mContext, milliseconds(aWaitMs));
    timer->async_wait([this, timer, job = aJob](error_code) {
      job->mRetryScheduled = false;
      if (!job->mDone) {
        SendCopy(job);
      }
    });
  }

  void OnCopyResult(const std::shared_ptr<Job>& aJob, const HttpAnswer& aAnswer)
  {
    auto& job = *aJob;
    --job.mOutstandingCopies;
    if (!aAnswer.mOk && !aAnswer.mSent && !job.mDone && mReady.size() > 1 &&
        job.mConnectRetriesLeft > 0) {
      // Nothing was sent, so the copy may go to another entry and does not count as a new one.
      --job.mConnectRetriesLeft;
      --job.mCopies;
      mReady[job.mEntry] = mOptions.mReadyPollMs == 0;
      SendCopyTo(aJob, NextReadyEntry(job.mEntry + 1));
      return;
    }
    if (!aAnswer.mOk) {
      if (job.mDone) {
        return;
      }
      if (MayResubmit(job)) {
        RetryLater(aJob, kMinRetryDelayMs);
      } else if (job.mOutstandingCopies == 0 && !job.mRetryScheduled) {
        ++mReport.mBrokenConnections;
        Finish(aJob, "broken", "");
      }
      return;
    }
    const auto answer = CheckAnswer(aAnswer.mStatus,
                                    aAnswer.mBody,
                                    mOptions.mPlan.mRun,
                                    job.mPlan.mNumber,
                                    job.mPlan.mTasks.size());
    AddClaims(job.mClaims, answer);
    if (answer.mOutcome == Outcome::Malformed || answer.mWrongResult) {
      ++mReport.mWrongAnswers;
      if (mReport.mWrongAnswers == 1) {
        mReport.mFirstWrongAnswer = aAnswer.mBody.substr(0, 500);
      }
    }
    if (job.mDone) {
      if (answer.mVerdict != Verdict::MayHaveRun) {
        // Claims of a second answer are checked like those of the first one.
        mLateClaims.push_back(job.mClaims);
      }
      return;
    }
    if (answer.mOutcome == Outcome::Refused && answer.mVerdict == Verdict::MayHaveRun &&
        MayResubmit(job)) {
      RetryLater(aJob, std::max(kMinRetryDelayMs, answer.mRetryAfterMs));
      return;
    }
    if (answer.mOutcome == Outcome::Refused && answer.mVerdict == Verdict::MayHaveRun &&
        job.mOutstandingCopies > 0) {
      return; // Another copy may still be answered.
    }
    FinishWithAnswer(aJob, answer);
  }

  void FinishWithAnswer(const std::shared_ptr<Job>& aJob, const ParsedAnswer& aAnswer)
  {
    const auto& plan = aJob->mPlan;
    const double responseMs = MsBetween(aJob->mStart, Clock::now());
    ++mReport.mVerdicts[std::string(ToString(aAnswer.mVerdict))];
    if (!aAnswer.mCode.empty()) {
      ++mReport.mCodes[aAnswer.mCode];
    }
    if (aAnswer.mOutcome == Outcome::Complete) {
      ++mReport.mComplete;
      double longest = 0;
      double work = 0;
      for (const auto& task : plan.mTasks) {
        longest = std::max(longest, task.mRunMs);
        work += task.mRunMs;
      }
      const double slowdown = responseMs / (longest + mReport.mRoundTripMs);
      AddSample(mReport.mResponseMs, responseMs);
      AddSample(mReport.mSlowdown, slowdown);
      if (longest <= mOptions.mLongMs) {
        AddSample(mReport.mShortSlowdown, slowdown);
      }
      if (responseMs <= static_cast<double>(mOptions.mDeadlineMs)) {
        mReport.mWorkInTimeMs += work;
      } else {
        ++mReport.mLateAnswers;
      }
      Finish(aJob, "complete", "");
      return;
    }
    const bool failed = aAnswer.mOutcome == Outcome::Failed;
    ++(failed ? mReport.mFailed : mReport.mRefused);
    Finish(aJob,
           failed                                   ? "failed"
           : aAnswer.mOutcome == Outcome::Malformed ? "malformed"
                                                    : "refused",
           aAnswer.mCode);
  }

  void Finish(const std::shared_ptr<Job>& aJob, std::string_view aOutcome, std::string_view aCode)
  {
    aJob->mDone = true;
    aJob->mTimer.cancel();
    mLastAnswer = Clock::now();
    if (mJobsFile.is_open()) {
      const auto& plan = aJob->mPlan;
      mJobsFile << "{\"job\":" << plan.mNumber << ",\"id\":\"" << plan.mId
                << "\",\"at\":" << MsBetween(mStart, aJob->mStart) / 1000
                << ",\"end\":" << MsBetween(mStart, mLastAnswer) / 1000 << ",\"entry\":\""
                << mEntries[aJob->mEntry]->mName << "\",\"copies\":" << aJob->mCopies
                << ",\"outcome\":\"" << aOutcome << "\",\"code\":\"" << aCode << "\"}\n";
    }
    if (mClaimedTasks + aJob->mClaims.mSize <= mOptions.mMaxCheckedTasks) {
      mClaimedTasks += aJob->mClaims.mSize;
      mClaims.push_back(aJob->mClaims);
    } else {
      ++mReport.mUncheckedJobs;
    }
    mJobs.erase(aJob->mPosition);
    if (mOptions.mClosedLoopJobs > 0) {
      SubmitNextClosed();
      return;
    }
    StopWhenDone();
  }

  void StopWhenDone()
  {
    if (!mArrivalsDone || !mJobs.empty() || mSettling) {
      return;
    }
    mSettling = true;
    mSettleTimer.expires_after(milliseconds(mOptions.mSettleMs));
    mSettleTimer.async_wait([this](error_code) {
      mSettled = true;
      mContext.stop();
    });
  }

  void CancelWave()
  {
    for (const auto& job : mJobs) {
      const double drawn = static_cast<double>(mRandom() >> 11) * 0x1p-53;
      if (job->mPlan.mId.empty() || drawn >= mOptions.mPlan.mCancelRatio) {
        continue;
      }
      ++mReport.mCancels;
      auto& server = *mEntries[mRandom() % mEntries.size()];
      const auto target = "/v1/jobs/" + job->mPlan.mId + "?team=" + job->mPlan.mTeam;
      Send(server, RequestText(server, "DELETE", target, ""), [](const HttpAnswer&) {});
    }
  }

  void SubmitDirect(const std::shared_ptr<Job>& aJob)
  {
    const auto& plan = aJob->mPlan;
    aJob->mTasksLeft = plan.mTasks.size();
    aJob->mDirectAnswer.mOutcome = Outcome::Complete;
    aJob->mDirectAnswer.mVerdict = Verdict::Ran;
    aJob->mDirectAnswer.mTasks.assign(plan.mTasks.size(), Verdict::Ran);
    const auto notAfter = std::to_string(aJob->mBornMs + mOptions.mAnswerTimeoutMs);
    for (std::size_t n = 0; n < plan.mTasks.size(); ++n) {
      const auto key = TaskKey(mOptions.mPlan.mRun, plan.mNumber, n);
      const auto entry =
        mOptions.mRandomEntry ? mRandom() % mEntries.size() : mNextEntry++ % mEntries.size();
      aJob->mEntry = entry;
      std::string headers = "Pollenwall-Task: ";
      headers.append(key).append("\r\nPollenwall-Not-After: ").append(notAfter).append("\r\n");
      auto& server = *mEntries[entry];
      Send(server,
           RequestText(server,
                       "POST",
                       "/v1/run",
                       TaskPayload(mOptions.mPlan.mRun, plan.mNumber, n, plan.mTasks[n].mRunMs),
                       headers),
           [this, job = aJob, n, key](const HttpAnswer& aAnswer) {
             OnDirectAnswer(job, n, key, aAnswer);
           });
    }
  }

  void OnDirectAnswer(const std::shared_ptr<Job>& aJob,
                      std::size_t aTask,
                      const std::string& aKey,
                      const HttpAnswer& aAnswer)
  {
    auto& answer = aJob->mDirectAnswer;
    if (!aAnswer.mOk || aAnswer.mStatus != 200) {
      const bool refused = aAnswer.mOk && aAnswer.mStatus == 409;
      answer.mOutcome = Outcome::Failed;
      answer.mVerdict = Verdict::MayHaveRun;
      answer.mCode = refused ? "overloaded" : "upstream_lost";
      answer.mTasks[aTask] = refused ? Verdict::NotRun : Verdict::MayHaveRun;
    } else if (aAnswer.mBody != "{\"echo\":\"" + aKey + "\"}") {
      ++mReport.mWrongAnswers;
    }
    if (--aJob->mTasksLeft == 0) {
      AddClaims(aJob->mClaims, answer);
      FinishWithAnswer(aJob, answer);
    }
  }

  WorkerTotals ReadWorkerTotals()
  {
    WorkerTotals totals;
    for (const auto& worker : mWorkers) {
      const auto answer = SendAndWait(*worker, RequestText(*worker, "GET", "/v1/counts", ""));
      if (!answer.mOk || answer.mStatus != 200) {
        throw std::runtime_error("no counts from the worker " + worker->mName);
      }
      const auto value = boost::json::parse(answer.mBody);
      totals.mStarts += value.at("starts").to_number<std::uint64_t>();
      totals.mDuplicates += std::max(value.at("duplicates").to_number<std::uint64_t>(),
                                     value.at("duplicate_keys").to_number<std::uint64_t>());
      for (const auto& port : value.at("ports").as_array()) {
        totals.mStartsPerWorker.push_back(port.at("starts").to_number<std::uint64_t>());
        for (const auto* reason :
             { "refused_busy", "refused_leaving", "refused_expired", "refused_by_fault" }) {
          totals.mRefusals += port.at(reason).to_number<std::uint64_t>();
        }
      }
    }
    return totals;
  }

  /// Returns the starts of each key, summed over all workers.
  std::vector<std::uint32_t> StartsOfKeys(const std::vector<std::string>& aKeys)
  {
    std::vector<std::uint32_t> sums(aKeys.size());
    std::string body = "{\"keys\":[";
    for (const auto& key : aKeys) {
      body += (&key == aKeys.data() ? "\"" : ",\"") + key + "\"";
    }
    body += "]}";
    for (const auto& worker : mWorkers) {
      const auto answer = SendAndWait(*worker, RequestText(*worker, "POST", "/v1/counts", body));
      if (!answer.mOk || answer.mStatus != 200) {
        throw std::runtime_error("no counts of keys from the worker " + worker->mName);
      }
      std::size_t n = 0;
      const auto value = boost::json::parse(answer.mBody);
      for (const auto& starts : value.at("starts").as_array()) {
        sums.at(n++) += starts.to_number<std::uint32_t>();
      }
    }
    return sums;
  }

  void CheckWorkerCounts(const WorkerTotals& aBefore)
  {
    if (mWorkers.empty()) {
      return;
    }
    mReport.mCounted = true;
    std::uint64_t duplicates = 0;
    // A job that was answered again after it had finished is checked again, but its starts count
    // only once for the duplicates.
    mClaims.insert(mClaims.end(), mLateClaims.begin(), mLateClaims.end());
    const auto firstAnswers = mClaims.size() - mLateClaims.size();
    for (std::size_t from = 0; from < mClaims.size();) {
      std::vector<std::string> keys;
      auto to = from;
      for (; to < mClaims.size() && keys.size() < kKeysPerQuery; ++to) {
        for (std::size_t n = 0; n < mClaims[to].mSize; ++n) {
          keys.push_back(TaskKey(mOptions.mPlan.mRun, mClaims[to].mJob, n));
        }
      }
      const auto starts = StartsOfKeys(keys);
      auto at = starts.begin();
      for (; from < to; ++from) {
        const std::vector<std::uint32_t> own(at, at + mClaims[from].mSize);
        at += mClaims[from].mSize;
        mReport.mWrongVerdicts += CountWrongClaims(mClaims[from], own);
        for (const auto n : own) {
          duplicates += from < firstAnswers && n > 1 ? n - 1 : 0;
        }
      }
    }
    const auto after = ReadWorkerTotals();
    mReport.mStarts = after.mStarts - aBefore.mStarts;
    mReport.mRefusals = after.mRefusals - aBefore.mRefusals;
    mReport.mDuplicateStarts = std::max(duplicates, after.mDuplicates - aBefore.mDuplicates);
    for (std::size_t n = 0; n < after.mStartsPerWorker.size(); ++n) {
      const auto before = n < aBefore.mStartsPerWorker.size() ? aBefore.mStartsPerWorker[n] : 0;
      mReport.mStartsPerWorker.push_back(after.mStartsPerWorker[n] - before);
    }
  }

  const RunOptions& mOptions;
  asio::io_context mContext{ 1 };
  Plan mPlan;
  std::mt19937_64 mRandom;
  std::vector<std::shared_ptr<Server>> mEntries;
  std::vector<std::shared_ptr<Server>> mProbes; ///< The entries again, for readiness probes.
  std::vector<std::shared_ptr<Server>> mWorkers;
  std::vector<bool> mReady; ///< Per entry: gets submissions, as from a load balancer.
  std::vector<bool> mProbePending;
  asio::steady_timer mArrivalTimer;
  asio::steady_timer mSettleTimer;
  std::optional<PlannedJob> mNextJob;
  std::list<std::shared_ptr<Job>> mJobs; ///< Jobs in flight.
  std::deque<Claims> mClaims;
  std::deque<Claims> mLateClaims;
  std::uint64_t mClaimedTasks = 0;
  std::size_t mNextEntry = 0;
  bool mArrivalsDone = false;
  bool mSettling = false;
  bool mSettled = false;
  Clock::time_point mStart;
  Clock::time_point mLastAnswer;
  std::ofstream mJobsFile;
  Report mReport;
};

} // namespace

Report Run(const RunOptions& aOptions)
{
  Driver driver(aOptions);
  return driver.Execute();
}

} // namespace pollenwall::load
