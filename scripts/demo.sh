#!/bin/sh
# Starts every process of the demo, drives them and ends them by process id.
set -eu

cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=""

finish() {
	status=$?
	trap - EXIT INT TERM
	for pid in $pids; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	sleep 1
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ "$status" -ne 0 ]; then
		for log in "$dir"/*.log; do
			echo "--- the end of $(basename "$log")" >&2
			tail -n "${DEMO_LOG_LINES:-10}" "$log" >&2 || true
		done
	fi
	rm -rf "$dir"
	exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start runs a program in the background under a name: start NAME PROGRAM ARGUMENT...
start() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
	echo "$name $!" >>"$dir/pids"
}

bin/demo prepare --dir "$dir"
. "$dir/env.sh"

echo "Starting the platform, three backend servers and three proxies."
start platform bin/objsrv --address "$PLATFORM" --members "$dir/members.json"
start s1 bin/regsrv --address "$S1_ADDRESS" --control "$S1_CONTROL" --user "$BACKEND_USER" \
	--password-file "$dir/password" --connect-delay 10ms --lag 20ms --term 1
start s2 bin/regsrv --address "$S2_ADDRESS" --control "$S2_CONTROL" --user "$BACKEND_USER" \
	--password-file "$dir/password" --connect-delay 10ms --lag 20ms --primary "$S1_ADDRESS"
start s3 bin/regsrv --address "$S3_ADDRESS" --control "$S3_CONTROL" --user "$BACKEND_USER" \
	--password-file "$dir/password" --connect-delay 10ms --lag 20ms --primary "$S1_ADDRESS"
# push sends the manifest, trying again while the platform starts.
push() {
	tries=0
	until bin/corianderspool push "$dir/manifest.json" --platform "http://$PLATFORM" --actor demo >"$dir/push.log" 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -ge 50 ]; then
			echo "the manifest was not accepted" >&2
			return 1
		fi
		sleep 0.1
	done
	cat "$dir/push.log"
}

for vm in vm1 vm2 vm3; do
	start "$vm" bin/corianderspool serve --settings "$dir/$vm.json"
done
echo "Pushing the manifest."
push
bin/demo run --dir "$dir"
