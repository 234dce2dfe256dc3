#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

namespace pollenwall {

/// What is known about a request's execution.
enum class Verdict
{
  NotRun,     ///< No task of it has started, and none ever will.
  MayHaveRun, ///< It is not known whether a task of it started.
  Ran,        ///< At least one task of it started.
};

/// Stable error codes; their text form is part of the caller API.
enum class ErrorCode
{
  BadRequest,
  TooLarge,
  UnknownService,
  UnknownTeam,
  UnknownJob,
  NeverRunnable,
  DeadlineUnreachable,
  QuotaExceeded,
  Overloaded,
  NotReady,
  Stopping,
  OwnerUnreachable,
  OwnerUnsettled,
  IdConflict,
  ClockAhead,
  Cancelled,
  TaskFailed,
  UpstreamLost,
  Expired,
  Internal,
};

/// A refusal or failure: why, and whether the request may have run.
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mMessage;                                 ///< A sentence for people.
  std::optional<std::chrono::milliseconds> mRetryAfter; ///< Set where a later attempt makes sense.

  friend bool operator==(const Error&, const Error&) = default;
};

/// Results of fallible calls carry an Error through Boost.LEAF.
template<typename T>
using Result = boost::leaf::result<T>;

/// Returns "not_run", "may_have_run" or "ran".
std::string_view ToString(Verdict aVerdict);

/// Returns the code's text form, for example "quota_exceeded".
std::string_view ToString(ErrorCode aCode);

/// Parses a text form made by ToString. Returns nothing for any other text.
std::optional<Verdict> ParseVerdict(std::string_view aText);
std::optional<ErrorCode> ParseErrorCode(std::string_view aText);

/// Combines what is known about two parts of one request: Ran beats MayHaveRun, which beats NotRun.
Verdict Combine(Verdict aOne, Verdict aOther);

} // namespace pollenwall
