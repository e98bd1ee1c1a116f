#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o target/review-standin-2 ./review/testdata/standin2
