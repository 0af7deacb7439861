#!/usr/bin/env bash
# Runs days (test scenarios, one for each kind of disruption) on a site and prints a row for each
# day: name, worth, served, broken rules. FLEETBENCH is the program of the bench. Each day is
# one run of the bench, whose journal entry contains the reason <why>. The default is to run all of
# deploy/days, three days at a time.
#
#   FLEETBENCH=<program> scripts/days.sh <site file> "<why>" [jobs] [day files...]
set -eu
cd "$(dirname "$0")/.."
site=$1
why=$2
jobs=${3:-3}
shift $(($# < 3 ? $# : 3))
out=out/days
mkdir -p "$out"
export FLEETBENCH site why out

play() {
  local name report
  name=$(basename "$1" .toml)
  report=$out/$(basename "$site" .toml)-$name.json
  rm -f "$report"
  "$FLEETBENCH" run "$site" "$1" --why "$why: $name" --report "$report" > "${report%.json}.txt" 2>&1 || true
  if [ ! -s "$report" ]; then
    echo "$name NOT PLAYED: $(tail -n 1 "${report%.json}.txt")"
    return
  fi
  python3 - "$name" "$report" <<'PYTHON'
import json, sys
report = json.load(open(sys.argv[2]))
breaks = report["breaks"] or "none"
fault = report["fault"] or ""
exits = f' exits {report["exits_n"]}' if report["exits_n"] else ""
print(f'{sys.argv[1]:14} worth {report["G"]:.3f} served {report["served"]:.3f} broken {breaks} {fault}{exits}')
PYTHON
}
export -f play

if [ $# -eq 0 ]; then
  set -- deploy/days/*.toml
fi
printf '%s\n' "$@" | xargs -P "$jobs" -I{} bash -c 'play {}'
