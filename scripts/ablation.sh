#!/usr/bin/env bash
# Measures what each mechanism of dispatch.Optimizations contributes: runs benchmark days with
# one mechanism disabled at a time and with none, and prints the worth and the number of broken
# rules of each run.
# usage: FLEETBENCH=path/of/fleetbench scripts/ablation.sh "why" SITE:DAY[:SEED] ...
# MECHANISMS selects the mechanisms ("none" disables nothing); JOBS is the number of parallel runs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
: "${FLEETBENCH:?name the program to play with}"
why=$1; shift
known=$(sed -n '/better choice/,/^)/s/.*Mechanism = "\(.*\)"/\1/p' "$root/internal/dispatch/disable.go")
scratch=$(mktemp -d)
trap 'git -C "$root" worktree prune' EXIT

# play MECHANISM SITE DAY SEED runs one day in the mechanism's own work tree.
play() {
  local tree="$scratch/$1" site=$2 day=$3 seed=$4 out
  out=$(cd "$tree" && "$FLEETBENCH" run "$site" "$day" ${seed:+--seed "$seed"} --no-cpu --why "$why: without $1" 2>&1) || true
  printf '%s\t%s\t%s\t%s\t%s\t%s\n' "$1" "$(basename "$site" .toml)" "$day" "${seed:--}" \
    "$(grep -oE '^worth [0-9.]+' <<<"$out" | cut -d' ' -f2)" "$(grep -c BROKEN <<<"$out")"
}
export -f play
export FLEETBENCH scratch why

mechanisms=${MECHANISMS:-none $known}
for mechanism in $mechanisms; do
  git -C "$root" worktree add -q --detach "$scratch/$mechanism"
  if [ "$mechanism" != none ]; then
    sed -i "s/^\[gateway\]/&\ndisable = [\"$mechanism\"]/" "$scratch/$mechanism/deploy/gateway.toml"
  fi
done
for mechanism in $mechanisms; do
  for spec in "$@"; do
    IFS=: read -r site day seed <<<"$spec"
    printf '%s\0%s\0%s\0%s\0' "$mechanism" "$site" "$day" "$seed"
  done
done | xargs -0 -n 4 -P "${JOBS:-4}" bash -c 'play "$@"' _ | sort
# The journal entries written in the work trees are part of the record too, so they are kept.
for mechanism in $mechanisms; do
  cp -rn "$scratch/$mechanism/journal/." "$root/journal/"
  git -C "$root" worktree remove --force "$scratch/$mechanism"
done
