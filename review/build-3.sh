#!/bin/sh
# Builds the program that plays the cases of the third review. It needs no network once the modules
# of the deploy file's build are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standins-3 ./review/standins-3
