#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3. The project itself is
# built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
GOPROXY=off GOWORK=off go -C review/standin-3 build -o "$PWD/target/review-3/rig" .
