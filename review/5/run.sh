#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/goldcresthinged" ] && [ -x "$root/target/review/harness" ] || exit 2
TROUBLE=${TROUBLE:-1} exec "$root/target/review/harness" late "$root" "$here/record.txt"
