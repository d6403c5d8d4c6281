#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/standin2
