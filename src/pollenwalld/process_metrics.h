#pragma once

#include <pollenwall/net/http_server.h>

#include "shell.h"

namespace pollenwall::daemon {

/// The answer to GET /metrics: what the process's services have counted, aReadings, and the
/// processor time and memory of the process.
net::HttpResponse MetricsResponse(const Shell& aShell, metrics::Readings aReadings);

} // namespace pollenwall::daemon
