#pragma once

#include <string>
#include <string_view>

#include <pollenwall/job.h>
#include <pollenwall/verdict.h>

/// JSON encoding of jobs submitted by callers and of the answers to them.
namespace pollenwall::daemon {

struct CallerLimits
{
  std::size_t mMaxTasks = kMaxTasksPerJob;
  std::size_t mMaxNesting = 8;
  std::size_t mMaxNameBytes = 128; ///< Of service, team, kind and each part of an id.
};

struct Submission
{
  JobSpec mJob;
  bool mWait = true;
};

/// Decodes an untrusted body. Unknown keys are refused, so that a misspelt optional key such as
/// `resubmission` cannot silently change a verdict.
///
/// The error's verdict is NotRun if no task can have run under the id in the body, and MayHaveRun
/// if the body has an id and another copy of the job may have been submitted.
Result<Submission> DecodeSubmission(std::string_view aBody, const CallerLimits& aLimits);

/// Encodes the body of an answer. Results are included only for a complete job; bytes of a result
/// that are not valid UTF-8 become U+FFFD.
std::string EncodeAnswer(const JobAnswer& aAnswer);

/// Appends the text as a quoted JSON string.
void AppendJsonString(std::string& aOut, std::string_view aText);

} // namespace pollenwall::daemon
