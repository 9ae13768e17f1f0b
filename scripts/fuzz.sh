#!/bin/sh
# Runs the drawn tests with new seeds and prints the command of each that fails: fuzz.sh SEEDS SECONDS
set -eu

cd "$(dirname "$0")/.."
seeds=$1
seconds=$2
checks=30
go=${GO:-go}
failures=0

# try runs a command and prints it with the end of its output if it fails: try COMMAND ARGUMENT...
try() {
	if output=$("$@" 2>&1); then
		return
	fi
	failures=$((failures + 1))
	echo "FAILED: $*"
	echo "$output" | tail -n "${FUZZ_LOG_LINES:-20}"
}

draw() {
	od -An -N4 -tu4 /dev/urandom | tr -d ' '
}

drawn=$(grep -rl --include='*_test.go' 'rapid\.Check' internal pkg | xargs -n1 dirname | sort -u)
for round in $(seq "$seeds"); do
	seed=$(($(draw) + 1))
	echo "round $round: rapid seed $seed"
	for package in $drawn; do
		try "$go" test -count=1 "./$package" -rapid.seed="$seed" -rapid.checks="$checks" -rapid.nofailfile
	done
done

first=$(draw)
echo "seeds of the shares from $first on, and $seeds seeds of the whole core"
try "$go" test -count=1 -run TestBoundHoldsInEveryWindow ./internal/core/share -seed="$first" -seeds="$seeds"
try env SPOOL_SEEDS="$seeds" "$go" test -count=1 ./internal/core

for target in internal/front:FuzzStartup internal/front:FuzzAssembly internal/back:FuzzAnswer \
	internal/core/policy:FuzzParse internal/strict:FuzzDecode; do
	package=${target%%:*}
	name=${target##*:}
	echo "$name for $seconds s"
	try "$go" test -run '^$' -fuzz "^$name\$" -fuzztime "${seconds}s" -parallel 2 "./$package"
done

echo "$failures failures"
[ "$failures" -eq 0 ]
