#!/usr/bin/env bash
# Runs the tests under the race detector. Packages with tests on the virtual clock (those that
# import internal/bubble) have one thread while such a test runs, so each of their tests is a
# process of its own, several side by side; the other packages are run by `go test` as usual.
# usage: scripts/race-tests.sh [REGEXP of tests to pass over]
set -euo pipefail
cd "$(dirname "$0")/.."
skip=${1:-'^$'}
binaries=$(mktemp -d)
trap 'rm -rf "$binaries"' EXIT

imports='{{.Dir}} {{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}'
packages=$(go list -f "$imports" ./...)
virtual=$(grep ' [^ ]*/internal/bubble\( \|$\)' <<<"$packages" | cut -d' ' -f1,2)
others=$(grep -v ' [^ ]*/internal/bubble\( \|$\)' <<<"$packages" | cut -d' ' -f2)

go test -race -skip "$skip" $others &
usual=$!

# run_one DIRECTORY BINARY TEST runs one test, and prints what it wrote if it fails.
run_one() {
  cd "$1"
  if ! "$2" -test.paniconexit0 -test.timeout 20m -test.run "^$3\$" -test.skip "$SKIP" >"$2.$3" 2>&1; then
    echo "--- FAIL: $3 in $1 under the race detector"
    cat "$2.$3"
    return 1
  fi
}
export -f run_one
export SKIP=$skip

tests=0
while read -r directory package; do
  binary=$binaries/${package//\//.}
  go test -race -c -o "$binary" "$package"
  for each in $(cd "$directory" && "$binary" -test.list '^(Test|Fuzz|Example)'); do
    printf '%s %s %s\n' "$directory" "$binary" "$each" >>"$binaries/list"
    tests=$((tests + 1))
  done
done <<<"$virtual"
# The package with the longest tests is the last one of the list: backwards they begin first.
tac "$binaries/list" | xargs -P "$(nproc)" -L 1 bash -c 'run_one "$@"' run_one
wait "$usual"
echo "ok: $tests tests on the virtual clock and beside it under the race detector"
