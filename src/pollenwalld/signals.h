#pragma once

#include <memory>

#include <pollenwall/net/tls.h>

#include "shell.h"

namespace pollenwall::daemon {

/// Handles signals of an entry whose settings have a section `platform` until the process ends:
/// SIGTERM and SIGINT begin a graceful stop and SIGUSR1 logs a dump. SIGHUP is only logged.
void HandleEntrySignals(DaemonContext& aDaemon);

/// Handles signals of any other entry until the process ends: SIGTERM and SIGINT begin a graceful
/// stop, and each later one logs the calls and the state that remain; SIGUSR1 logs a dump; SIGHUP
/// reloads the TLS files.
void HandleSignals(DaemonContext& aDaemon, std::shared_ptr<net::TlsKeys> aTls);

} // namespace pollenwall::daemon
