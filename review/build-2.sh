#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into bin/.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/standins-2 ./review/standins-2
