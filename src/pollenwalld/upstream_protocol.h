#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <pollenwall/ids.h>
#include <pollenwall/job.h>
#include <pollenwall/time.h>

/// The upstream protocol as text, without I/O.
namespace pollenwall::daemon {

/// The header of a start request; the payload follows as the body.
std::string RunHeader(std::string_view aHost,
                      const TaskId& aTask,
                      UnixMs aNotAfterMs,
                      std::size_t aPayloadBytes);

/// Whole requests.
std::string StopRequest(std::string_view aHost, const TaskId& aTask);
std::string SlotsRequest(std::string_view aHost);

/// What a complete answer to a start request says. A 409 counts as a refusal only with the header
/// `Pollenwall-Verdict: not_run`; aVerdict and aCode are the values of the headers, or empty.
TaskOutcome OutcomeOf(unsigned aStatus,
                      std::string_view aVerdict,
                      std::string_view aCode,
                      std::string aBody);

/// The outcome of a start request without an answer.
TaskOutcome LostOutcome(bool aWritten);

/// The busy slots in the answer to a slots request; nothing when it is not valid.
std::optional<std::uint32_t> ParseBusySlots(std::string_view aBody);

} // namespace pollenwall::daemon
