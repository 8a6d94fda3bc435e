#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec target/review-2 stranger-turn "$folder"
