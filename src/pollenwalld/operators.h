#pragma once

#include <memory>

#include <pollenwall/net/tls.h>

#include "shell.h"

/// The service `operators`: metrics, dump, status and drain on their own port.
namespace pollenwall::daemon {

void RegisterOperators(Shell& aShell, std::shared_ptr<net::TlsKeys> aTls);

/// The state of the whole process as JSON text, for GET /dump and SIGUSR1.
std::string DumpText(const Shell& aShell);

} // namespace pollenwall::daemon
