#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. The tag keeps them out of the default build,
# tests and lint.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -tags review -o target/review-standin ./review/standin
