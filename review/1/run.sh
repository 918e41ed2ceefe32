#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/classes/UnreadableRow.class ] && [ -d target/entry/lib ] || exit 2
timeout 118 java -Xmx256m -cp target/review/classes UnreadableRow review/1
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
