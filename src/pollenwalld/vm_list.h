#pragma once

#include "shell.h"

/// The service `vm_list`: polls the platform's list of VMs.
namespace pollenwall::daemon {

void RegisterVmList(Shell& aShell);

} // namespace pollenwall::daemon
