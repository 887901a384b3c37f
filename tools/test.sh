#!/usr/bin/env bash
# Runs all tests with the race detector. A failure counts unless KNOWN-RED.txt
# lists the test: those are printed and passed over.
# usage: tools/test.sh [GO]
set -u
cd "$(dirname "$0")/.." || exit 1
go=${1:-go}
log=$(mktemp) || exit 1
trap 'rm -f "$log"' EXIT

"$go" test -race -timeout 20m ./... 2>&1 | tee "$log"
status=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && exit 0

known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
failed=$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$log" | sort -u)
# A build failure or a panic names no test, and is never passed over.
[ -n "$failed" ] || exit 1
grep -qE '^(panic:|FAIL.*\[build failed\]|FAIL.*\[setup failed\])' "$log" && exit 1
bad=0
for name in $failed; do
	if printf '%s\n' "$known" | grep -qxF "$name"; then
		echo "known red: $name"
		continue
	fi
	# A parent fails with its subtests; it counts only by itself.
	if printf '%s\n' "$failed" | grep -qF "$name/"; then
		continue
	fi
	echo "failed: $name"
	bad=1
done
exit "$bad"
