#!/usr/bin/env bash
# Runs every fuzz target of the module for TIME each, such as 10s.
# usage: tools/fuzz.sh TIME
set -eu
cd "$(dirname "$0")/.."
grep -rl --include='*_test.go' '^func Fuzz' pkg internal platform | sort | while read -r file; do
	sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file" | while read -r target; do
		go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "$1"
	done
done
