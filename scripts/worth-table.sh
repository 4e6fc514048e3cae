#!/usr/bin/env bash
# Prints a Markdown table of the losses of worth of benchmark days, one row per file: the losses
# over the whole day, in the worst windows, by the worst class of request and by nines, and each
# price.
# usage: scripts/worth-table.sh FILE...   FILE holds the output of `fleetbench run`.
set -euo pipefail
echo '| day | worth | whole day | windows | kind | nines | copies | read again | calls | connections | memory | zones | machines | other prices |'
echo '|---|---|---|---|---|---|---|---|---|---|---|---|---|---|'
for file in "$@"; do
  awk -v name="$(basename "$file" .txt)" '
    # The first line that begins with "worth" has each part as NAME VALUE (weight WEIGHT).
    /^worth [0-9]/ && !seen {
      seen = 1
      worth = $2
      line = $0
      while (match(line, /(whole day|worst windows|worst class|nines) [0-9.]+ \(weight [0-9.]+\)/)) {
        part = substr(line, RSTART, RLENGTH)
        line = substr(line, RSTART + RLENGTH)
        count = split(part, words, / /)
        weight = words[count]; sub(/\)/, "", weight)
        lost[words[count - 3]] = weight * (1 - words[count - 2])
      }
      next
    }
    seen && /^ +-+[0-9.]+ / {
      price = $1; gsub(/-/, "", price)
      if (/KV cache moved|prompt memory moved/) copies += price
      else if (/shared parts read again/) again += price
      else if (/cloud calls/) calls += price
      else if (/new connections/) connections += price
      else if (/GB x seconds/) memory += price
      else if (/GB between zones/) zones += price
      else if (/machine-seconds/) machines += price
      else other += price
    }
    # The parts are keyed by the last word of their names (words[count - 3] above).
    END {
      printf "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n", name, worth,
        lost["day"], lost["windows"], lost["class"], lost["nines"], copies, again, calls, connections, memory, zones, machines, other
    }' "$file"
done
