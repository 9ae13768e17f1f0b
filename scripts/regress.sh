#!/usr/bin/env bash
# Plays quick scores of site files and prints them beside the last committed ones: regress.sh BENCH WHY SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  echo "usage: scripts/regress.sh BENCH WHY SITE..." >&2
  exit 2
fi
bench=$1
why=$2
shift 2
# last prints the figures of a site's newest quick score: last SITE REVISION, where an empty revision means the working tree.
last() {
  local entry
  for entry in $(ls journal | grep '\.json$' | sort -r); do
    if [ -n "$2" ] && ! git cat-file -e "$2:journal/$entry" 2>/dev/null; then
      continue
    fi
    if grep -q '"mode": "quick"' "journal/$entry" && grep -q "\"site\": \"$1\"" "journal/$entry"; then
      grep -oE '"G": [0-9.]+, "name": "[^"]+"' "journal/$entry" | sed -E 's/"G": ([0-9.]+), "name": "([^"]+)"/\2 \1/' | paste -sd' ' -
      return
    fi
  done
  echo "none"
}
for site in "$@"; do
  name=$(basename "$site" .toml)
  before=$(last "$name" HEAD)
  status=0
  output=$("$bench" score "$site" --quick --jobs "${JOBS:-2}" --why "$why") || status=$?
  grep -E '^(GATE|[a-z]+-[0-9]+ +[0-9])' <<<"$output" || true # a score may have no such line
  if [ "$status" -ne 0 ]; then
    echo "score of $site ended with status $status; the newest entry may be that of an earlier score" >&2
  fi
  printf '%-26s before: %s\n%-26s now:    %s\n' "$name" "$before" "" "$(last "$name" "")"
done
