#!/bin/sh
# Plays the case on loopback addresses, see claim.txt. Run the build of deploy/system.toml and
# review/build-3.sh first. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review-3/standins-3
[ -x "$program" ] && [ -x ../../target/goldcresthinged ] || exit 2
exec "$program" -case restored-restart -root ../.. -record record.txt
