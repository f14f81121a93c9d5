#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/driver-2 ./review/driver-2
