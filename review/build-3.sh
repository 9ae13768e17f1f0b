#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The proxies come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
${GO:-go} build -o target/review3/stand ./review/_stand3
