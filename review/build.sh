#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin .
