#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review. It needs no network
# once the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/harness2
