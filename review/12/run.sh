#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out; TROUBLE=late and TROUBLE=crash leave one part of it out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entryd ] && [ -x target/targetd ] && [ -x target/standin-3 ] || exit 2
exec timeout 110 target/standin-3 late-order target review/12/record.txt
