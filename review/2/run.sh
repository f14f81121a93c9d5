#!/usr/bin/env bash
# Runs case 2. Needs the build of deploy/system.toml and review/build.sh; with TROUBLE=0 it runs
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-driver ] && [ -x target/ridgehinged ] || { echo "build first" >&2; exit 2; }
exec target/review-driver -case splice -daemon target/ridgehinged -record review/2/record.txt
