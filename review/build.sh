#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/, beside the product of the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/testdata/standin
