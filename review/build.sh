#!/bin/sh
# Builds the stand-ins that the cases start. Run it in the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
