#!/bin/sh
# Plays the case "gone"; see claim.txt. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
target/review/standin gone review/3
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
