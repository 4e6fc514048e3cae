#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. It needs no network: their module has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
