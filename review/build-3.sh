#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start. Needs only Go: it uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standin3
go build -o ../../target/review-3/standin3 .
