#!/usr/bin/env bash
# Plays the case "failover" on loopback addresses; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/corianderspool ] && [ -x target/review-standin ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review-standin failover "$here/record.txt"
