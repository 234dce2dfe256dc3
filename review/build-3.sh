#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. There are none to build: the store,
# the workers, the clients and the proxies are Python code in the folder of each case, and run in the
# script's own process. This checks that they compile. The entries are target/bin/pollenwalld, of the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in 11 12 13; do
  for name in case.py deployment.py; do
    python3 -B -c "compile(open('$file/$name').read(), '$file/$name', 'exec')"
  done
done
