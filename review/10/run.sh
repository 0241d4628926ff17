#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit codes: 1 the rule was
# broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")" || exit 2
lab=../standins-2/bin/caselab
[ -x "$lab" ] && [ -x ../../target/arbutustrestle ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec "$lab" deep -root "$(cd ../.. && pwd)" -record record.txt
