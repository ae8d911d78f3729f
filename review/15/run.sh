#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
for file in target/release/marigoldway target/review-3/standin; do
    [ -x "$file" ] || { echo "$file is missing"; exit 2; }
done
exec target/review-3/standin history review/15
