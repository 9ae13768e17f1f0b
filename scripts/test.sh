#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt run apart: their results are printed and do not fail the run.
#
# A line of KNOWN-RED.txt reads: package TestName | command and seed | what was seen | issue
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
red=KNOWN-RED.txt
skip=()
if [ -s "$red" ]; then
  names=$(cut -d'|' -f1 "$red" | awk 'NF == 2 { print $2 }' | paste -sd'|' -)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
# Packages that run processes or sockets against the brief's bounds come last and one at a time.
timed='/(internal/(node|procs|front|back|peer|fleet|engine|super|mirror|pool|lend|soak|fake/.*|bench/path)|platform)$'
mapfile -t packages < <("$go" list ./...)
quick=()
slow=()
for package in "${packages[@]}"; do
  if [[ $package =~ $timed ]]; then
    slow+=("$package")
  else
    quick+=("$package")
  fi
done
"$go" test -race "${skip[@]}" "${quick[@]}"
"$go" test -race -p 1 "${skip[@]}" "${slow[@]}"
if [ ${#skip[@]} -eq 0 ]; then
  exit 0
fi
echo "Known red tests, listed in $red, which do not fail this run:"
cat "$red"
while read -r package name _; do
  if "$go" test -race -count=1 -timeout 2m -run "^$name\$" "./$package" >/dev/null 2>&1; then
    echo "known red: $package $name passed this time"
  else
    echo "known red: $package $name failed"
  fi
done < <(cut -d'|' -f1 "$red" | awk 'NF == 2')
