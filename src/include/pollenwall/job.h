#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/ids.h>
#include <pollenwall/needs.h>
#include <pollenwall/time.h>
#include <pollenwall/verdict.h>

/// Jobs as callers submit them, and their answers.
namespace pollenwall {

struct TaskSpec
{
  std::string mPayload; ///< Opaque to the dispatcher.
  std::chrono::milliseconds mDeclaredRun{ 0 };
  Needs mNeeds;

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

struct JobSpec
{
  std::string mId; ///< Minted or caller-chosen; empty until an entry has minted it.
  std::string mService;
  std::string mTeam;
  std::string mKind;
  bool mIdempotent = false;
  bool mResubmission = true; ///< Caller-chosen ids: false declares that no other copy was sent.
  UnixMs mBornMs = 0;        ///< Caller-chosen ids: the caller's clock at the first submission.
  std::chrono::milliseconds mDeadline{ 0 }; ///< From acceptance to the answer.
  std::uint64_t mBodyHash = 0;              ///< Of all that must be equal in a resubmission.
  std::uint32_t mPriority = 0;              ///< 0 is served first.
  /// The answer is wanted within so many times the longest task's run time, and mTargetSlack more;
  /// 0: at any time before the deadline. Jobs that can no longer keep it wait for those that can.
  double mTargetStretch = 0;
  std::chrono::milliseconds mTargetSlack{ 0 };
  std::chrono::milliseconds mWaited{ 0 }; ///< Since the caller's submission, before this one.
  /// Runs of one task that may fail before the job fails.
  std::uint32_t mMostFailures = 1;
  /// A task whose run is certainly over without success may be started again. Otherwise a task that
  /// may have run is never started again.
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
  std::optional<ErrorCode>
    mCode;             ///< Absent when the task ran well, or is still waiting or running.
  std::string mResult; ///< Only in a complete job's answer.

  friend bool operator==(const TaskAnswer&, const TaskAnswer&) = default;
};

/// A job's status or final answer. mTasks has one element a task, in the order submitted.
struct JobAnswer
{
  std::string mId;
  JobState mState = JobState::Running;
  Verdict mVerdict = Verdict::NotRun;
  std::vector<TaskAnswer> mTasks;
  std::optional<Error> mError; ///< Set when the job failed.

  friend bool operator==(const JobAnswer&, const JobAnswer&) = default;
};

/// How one start request to an upstream ended.
struct TaskOutcome
{
  Verdict mVerdict = Verdict::MayHaveRun;
  std::optional<ErrorCode>
    mCode; ///< Absent when the task ran well. Overloaded: busy. Stopping: leaving.
  std::string mResult;
  Duration mRunTime{ 0 }; ///< From sending the request to its outcome.

  friend bool operator==(const TaskOutcome&, const TaskOutcome&) = default;
};

} // namespace pollenwall
