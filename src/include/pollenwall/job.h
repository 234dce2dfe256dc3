#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/needs.h>
#include <pollenwall/time.h>
#include <pollenwall/verdict.h>

/// Jobs that callers submit, and their answers.
namespace pollenwall {

/// Immutable text whose copies share their memory. The tasks of a job usually have one payload, and
/// a request of 4 KB would otherwise take 190 times its size.
struct SharedText
{
  SharedText() = default;
  SharedText(std::string aText) // NOLINT(google-explicit-constructor)
    : mText(aText.empty() ? nullptr : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedText(std::string_view aText) // NOLINT(google-explicit-constructor)
    : SharedText(std::string(aText))
  {
  }
  SharedText(const char* aText) // NOLINT(google-explicit-constructor)
    : SharedText(std::string(aText))
  {
  }

  const std::string& Text() const
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }
  operator const std::string&() const { return Text(); } // NOLINT(google-explicit-constructor)
  std::size_t size() const { return Text().size(); }     // NOLINT(readability-identifier-naming)

  friend bool operator==(const SharedText& aLeft, const SharedText& aRight)
  {
    return aLeft.mText == aRight.mText || aLeft.Text() == aRight.Text();
  }

  std::shared_ptr<const std::string> mText; ///< Null: empty.
};

struct TaskSpec
{
  SharedText mPayload; ///< Opaque to the dispatcher.
  std::chrono::milliseconds mDeclaredRunTime{ 0 };
  Needs mNeeds;

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// Tasks per job that an entry accepts at most; dispatch::Options can set a lower limit.
inline constexpr std::size_t kMaxTasksPerJob = 190;

struct JobSpec
{
  std::string mId; ///< Minted by an entry, or chosen by the caller; empty until minted.
  std::string mService;
  std::string mTeam;
  std::string mKind;
  bool mIdempotent = false;
  bool mResubmission = true; ///< Caller-chosen ids: false declares that this is the only copy sent.
  UnixMs mBornMs = 0;        ///< Caller-chosen ids: the caller's clock at the first submission.
  std::chrono::milliseconds mDeadline{ 0 }; ///< From acceptance to the answer.
  std::uint64_t mBodyHash = 0;   ///< Hash of everything that a resubmission has to repeat.
  std::uint32_t mPriority = 0;   ///< 0 is the highest priority.
  std::string mCallerDataCentre; ///< That of the entry which the caller uses; empty: not known.
  /// Target response time: this factor times the run time of the longest task, plus mTargetSlack.
  /// 0: no target, only the deadline. Jobs that can still meet their target go before jobs that
  /// cannot.
  double mTargetStretch = 0;
  std::chrono::milliseconds mTargetSlack{ 0 };
  /// Time from the caller's submission until this entry received the job.
  std::chrono::milliseconds mPriorWait{ 0 };
  /// Failed runs of one task after which the job fails.
  std::uint32_t mMaxFailures = 1;
  /// If true, a task may be started again once its previous run has certainly ended without
  /// success. If false, a task that may have run is never started again.
  bool mRestartable = false;
  std::vector<TaskSpec> mTasks;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

enum class JobState
{
  Running,
  Complete,
  Failed,
};

struct TaskAnswer
{
  Verdict mVerdict = Verdict::NotRun;
  std::optional<ErrorCode> mCode; ///< Absent while the task waits or runs, and when it succeeded.
  std::string mResult;            ///< Set only in the answer of a complete job.

  friend bool operator==(const TaskAnswer&, const TaskAnswer&) = default;
};

/// A job's status or final answer. mTasks has one element per task, in the order of submission.
struct JobAnswer
{
  std::string mId;
  JobState mState = JobState::Running;
  Verdict mVerdict = Verdict::NotRun;
  std::vector<TaskAnswer> mTasks;
  std::optional<Error> mError; ///< Set when the job failed.

  friend bool operator==(const JobAnswer&, const JobAnswer&) = default;
};

/// The outcome of one start request to an upstream.
struct TaskOutcome
{
  Verdict mVerdict = Verdict::MayHaveRun;
  /// Absent when the task succeeded. Overloaded: the upstream is busy. Stopping: the upstream is
  /// leaving.
  std::optional<ErrorCode> mCode;
  std::string mResult;
  Duration mRunTime{ 0 }; ///< From sending the request to its outcome.

  friend bool operator==(const TaskOutcome&, const TaskOutcome&) = default;
};

} // namespace pollenwall
