#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] && [ -x target/mulberryfork-platform ] || exit 2
exec timeout -k 5 110 target/review-2/case-10
