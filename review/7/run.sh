#!/bin/sh
# Partitions the primary from its replicas and freezes the proxy that orders the promotion; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corianderspool ] && [ -x target/review-standin2 ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
target/review-standin2 -program target/corianderspool -scenario cut-freeze -dir "$dir" -record review/7/record.txt -seconds 110
