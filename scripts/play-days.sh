#!/usr/bin/env bash
# Runs every benchmark day of deploy/days on a site and prints each day's result and its
# broken rules.
# usage: FLEETBENCH=path/of/fleetbench scripts/play-days.sh SITE "why" [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 why=$2 seed=${3:-}
: "${FLEETBENCH:?name the program to play with}"
for day in deploy/days/*.toml; do
  out=$("$FLEETBENCH" run "$site" "$day" ${seed:+--seed "$seed"} --why "$why" 2>&1) || true
  printf '%s\n' "$out" | grep -E '^[a-z-]+ +[0-9]+/[0-9]+ |BROKEN|^fleetbench|^error' | cut -c1-240 || echo "$day: ${out: -300}"
done
