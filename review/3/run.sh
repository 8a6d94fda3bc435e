#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit code: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
for program in target/control-plane target/data-plane; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is missing; run the build command of deploy/system.toml first" >&2
		exit 2
	fi
done
if [ ! -x "$root/target/review-harness" ]; then
	"$root/review/build.sh" || exit 2
fi
exec "$root/target/review-harness" "$root" "$folder" history-of-an-unsaved-turn
