#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Structured logs: one JSON object a line on standard error, written through glog.
namespace pollenwall::log {

using Value = std::variant<std::string, std::int64_t, double, bool>;
using Field = std::pair<std::string_view, Value>;

/// Starts glog for the program and sends its lines as JSON to standard error. Call once, first in
/// main. Lines have `time` (RFC 3339, UTC, microseconds), `level`, `program`, `event` and the
/// event's own fields.
void Init(std::string_view aProgram);

/// Write one line. The event is a stable snake_case name. Secrets are never passed as fields.
void Info(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void Warning(std::string_view aEvent, std::initializer_list<Field> aFields = {});
void LogError(std::string_view aEvent, std::initializer_list<Field> aFields = {});

/// Writes one line whose fields are known only at run time.
void Write(bool aWarning, std::string_view aEvent, const std::vector<Field>& aFields);

/// Returns the event as the JSON object that the calls above write, without the time.
std::string FormatEvent(std::string_view aLevel,
                        std::string_view aEvent,
                        std::initializer_list<Field> aFields);

} // namespace pollenwall::log
