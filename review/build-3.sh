#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. There are none to build: the store,
# the workers, the clients and the proxies are Python code in lib-3/ and in the cases, and run in the
# script's own process. The entries are target/bin/pollenwalld, of the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/pollenwalld || echo "target/bin/pollenwalld is missing; run the build line of deploy/system.toml" >&2
command -v python3 > /dev/null
