#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/14 start beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review3/ ./review/stage3
