#!/usr/bin/env bash
# Builds the stand-in of the second review. The build tag keeps it out of CI and of the default test run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin2 ./review/standin2
