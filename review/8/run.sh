#!/bin/sh
# Runs the case of this folder. The exit status is 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-2/bed ] || [ ! -x target/fawnwinch ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
exec target/review-2/bed priority "$folder"
