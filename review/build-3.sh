#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-3/standin-3 .
