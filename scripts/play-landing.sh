#!/usr/bin/env bash
# Runs the benchmarks that must pass before changes land, on one site after the other: the
# site's standard days (score) and randomly drawn ones (hunt). Prints the worth of each standard
# day and the broken rules.
# usage: FLEETBENCH=path/of/fleetbench scripts/play-landing.sh "why" SITE=DAYS...
# Example: the sites that CONTRIBUTING.md lists, with 40 days each, or 8 on sites with 60
# machines or more.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?name the program to play with}"
why=$1
shift
for each in "$@"; do
  site=${each%=*} days=${each##*=}
  out=$("$FLEETBENCH" score "$site" --jobs "${JOBS:-4}" --why "$why: score" 2>&1) || true
  printf '%s\n' "$out" | grep -E '^[a-z]+-[0-9a-f]+ +[0-9]+/[0-9]+ |GATE|BROKEN' | cut -c1-160 || echo "$site: ${out: -300}"
  out=$("$FLEETBENCH" hunt "$site" --days "$days" --jobs "${JOBS:-4}" --why "$why: hunt of $days days" 2>&1) || true
  printf '%s\n' "$out" | grep -E 'with a rule broken|BROKEN|FAULT' | cut -c1-200 || echo "$site: ${out: -300}"
done
