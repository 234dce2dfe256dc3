#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

namespace pollenwall {

/// Whether a request has been executed, as far as that is known.
enum class Verdict
{
  NotRun,     ///< No task of it has started, and none ever will.
  MayHaveRun, ///< It is unknown whether a task of it started.
  Ran,        ///< At least one task of it started.
};

/// Error codes. Their text form is part of the caller API and does not change.
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

/// A refusal or failure: its reason, and whether the request may have run.
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mMessage;                                 ///< Human-readable sentence.
  std::optional<std::chrono::milliseconds> mRetryAfter; ///< Set when a retry can succeed.

  friend bool operator==(const Error&, const Error&) = default;
};

/// The value of a call that can fail. Boost.LEAF carries the Error.
template<typename T>
using Result = boost::leaf::result<T>;

/// Returns "not_run", "may_have_run" or "ran".
std::string_view ToString(Verdict aVerdict);

/// Returns the code's text form, for example "quota_exceeded".
std::string_view ToString(ErrorCode aCode);

/// Parses a text form made by ToString. Returns nullopt for any other text.
std::optional<Verdict> ParseVerdict(std::string_view aText);
std::optional<ErrorCode> ParseErrorCode(std::string_view aText);

/// Combines the verdicts of two parts of one request: Ran overrides MayHaveRun, which overrides
/// NotRun.
Verdict Combine(Verdict aOne, Verdict aOther);

} // namespace pollenwall
