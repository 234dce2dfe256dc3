#pragma once

#include <memory>

#include <pollenwall/net/tls.h>

#include "shell.h"

namespace pollenwall::daemon {

/// Handles signals until the process ends: SIGTERM and SIGINT begin a planned stop, and each later
/// one logs what is still running; SIGUSR1 logs a dump; SIGHUP loads the TLS files again.
/// The same for an entry on the users' platform.
void HandleEntrySignals(Shell& aShell);

void HandleSignals(Shell& aShell, std::shared_ptr<net::TlsKeys> aTls);

} // namespace pollenwall::daemon
