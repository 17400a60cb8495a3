#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangoshed ] && [ -x target/review-3/play-14 ] || exit 2
exec target/review-3/play-14 review/14/record.txt
