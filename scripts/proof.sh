#!/bin/sh
# Runs the tests that docs/proofs.txt names, each package once, and prints for each promise whether they hold.
set -eu

cd "$(dirname "$0")/.."
table=docs/proofs.txt
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

grep -v '^#' "$table" | sed 's/ *| */|/g' >"$dir/rows"
cut -d'|' -f2 "$dir/rows" | sort -u >"$dir/packages"

# run runs the tests of one package that the rows name: run PACKAGE
run() {
	tests=$(awk -F'|' -v package="$1" '$2 == package { print $3 }' "$dir/rows" | tr ' ' '\n' | sort -u | paste -sd'|' -)
	log="$dir/$(echo "$1" | tr / _).log"
	echo "running the tests of $1" >&2
	${GO:-go} test -count=1 -v -run "^($tests)\$" "./$1" >"$log" 2>&1 || true
	grep -h '^--- ' "$log" | awk -v package="$1" '{ print package, $3, substr($2, 1, length($2) - 1) }' >>"$dir/results" || true
	grep -q '^ok ' "$log" || sed -n '/^{"Level"/!p' "$log" | tail -n "${PROOF_LOG_LINES:-40}" >&2
}

: >"$dir/results"
while read -r package; do
	run "$package"
done <"$dir/packages"

awk -F'|' '
FNR == NR {
	split($0, fields, " ")
	results[fields[1] " " fields[2]] = fields[3]
	next
}
{
	if (!($1 in state)) {
		order[++count] = $1
		state[$1] = "ok"
	}
	name[$1] = $4
	total = split($3, tests, " ")
	for (i = 1; i <= total; i++) {
		result = results[$2 " " tests[i]]
		if (result == "PASS") {
			continue
		}
		verdict = (result == "FAIL") ? "red" : "missing"
		failed[$1] = failed[$1] " " $2 "." tests[i]
		if (state[$1] != "red") {
			state[$1] = verdict
		}
	}
}
END {
	for (i = 1; i <= count; i++) {
		row = order[i]
		printf "%s %s … %s%s\n", row, name[row], state[row], (failed[row] == "") ? "" : ":" failed[row]
		broken += state[row] != "ok"
	}
	exit broken > 0
}' "$dir/results" "$dir/rows"
