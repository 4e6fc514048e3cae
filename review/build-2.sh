#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 4 and up). The project's gateway is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/standin-2 .
