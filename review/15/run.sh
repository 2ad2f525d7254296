#!/bin/sh
# Plays the case on loopback addresses, see claim.txt. Run the build of deploy/system.toml and
# review/build-3.sh first. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../../target/review-3/standins-3
[ -x "$program" ] && [ -x ../../target/goldcresthinged ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$program" -case restored-restart -root ../.. -record record.txt "-trouble=$trouble"
