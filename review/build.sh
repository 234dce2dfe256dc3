#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target platform-store platform-worker
