#!/usr/bin/env bash
# Plays one case of the review.
# usage: review/play.sh CASE FOLDER; TROUBLE=0 leaves the disruption out
# FOLDER/record.txt gets what was sent, answered and run, or why the case couldn't run.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/harriernotchd ] || [ ! -x target/review-standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" | tee "$2/record.txt" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 110 target/review-standin -case "$1" -folder "$2" -temporary "$temporary" -trouble="$trouble"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
