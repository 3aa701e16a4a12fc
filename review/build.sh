#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/.standin
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-standin .
