#!/usr/bin/env bash
# Starts the fleet of scripts/fleet.sh, kills one agent under load, and fails
# unless every caller got a complete answer or a well-defined error.
set -euo pipefail
cd "$(dirname "$0")/.."

log=$(mktemp)
scripts/fleet.sh >"$log" 2>&1 &
fleet=$!
trap 'kill $fleet 2>/dev/null || true; wait $fleet 2>/dev/null || true; rm -f "$log"' EXIT
for _ in $(seq 300); do
  grep -q '^curl' "$log" && break
  sleep 0.1
done
work=$(sed -n 's/^Logs, settings and process numbers are in \(.*\)\. A chat:$/\1/p' "$log")

"$work/bin/harriernotch" load --target http://127.0.0.1:18080 --target http://127.0.0.1:18081 \
  --rate 100 --duration 10s --max-tokens 64 &
load=$!
sleep 4
kill -9 "$(cat "$work/engine-1.pid")"
echo "killed the agent of engine-1"
wait $load
"$work/bin/harriernotch" status --admin 127.0.0.1:17202
