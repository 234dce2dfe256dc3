#pragma once

#include "shell.h"

/// The service `vm_list`: polls the list of VMs and passes it to the node's core.
namespace pollenwall::daemon {

void RegisterVmList(DaemonContext& aDaemon);

} // namespace pollenwall::daemon
