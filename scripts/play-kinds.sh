#!/usr/bin/env bash
# Runs benchmark days on a site with one kind of fault of bench/kinds.tsv each, at three
# strengths and times, and prints one line per day. Four days run at a time.
# usage: FLEETBENCH=path/of/fleetbench scripts/play-kinds.sh SITE "why" [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 why=$2 seed=${3:-1}
: "${FLEETBENCH:?name the program to play with}"
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

# A line of the table has a name, the list that the fault belongs to (plan or faults), its
# kind, and the parameters of the three strengths. Each strength occurs twice in its day, at
# times of its own.
moments=("2.0 11.0" "6.3 14.1" "17.7 24.9")
while IFS=$'\t' read -r name list kind weak middle strong; do
  case $name in ''|'#'*) continue ;; esac
  strengths=("$weak" "$middle" "$strong")
  for i in 0 1 2; do
    {
      printf 'name = "%s-%d"\nslot = "trouble"\nseed = %d\n%s = [\n' "$name" $((i + 1)) $((seed + i)) "$list"
      for at in ${moments[$i]}; do
        printf '  { kind = "%s", at = %s%s },\n' "$kind" "$at" "${strengths[$i]:+, ${strengths[$i]}}"
      done
      printf ']\n'
    } >"$days/$name-$((i + 1)).toml"
  done
done <bench/kinds.tsv

play() {
  out=$("$FLEETBENCH" run "$1" "$2" --why "$3" 2>&1) || true
  line=$(printf '%s\n' "$out" | grep -E '^[a-z_-]+[0-9] +[0-9]+/[0-9]+ ' | cut -c1-150)
  broken=$(printf '%s\n' "$out" | grep -E 'BROKEN|FAULT|broken:' | cut -c1-200 || true)
  printf '%s\n' "${line:-$(basename "$2"): ${out: -300}}" ${broken:+"$broken"}
}
export -f play
export FLEETBENCH
ls "$days"/*.toml | xargs -P 4 -I{} bash -c 'play "$@"' _ "$site" {} "$why"
