#!/usr/bin/env bash
# Case 11. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the server's crash.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/crash_in_roll
[ -x "$program" ] && [ -x target/bin/cornelhilld ] || exit 2
"$program" "$PWD" "$PWD/review/11"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
