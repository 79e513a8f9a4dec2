#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It needs the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
