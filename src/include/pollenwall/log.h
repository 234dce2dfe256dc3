#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Structured logs: one JSON object a line on standard output or standard error, written through
/// glog. A line never blocks the process: when the reader does not keep up, or more lines come than
/// the budget allows, lines are dropped, counted and the count is logged. Lines of level info that
/// have a field `job` are thinned out first, by a hash of the id, so that all processes keep the
/// lines of the same jobs.
namespace pollenwall::log {

using Value = std::variant<std::string, std::int64_t, double, bool>;
using Field = std::pair<std::string_view, Value>;

/// Where lines go. Programs that print results keep standard output for these.
enum class Output
{
  StandardError,
  StandardOutput,
};

/// Lines a second.
struct Budget
{
  std::size_t mThinAfter = 200; ///< From here on, info lines of one job in kKeptJobs only.
  std::size_t mInfo = 400;      ///< No info lines beyond.
  std::size_t mMost = 800;      ///< No lines beyond.

  friend bool operator==(const Budget&, const Budget&) = default;
};
inline constexpr std::uint64_t kKeptJobs = 8;

enum class Level
{
  Info,
  Warning,
  Error,
};

/// Counts the lines of the present second. Plain state, for tests.
struct Meter
{
  Budget mBudget;
  std::int64_t mSecond = 0;
  std::size_t mLines = 0;
  std::uint64_t mDropped = 0; ///< Since the last call of TakeDropped.
  std::uint64_t mAllDropped = 0;
};

/// Whether a line may be written at this second. aJob is empty for lines that belong to no job.
bool Admit(Meter& aMeter, std::int64_t aSecond, Level aLevel, std::string_view aJob);
std::uint64_t TakeDropped(Meter& aMeter);

/// Lines of this process that were not written, since its start.
std::uint64_t DroppedLines();

/// Changes the budget of the lines that Write writes.
void SetBudget(const Budget& aBudget);

/// Starts glog for the program and sends its lines as JSON to the output. Call once, first in main.
/// Lines have `time` (RFC 3339, UTC, microseconds), `level`, `program`, `event` and the event's own
/// fields.
void Init(std::string_view aProgram, Output aOutput = Output::StandardError);

/// Write one line. The event is a stable snake_case name. Secrets are never passed as fields.
void Info(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void Warning(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void LogError(std::string_view aEvent, std::initializer_list<Field> aFields = {});

/// Writes one line whose fields are known only at run time, within the budget.
void Write(Level aLevel, std::string_view aEvent, const std::vector<Field>& aFields);

/// Returns the event as the JSON object that the calls above write, without the time.
std::string FormatEvent(std::string_view aLevel,
                        std::string_view aEvent,
                        std::initializer_list<Field> aFields);

} // namespace pollenwall::log
