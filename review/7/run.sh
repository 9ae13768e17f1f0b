#!/bin/sh
# Partitions the primary from its replicas and freezes the proxy that orders the promotion; see claim.txt. Five small deployments,
# which share nothing, play side by side, as the order of events takes some rounds to come about.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corianderspool ] && [ -x target/review-standin2 ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trap 'kill $pids 2>/dev/null; wait; exit 2' INT TERM
pids=
for play in 1 2 3 4 5; do
	mkdir "$dir/$play"
	target/review-standin2 -program target/corianderspool -host "127.0.0.1$play" -scenario cut-freeze -dir "$dir/$play" \
		-record "$dir/$play/record.txt" -seconds 108 &
	pids="$pids $!"
done
code=0
for pid in $pids; do
	wait "$pid"
	case $? in
	0) ;;
	1) code=1 ;;
	*) [ $code = 1 ] || code=2 ;;
	esac
done
for play in 1 2 3 4 5; do
	echo "== deployment $play"
	cat "$dir/$play/record.txt"
done > review/7/record.txt
exit $code
