#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The build line of deploy/system.toml comes
# before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
