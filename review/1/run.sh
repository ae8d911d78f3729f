#!/usr/bin/env bash
# Entries of one zone are stopped and started in turn while routes are added (see claim.txt).
# TROUBLE=0 plays the same without the stops. Exit codes: 0 held, 1 broken, 2 couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/release/marigoldway ] || [ ! -x target/review/standin ]; then
    echo "build the deploy file's program and run review/build.sh first" >&2
    exit 2
fi
exec target/review/standin stale-entry "${RECORD:-review/1/record.txt}"
