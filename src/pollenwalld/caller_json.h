#pragma once

#include <string>
#include <string_view>

#include <pollenwall/job.h>
#include <pollenwall/verdict.h>

/// The JSON form of callers' jobs and of their answers.
namespace pollenwall::daemon {

struct CallerLimits
{
  std::size_t mMaxTasks = 190;
  std::size_t mMaxNesting = 8;
  std::size_t mMaxNameBytes = 128; ///< Of service, team, kind and id.
};

struct Submission
{
  JobSpec mJob;
  bool mWait = true;
};

/// Decodes an untrusted body. Unknown keys are refused, so that a misspelt optional key, for
/// example `resubmission`, cannot change a verdict silently.
///
/// The error's verdict is NotRun when no task can have run under the id of the body, and MayHaveRun
/// when the body has an id and another copy of it may have been submitted.
Result<Submission> DecodeSubmission(std::string_view aBody, const CallerLimits& aLimits);

/// The body of an answer. Results are written only for a complete job; bytes of a result that are
/// not valid UTF-8 become U+FFFD.
std::string EncodeAnswer(const JobAnswer& aAnswer);

/// Appends a JSON string with quotes.
void AppendJsonString(std::string& aOut, std::string_view aText);

} // namespace pollenwall::daemon
