#!/usr/bin/env bash
# Runs the tests under the race detector. A process runs on one thread while a test on the
# virtual clock runs (see internal/bubble). So the tests of packages that import internal/bubble
# are run in one process per test, several processes in parallel, and so are those of
# internal/dispatch, which would take longer than all others in one process. `go test` runs the
# other packages as usual.
# usage: scripts/race-tests.sh [REGEXP of tests to skip]
set -euo pipefail
cd "$(dirname "$0")/.."
skip=${1:-'^$'}
binaries=$(mktemp -d)
trap 'rm -rf "$binaries"' EXIT

imports='{{.Dir}} {{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}'
packages=$(go list -f "$imports" ./...)
apart='^[^ ]* [^ ]*/internal/dispatch \| [^ ]*/internal/bubble\( \|$\)'
separate=$(grep "$apart" <<<"$packages" | cut -d' ' -f1,2)
others=$(grep -v "$apart" <<<"$packages" | cut -d' ' -f2)

# The simulated fleets of internal/simulation take minutes under the race detector on a busy machine,
# where the default limit of ten minutes isn't enough.
go test -race -timeout 40m -skip "$skip" $others &
usual=$!

# run_one DIRECTORY BINARY TEST runs one test and prints its output if it fails. Its subtests run one after
# the other: on one thread they gain nothing side by side, but each needs up to 3 GB.
run_one() {
  cd "$1"
  if ! "$2" -test.paniconexit0 -test.parallel 1 -test.timeout 20m -test.run "^$3\$" -test.skip "$SKIP" >"$2.$3" 2>&1; then
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
done <<<"$separate"
# The package with the longest tests is the last of the list; in reverse order they start first.
tac "$binaries/list" | xargs -P "$(nproc)" -L 1 bash -c 'run_one "$@"' run_one
wait "$usual"
echo "ok: $tests tests, one process each, under the race detector, and those of all other packages"
