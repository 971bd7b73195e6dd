#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review/ ./cmd/...
