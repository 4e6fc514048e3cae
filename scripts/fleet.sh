#!/usr/bin/env bash
# Starts a small fleet as separate processes on the loopback interface: the stand-in
# platform, two engines, one plain service, two routers and three agents. Ctrl-C stops it.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
bin=$work/bin
go build -o "$bin/" ./cmd/...
pids=()
stop() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT INT TERM

run() { # run NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo "$!" >"$work/$name.pid"
}

run platform "$bin/harriernotchd" standin platform --listen 127.0.0.1:18500
run engine-1-backend "$bin/harriernotchd" standin engine --listen 127.0.0.1:19001
run engine-2-backend "$bin/harriernotchd" standin engine --listen 127.0.0.1:19002
run exercises-1-backend "$bin/harriernotchd" standin service --listen 127.0.0.1:19003

trusted=$("$bin/harriernotch" bundle init --dir "$work" | sed -n 's/^public key for trusted_keys: //p')
"$bin/harriernotch" bundle check "$work/bundle.toml"
for _ in $(seq 50); do
  "$bin/harriernotch" bundle sign "$work/bundle.toml" --key "$work/signing.key" \
    --platform http://127.0.0.1:18500 --note "first bundle" && break
  sleep 0.1
done
"$bin/harriernotch" bundle publish "$work/bundle.toml.signed" --platform http://127.0.0.1:18500 --trusted "$trusted"

cluster_key=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')
settings() { # settings ROLE ID ZONE CALLERS PEERS ADMIN BACKEND
  cat <<TOML
role = "$1"
id = "$2"
region = "here"
zone = "$3"
cluster_key = "$cluster_key"
trusted_keys = ["$trusted"]
seeds = ["127.0.0.1:17101", "127.0.0.1:17102"]
drain_delay = "1s"
[platform]
url = "http://127.0.0.1:18500"
[listen]
peers = "$5"
admin = "$6"
TOML
  if [ "$1" = router ]; then echo "callers = \"$4\""; else printf '[agent]\nback_end = "%s"\n' "$7"; fi
}
start() {
  settings "$@" >"$work/$2.toml"
  "$bin/harriernotchd" check-config "$work/$2.toml"
  run "$2" "$bin/harriernotchd" --config "$work/$2.toml"
}
start router router-1 a 127.0.0.1:18080 127.0.0.1:17101 127.0.0.1:17201 ""
start router router-2 b 127.0.0.1:18081 127.0.0.1:17102 127.0.0.1:17202 ""
start agent engine-1 a "" 127.0.0.1:17301 127.0.0.1:17401 http://127.0.0.1:19001
start agent engine-2 b "" 127.0.0.1:17302 127.0.0.1:17402 http://127.0.0.1:19002
start agent exercises-1 a "" 127.0.0.1:17303 127.0.0.1:17403 http://127.0.0.1:19003

for admin in 17201 17202 17401 17402 17403; do
  for _ in $(seq 100); do
    curl -sf "http://127.0.0.1:$admin/readyz" >/dev/null && break
    sleep 0.1
  done
done
"$bin/harriernotch" status --admin 127.0.0.1:17201
echo
echo "Logs, settings and process numbers are in $work. A chat:"
echo "curl -si http://127.0.0.1:18080/v1/chat/completions -H 'Authorization: Bearer demo-key' -d '{\"model\":\"demo-model\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello there\"}]}'"
wait
