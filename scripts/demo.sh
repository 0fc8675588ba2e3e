#!/usr/bin/env bash
# Runs a fleet of separate processes under a mixed load while one target slows,
# one drains and one instance is replaced, and checks the callers' outcomes against
# what the targets ran.
set -euo pipefail
cd "$(dirname "$0")/.."

OUT=out/demo
rm -rf "$OUT"
mkdir -p "$OUT"
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap end_all EXIT
trap 'exit 130' INT TERM

PLACE=himal
INSTANCES=4
say() { printf '%5.1fs  %s\n' "$(($(date +%s%N) / 1000000 - BEGIN))e-3" "$1"; }
BEGIN=$(($(date +%s%N) / 1000000))

start_platform examples/himal.yaml
for i in {0..7}; do start_target "$i" "$PLACE" parts --slots 2 --mean 4ms; done
for i in {8..11}; do start_target "$i" "$PLACE" records --slots 2 --mean 12ms; done
for i in {0..11}; do await "$(target_address "$i")/health"; done
for ((i = 0; i < INSTANCES; i++)); do start_instance "$i" "$PLACE"; done
for ((i = 0; i < INSTANCES; i++)); do await "$(admin_address "$i")/healthz"; done
say "platform, 12 targets and $INSTANCES instances run"

start load "$BIN/standin" load --instances "$(instances "$INSTANCES")" --duration 20s --seed 1 \
  --mix "parts/lookup rate=150 size=600" --mix "parts/confirm rate=25 size=200 once" \
  --mix "records/sync rate=15 size=20000" --mix "records/warranty rate=15 size=2000" \
  --out "$OUT/result.json"
say "the load begins: about 4000 requests in 20 s"

sleep 4
send PUT "$(target_address 2)/fault/slow" 6
say "target 2 takes six times as long"
sleep 3
send PUT "$(target_address 5)/fault/drain"
say "target 5 drains"
sleep 2
start_instance "$INSTANCES" "$PLACE"
await "$(admin_address "$INSTANCES")/healthz"
list_instance 1 "$PLACE" leaving
say "instance $INSTANCES has started; instance 1 is told to stop"
end instance1
send DELETE "$platform/admin/instances/$(instance_address 1)"
say "instance 1 has ended"
send DELETE "$platform/admin/targets/$(target_address 5)"
end target5
say "target 5 has left the list and ended"
send DELETE "$(target_address 2)/fault/slow"
say "target 2 is quick again"

wait "${PIDS[load]}"
unset 'PIDS[load]'
say "the load has ended"
"$BIN/standin" judge --record "http://$recorder" "$OUT/result.json"

say "a calm day through the platform's adapter: a store, 8 targets, 6 instances"
"$BIN/standin" soak --binary "$BIN/oriolecourse" --directory "$OUT/platform" --length 0s
