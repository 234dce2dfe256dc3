#pragma once

#include <memory>

#include <pollenwall/net/tls.h>

#include "shell.h"

/// The service `operators`: the HTTP API for operators (metrics, dump, status, configuration,
/// drain) on its own port.
namespace pollenwall::daemon {

void RegisterOperators(DaemonContext& aDaemon, std::shared_ptr<net::TlsKeys> aTls);

/// Returns the state of the whole process as JSON text, for GET /dump and SIGUSR1.
std::string DumpText(const DaemonContext& aDaemon);

} // namespace pollenwall::daemon
