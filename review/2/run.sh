#!/bin/sh
# Plays the case with the programs that the deploy file and review/build.sh build. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption
# out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fawnwinch ] && [ -x target/review/lab ] || { echo "not built" >&2; exit 2; }
exec target/review/lab rolling-stop review/2/record.txt
