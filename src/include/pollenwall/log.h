#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Structured logs: one JSON object a line on standard output or standard error, written through
/// glog. Writing a line never blocks the process: lines are dropped when the reader does not keep
/// up or, for Write, when the rate limits are exceeded, and the number of dropped lines is logged.
/// Before all info lines are dropped, those with a field `job` are sampled by a hash of the job id,
/// so that all processes keep the lines of the same jobs.
namespace pollenwall::log {

using Value = std::variant<std::string, std::int64_t, double, bool>;
using Field = std::pair<std::string_view, Value>;

/// Destination of the lines. Programs that print results reserve standard output for the results.
enum class Output
{
  StandardError,
  StandardOutput,
};

/// Limits in lines per second.
struct RateLimits
{
  std::size_t mSampleAfter = 200; ///< Beyond this, keep info lines of one job in kJobSampleDivisor.
  std::size_t mMaxInfoLines = 400; ///< Beyond this, drop all info lines.
  std::size_t mMaxLines = 800;     ///< Beyond this, drop all lines.

  friend bool operator==(const RateLimits&, const RateLimits&) = default;
};
inline constexpr std::uint64_t kJobSampleDivisor = 8;

enum class Level
{
  Info,
  Warning,
  Error,
};

/// State of the rate limits in the current second. A plain struct, so that tests can use it alone.
struct RateLimiter
{
  RateLimits mLimits;
  std::int64_t mSecond = 0;
  std::size_t mLines = 0;
  std::uint64_t mDropped = 0; ///< Since the last call of TakeDropped.
  std::uint64_t mTotalDropped = 0;
};

/// Returns whether a line may be written in this second, and counts it as written or dropped. aJob
/// is empty for a line without a job.
bool Admit(RateLimiter& aLimiter, std::int64_t aSecond, Level aLevel, std::string_view aJob);
/// Returns the number of lines dropped since the last call.
std::uint64_t TakeDropped(RateLimiter& aLimiter);

/// Returns the number of lines dropped since the process started.
std::uint64_t DroppedLineCount();

/// Sets the rate limits of Write.
void SetRateLimits(const RateLimits& aLimits);

/// Initializes glog for the program and writes its lines as JSON to the output. Call once, first in
/// main. Each line has `time` (RFC 3339, UTC, microseconds), `level`, `program`, `event` and the
/// event's own fields.
void Init(std::string_view aProgram, Output aOutput = Output::StandardError);

/// Write one line regardless of the rate limits. The event is a stable snake_case name. Fields must
/// not contain secrets.
void Info(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void Warning(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void LogError(std::string_view aEvent, std::initializer_list<Field> aFields = {});

/// Writes one line, subject to the rate limits, whose fields are known only at run time.
void Write(Level aLevel, std::string_view aEvent, const std::vector<Field>& aFields);

/// Returns the JSON object that the functions above write for the event, without `time` and
/// `program`.
std::string FormatEvent(std::string_view aLevel,
                        std::string_view aEvent,
                        std::initializer_list<Field> aFields);

} // namespace pollenwall::log
