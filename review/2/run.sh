#!/bin/sh
# Plays the case "poison"; see claim.txt. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
target/review/standin poison review/2
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
