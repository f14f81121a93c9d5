#!/usr/bin/env bash
# Builds the program of the cases with its stand-ins. The program under test is built by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
