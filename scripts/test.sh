#!/usr/bin/env bash
# Runs the race tests. The tests that KNOWN-RED.txt names are skipped and
# printed; each entry there starts with a line "test: NAME".
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [[ -f KNOWN-RED.txt ]]; then
  mapfile -t red < <(sed -n 's/^test:[[:space:]]*\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt)
  if ((${#red[@]} > 0)); then
    printf 'known red, passed over: %s\n' "${red[@]}"
    skip=(-skip "^($(IFS='|'; echo "${red[*]}"))\$")
  fi
fi
exec go test -race -timeout 15m "${skip[@]}" ./...
