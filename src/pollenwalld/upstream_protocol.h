#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <pollenwall/ids.h>
#include <pollenwall/job.h>
#include <pollenwall/time.h>

/// Formats and parses messages of the HTTP protocol to upstreams, without I/O.
namespace pollenwall::daemon {

/// The request line and headers of a start request; the payload follows as the body.
std::string RunHeader(std::string_view aHost,
                      const TaskId& aTask,
                      UnixMs aNotAfterMs,
                      std::size_t aPayloadBytes);

/// Complete requests, with their bodies.
std::string StopRequest(std::string_view aHost, const TaskId& aTask);
std::string SlotsRequest(std::string_view aHost);

/// The outcome that a complete response to a start request reports. A 409 counts as a refusal only
/// with the header `Pollenwall-Verdict: not_run`. aVerdict and aCode are the values of the headers
/// Pollenwall-Verdict and Pollenwall-Code, or empty.
TaskOutcome OutcomeFromResponse(unsigned aStatus,
                                std::string_view aVerdict,
                                std::string_view aCode,
                                std::string aBody);

/// The outcome of a start request without a valid response. aWritten: some of it was written.
TaskOutcome LostOutcome(bool aWritten);

/// The number of busy slots in the response to a slots request, or nothing if it is not valid.
std::optional<std::uint32_t> ParseBusySlots(std::string_view aBody);

} // namespace pollenwall::daemon
