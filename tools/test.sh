#!/usr/bin/env bash
# Runs all tests with the race detector. Fails if a test fails that KNOWN-RED.txt
# does not list. Failures of listed tests are printed and otherwise ignored.
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
# A build failure or a panic may name no test and is never ignored.
[ -n "$failed" ] || exit 1
grep -qE '^(panic:|FAIL.*\[build failed\]|FAIL.*\[setup failed\])' "$log" && exit 1
bad=0
for name in $failed; do
	if printf '%s\n' "$known" | grep -qxF "$name"; then
		echo "known red: $name"
		continue
	fi
	# A parent test fails if a subtest fails. It counts only if no subtest failed.
	if printf '%s\n' "$failed" | grep -qF "$name/"; then
		continue
	fi
	echo "failed: $name"
	bad=1
done
exit "$bad"
