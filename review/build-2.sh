#!/bin/sh
# Builds the stand-in that the scripts of the second review start. Run it from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/testdata/standin2
