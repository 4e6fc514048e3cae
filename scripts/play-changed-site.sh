#!/usr/bin/env bash
# Runs randomly drawn benchmark days on a copy of a site with changed numbers and prints one
# line per day. It shows how the gateways decide on deployments that no site file describes.
# usage: FLEETBENCH=path/of/fleetbench scripts/play-changed-site.sh SITE NAME 'SED EXPRESSION' "why" [first seed] [days]
# Example, an eighth of the memory: 's/kv_tokens = 713635/kv_tokens = 89204/'
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 name=$2 change=$3 why=$4 first=${5:-201} days=${6:-10}
: "${FLEETBENCH:?name the program to play with}"
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp "$(dirname "$site")/wire.json" "$copy/"
cp "${site%.toml}.days" "$copy/$name.days"
sed -E "$change" "$site" >"$copy/$name.toml"
if cmp -s "$site" "$copy/$name.toml"; then
  echo "the expression changes nothing in $site; look up how the site writes the number" >&2
  exit 2
fi
export FLEETBENCH copy name why
play() {
  local out
  out=$("$FLEETBENCH" run "$copy/$name.toml" mix --seed "$1" --no-cpu --jobs 2 --why "$why: $name" 2>&1) || true
  printf '%s\t%s\t%s\t%s\n' "$name" "$1" "$(grep -oE '^worth [0-9.]+' <<<"$out" | cut -d' ' -f2)" \
    "$(grep -oE 'BROKEN: [A-Z]+ [0-9]+' <<<"$out" || echo whole)"
}
export -f play
seq "$first" $((first + days - 1)) | xargs -P "${JOBS:-3}" -I{} bash -c 'play {}'
