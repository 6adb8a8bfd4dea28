#!/usr/bin/env bash
# Builds the stand-in of the scripts of the third review. It needs no network once the
# modules of the project are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin3
