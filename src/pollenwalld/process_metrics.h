#pragma once

#include <pollenwall/net/http_server.h>

#include "shell.h"

namespace pollenwall::daemon {

/// Returns the answer to GET /metrics: the metrics of the services, aReadings, and processor time,
/// memory, fibers and dropped log lines of the process.
net::HttpResponse MetricsResponse(const DaemonContext& aDaemon, metrics::Readings aReadings);

} // namespace pollenwall::daemon
