#!/usr/bin/env bash
# Measures a fleet of separate processes: how fast changes spread, how fast failed
# members and leaving targets get no more requests, and what control costs. Needs jq and curl.
#
#   scripts/measure.sh [PART...]   parts: publish calls kill shutdown drain control loads work path
#   REPEAT=10                      repetitions of each scene
set -euo pipefail
cd "$(dirname "$0")/.."

REPEAT=${REPEAT:-10}
INSTANCES=${INSTANCES:-16}
SEED=${SEED:-1}
PLACE=himal
OUT=${OUT:-out/measure}
rm -rf "$OUT"
mkdir -p "$OUT"
PORT=${PORT:-31000}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap end_all EXIT
trap 'exit 130' INT TERM
RANDOM=$SEED

nowhere=http://127.0.0.1:$((PORT + 9)) # nobody listens there
second=127.0.0.1:$((PORT + 2))         # a platform with faults
VERSION=1

now() { date +%s%N; }
get() { curl -sS --max-time 2 "http://$1"; }

# pause MAX sleeps for a random time up to MAX milliseconds.
pause() { sleep "$(awk -v r="$RANDOM" -v m="$1" 'BEGIN { printf "%.3f", r / 32768 * m / 1000 }')"; }

# summary NAME reads milliseconds, one a line, and prints their distribution.
summary() {
  sort -n | awk -v name="$1" '{ v[NR] = $1 } END {
    if (!NR) { print name ": nothing"; exit }
    printf "%s: count %d, p50 %.0f ms, p99 %.0f ms, max %.0f ms\n", name, NR,
      v[int((NR + 1) / 2)], v[int((NR * 99 + 99) / 100)], v[NR] }'
}

# start_fleet N PLATFORM [FIRST LAST] starts N instances; those from FIRST to
# LAST read another platform.
start_fleet() {
  local i
  for ((i = 0; i < $1; i++)); do
    if ((i >= ${3:-$1} && i <= ${4:--1})); then
      start_instance "$i" "$PLACE" "$2"
    else
      start_instance "$i" "$PLACE"
    fi
  done
  for ((i = 0; i < $1; i++)); do await "$(admin_address "$i")/healthz"; done
  sleep 3
}

# end_fleet kills the instances and takes them off the list.
end_fleet() {
  local i
  for ((i = 0; i < INSTANCES; i++)); do
    end "instance$i" KILL
    send DELETE "$platform/admin/instances/$(instance_address "$i")"
  done
}

# publish PLATFORM... publishes the next version of the settings.
publish() {
  VERSION=$((VERSION + 1))
  sed "s/^version:.*/version: $VERSION/" "$OUT/settings.yaml" >"$OUT/next.yaml"
  local at
  for at in "$@"; do send PUT "$at/admin/settings" - <"$OUT/next.yaml"; done
}

# adoptions prints when each instance put the version in force, in nanoseconds.
adoptions() {
  grep -h "adopted document=settings version=$VERSION " "$OUT"/instance*.log |
    sed 's/.*time=\([^ ]*\).*/\1/' | date -u -f - +%s%N
}

# await_adoptions COUNT FROM writes the delays since FROM in milliseconds.
await_adoptions() {
  local tries count=0
  for ((tries = 0; tries < 300; tries++)); do
    count=$(cat "$OUT"/instance*.log | grep -c "adopted document=settings version=$VERSION " || true)
    if ((count >= $1)); then break; fi
    sleep 0.1
  done
  if ((count < $1)); then echo "version $VERSION: only $count of $1 instances" >&2; fi
  adoptions | awk -v from="$2" '{ print ($1 - from) / 1e6 }'
}

# publish_scene NAME PLATFORM... publishes REPEAT times at random moments.
publish_scene() {
  local name=$1 k from
  shift
  for ((k = 0; k < REPEAT; k++)); do
    pause 1500
    from=$(now)
    publish "$@"
    await_adoptions "$INSTANCES" "$from"
  done | summary "$name"
  VERSION=$((VERSION + REPEAT)) # the loop ran in a subshell
}

# readers prints the numbers of the instances that watched the settings most.
readers() {
  local i
  for ((i = 0; i < INSTANCES; i++)); do
    echo "$(get "$(admin_address "$i")/metrics" |
      awk '/^oriolecourse_platform_calls.*settings/ { n += $2 } END { print n + 0 }') $i"
  done | sort -rn | awk 'NR <= 3 { print $2 }'
}

measure_publish() {
  start_fleet "$INSTANCES" ""
  publish_scene "healthy" "$platform"
  sleep 25
  local cut i
  mapfile -t cut < <(readers)
  for i in "${cut[@]}"; do end "instance$i" KILL; done
  for i in "${cut[@]}"; do start_instance "$i" "$PLACE" "$nowhere"; done
  for i in "${cut[@]}"; do await "$(admin_address "$i")/healthz"; done
  sleep 3
  publish_scene "readers ${cut[*]} cut from the platform" "$platform"
  end_fleet
  start_fleet "$INSTANCES" "$nowhere" 1 "$((INSTANCES - 1))"
  publish_scene "all but one cut from the platform" "$platform"
  end_fleet
  start second "$BIN/standin" platform --address "$second"
  await "$second/admin/calls"
  publish "$platform" "$second"
  send PUT "$second/admin/list" "$(send GET "$platform/admin/list")"
  start_fleet "$INSTANCES" "http://$second" 8 "$((INSTANCES - 1))"
  send PUT "$second/fault/stale"
  publish_scene "platform stale at half" "$platform" "$second"
  send DELETE "$second/fault/stale"
  send PUT "$second/fault/flap" 1s
  publish_scene "platform flaps at half" "$platform" "$second"
  end_fleet
  end second
  measure_heal
}

# cut METHOD cuts (PUT) or restores (DELETE) the links between the halves of the fleet.
cut() {
  local i j
  for ((i = 0; i < INSTANCES / 2; i++)); do
    for ((j = INSTANCES / 2; j < INSTANCES; j++)); do
      curl -sS -X "$1" "http://$(admin_address "$i")/v1/cuts/$(peer_address "$j")"
      curl -sS -X "$1" "http://$(admin_address "$j")/v1/cuts/$(peer_address "$i")"
    done
  done
}

# measure_heal splits the fleet, publishes to one half and heals it.
measure_heal() {
  local k from
  start_fleet "$INSTANCES" "$nowhere" "$((INSTANCES / 2))" "$((INSTANCES - 1))"
  for k in 1 2 3; do
    cut PUT
    sleep 12
    publish "$platform"
    sleep 3
    echo "split $k: $(adoptions | wc -l) of $INSTANCES have it" >&2
    cut DELETE
    from=$(now)
    await_adoptions "$INSTANCES" "$from" | awk '$1 > 0'
    sleep 3
  done | summary "after a split heals, at the half without a platform"
  VERSION=$((VERSION + 3))
  end_fleet
}

# called prints the number of calls that the platform has counted.
called() { get "$platform/admin/calls" | jq .total; }

measure_calls() {
  start_fleet "$INSTANCES" ""
  sleep 10
  local before k
  before=$(called)
  sleep 56
  echo "platform calls/s of $INSTANCES instances, quiet, 56 s: $(awk -v n="$(($(called) - before))" 'BEGIN { print n / 56 }')"
  before=$(called)
  for k in 1 2 3 4; do
    publish "$platform"
    sleep 14
  done
  echo "platform calls/s, a change each 14 s, $k changes: $(awk -v n="$(($(called) - before))" 'BEGIN { print n / 56 }')"
  end_fleet
}

# renew_recorder starts an empty record.
renew_recorder() {
  end recorder KILL
  start recorder "$BIN/standin" recorder --address "$recorder"
  await "$recorder/record"
}

# start_targets N starts an empty record and N targets of the service parts with
# 32 ms of work.
start_targets() {
  local i
  renew_recorder
  for ((i = 0; i < $1; i++)); do start_target "$i" "$PLACE" parts --slots 2 --mean 32ms; done
  for ((i = 0; i < $1; i++)); do await "$(target_address "$i")/health"; done
}

end_targets() {
  local i
  for ((i = 0; i < $1; i++)); do
    end "target$i" KILL
    send DELETE "$platform/admin/targets/$(target_address "$i")"
  done
}

# start_load NAME RATE LENGTH starts a load on the service parts; a tenth of its requests
# run at most once.
start_load() {
  start "$1" "$BIN/standin" load --instances "$(instances "$INSTANCES")" --name "$1" \
    --duration "$3s" --seed "$SEED" --callers 16 --timeout 2s --patience 20s \
    --mix "parts/lookup rate=$((${2} * 9 / 10)) size=300" --mix "parts/confirm rate=$((${2} / 10)) size=100 once" \
    --out "$OUT/$1.json"
}

# finish NAME waits for a load.
finish() {
  wait "${PIDS[$1]}"
  unset "PIDS[$1]"
}

# home prints the number of the instance that callers are told first.
home() {
  local address
  address=$(get "$(instance_address "$1")/v1/address?service=parts" | jq -r '.addresses[0]')
  echo "$((${address##*:} - PORT - 100))"
}

# await_out N ASKED waits until another instance no longer names instance N to callers
# and prints the milliseconds since FROM.
await_out() {
  local address
  address=$(instance_address "$1")
  while get "$(instance_address "$2")/v1/address?service=parts" | grep -q "\"$address\""; do sleep 0.05; done
  awk -v from="$3" -v to="$(now)" 'BEGIN { print (to - from) / 1e6 }'
}

# impact NAME FROM prints the failed requests of a load and its latencies around FROM.
impact() {
  jq -r --arg name "$1" --argjson from "$2" '
    def seconds: (.[0:19] + "Z" | fromdateiso8601) + ((.[19:] | rtrimstr("Z") | tonumber?) // 0);
    def p99: map(.latency / 1e6) | sort | if length == 0 then 0 else .[length * 99 / 100 | floor] end | floor;
    ($from / 1e9) as $t | [.requests[] | .at = (.begin | seconds)] as $r |
    [$r[].attempts[]] as $a |
    "\($name): \($r | length) requests, not done \([$r[] | select(.outcome != "done")] | length), " +
    "attempts unsent \([$a[] | select(.outcome == "unsent")] | length), unknown \([$a[] | select(.outcome == "unknown")] | length), " +
    "refused \([$a[] | select(.outcome == "unrun")] | length); p99 in ms before, in seconds 1, 2, 3: " +
    "\([$r[] | select(.at >= $t - 2 and .at < $t)] | p99), " +
    ([0, 1, 2] | map(. as $s | [$r[] | select(.at >= $t + $s and .at < $t + $s + 1)] | p99 | tostring) | join(", "))
  ' "$OUT/$1.json"
}

# measure_kill kills, then stops, the home under 70% load.
measure_kill() {
  local k killed from signal
  start_targets 12
  start_fleet "$INSTANCES" ""
  for signal in KILL STOP; do
    for ((k = 0; k < (REPEAT + 1) / 2; k++)); do
      start_load "$signal$k" 525 12
      sleep 5
      pause 1000
      killed=$(home 0)
      from=$(now)
      if [[ $signal == KILL ]]; then end "instance$killed" KILL; else kill -s STOP "${PIDS[instance$killed]}"; fi
      await_out "$killed" "$(((killed + 1) % INSTANCES))" "$from" >>"$OUT/$signal.out"
      finish "$signal$k"
      impact "$signal$k" "$from"
      if [[ $signal == STOP ]]; then kill -s CONT "${PIDS[instance$killed]}"; else start_instance "$killed" "$PLACE"; fi
      await "$(admin_address "$killed")/healthz"
      sleep 6
    done
    summary "out of answers after $signal" <"$OUT/$signal.out"
  done
  "$BIN/standin" judge --record "http://$recorder" "$OUT"/KILL*.json "$OUT"/STOP*.json || true
  end_fleet
  end_targets 12
}

# measure_shutdown ends the home gracefully under load.
measure_shutdown() {
  local k leaving from
  start_targets 12
  start_fleet "$INSTANCES" ""
  for ((k = 0; k < (REPEAT + 2) / 3; k++)); do
    start_load "leave$k" 375 16
    sleep 4
    leaving=$(home 0)
    from=$(now)
    end "instance$leaving"
    awk -v from="$from" -v to="$(now)" 'BEGIN { print (to - from) / 1e6 }' >>"$OUT/leave.out"
    finish "leave$k"
    impact "leave$k" "$from"
    start_instance "$leaving" "$PLACE"
    await "$(admin_address "$leaving")/healthz"
    sleep 3
  done
  summary "graceful shutdown under load" <"$OUT/leave.out"
  "$BIN/standin" judge --record "http://$recorder" "$OUT"/leave*.json || true
  end_fleet
  end_targets 12
}

# last_begin N FROM prints when target N began its last request, in milliseconds
# since FROM.
last_begin() {
  get "$recorder/record" >"$OUT/record"
  jq -r --arg target "$(target_address "$1")" 'if type == "array" then .[] else . end |
    select(.target == $target and .type == "begin") | .time' "$OUT/record" |
    sort | tail -n 1 | date -u -f - +%s%N | awk -v from="$2" '{ print ($1 - from) / 1e6 }'
}

# drain_scene NAME COMMAND lets targets drain in turn.
drain_scene() {
  local name=$1 k from
  shift
  for ((k = 0; k < REPEAT; k++)); do
    pause 1000
    from=$(now)
    "$@" "$k"
    sleep 4
    last_begin "$k" "$from" >>"$OUT/$name.out"
    end "target$k" KILL
    start_target "$k" "$PLACE" parts --slots 2 --mean 32ms
    await "$(target_address "$k")/health"
  done
  summary "last request after the first sign, $name" <"$OUT/$name.out"
}

drain_in_list() {
  local address
  address=$(target_address "$1")
  get "$platform/admin/list" | jq -c --arg a "$address" '.targets[] | select(.address == $a) | .state = "leaving"' >"$OUT/entry"
  send POST "$platform/admin/targets" "$(cat "$OUT/entry")"
}
drain_in_answer() { send PUT "$(target_address "$1")/fault/drain"; }

measure_drain() {
  start_targets 12
  start_fleet "$INSTANCES" ""
  start_load drain 300 $((REPEAT * 24 + 10))
  sleep 4
  drain_scene list drain_in_list
  drain_scene answer drain_in_answer
  send PUT "$platform/fault/down"
  drain_scene answer-platform-down drain_in_answer
  send DELETE "$platform/fault/down"
  end drain KILL
  end_fleet
  end_targets 12
}

# tree SERVICES prints a regular settings tree.
tree() {
  local i
  printf 'version: 1\nsettings:\n  fleet: 32\n  keep: 5s\nplaces:\n  himal:\n    services:\n'
  for ((i = 0; i < $1; i++)); do
    printf '      service%d:\n        settings:\n          probes: 32\n        kinds:\n' "$i"
    printf '          lookup:\n            priority: urgent\n            deadline: 250ms\n            wait: 220ms\n'
    printf '          confirm:\n            once: true\n            deadline: 2s\n            wait: 1500ms\n'
  done
}

# list_targets SERVICES lists 1100 targets that do not run.
list_targets() {
  get "$platform/admin/list" | jq -c --argjson s "$1" '.targets = [range(1100) |
    {address: "127.1.\(. / 250 | floor).\(. % 250 + 1):9", place: "himal", service: "service\(. % $s)",
     zone: (["a", "b", "c"][. % 3]), state: "live", start: "s\(.)"}]' >"$OUT/list.json"
  send PUT "$platform/admin/list" - <"$OUT/list.json"
}

# ticks N prints the processor time of N instances in hundredths of a second.
ticks() {
  local i
  for ((i = 0; i < $1; i++)); do cat "/proc/${PIDS[instance$i]}/stat"; done | awk '{ n += $14 + $15 } END { print n }'
}

# peer_bytes N prints what N instances sent to and received from peers.
peer_bytes() {
  local i
  for ((i = 0; i < $1; i++)); do get "$(admin_address "$i")/metrics"; done |
    awk '/^oriolecourse_peer_bytes/ { n += $2 } END { printf "%d\n", n }'
}

# resident N prints the mean resident memory of N instances in MB.
resident() {
  local i
  for ((i = 0; i < $1; i++)); do cat "/proc/${PIDS[instance$i]}/status"; done |
    awk -v n="$1" '/^VmRSS/ { k += $2 } END { printf "%.1f", k / n / 1000 }'
}

# control N SERVICES measures idle instances for 20 s.
control() {
  tree "$2" >"$OUT/tree.yaml"
  VERSION=$((VERSION + 1))
  sed "s/^version:.*/version: $VERSION/" "$OUT/tree.yaml" | send PUT "$platform/admin/settings" -
  list_targets "$2"
  INSTANCES=$1 start_fleet "$1" ""
  sleep 6
  local before bytes
  before=$(ticks "$1")
  bytes=$(peer_bytes "$1")
  sleep 20
  awk -v n="$1" -v s="$2" -v t="$(($(ticks "$1") - before))" -v b="$(($(peer_bytes "$1") - bytes))" -v m="$(resident "$1")" 'BEGIN {
    printf "control, %d instances, %d services, 1100 targets: %.2f%% of a core, %s MB, %.0f B/s each\n", n, s, t / 20 / n, m, b / 20 / n }'
  INSTANCES=$1 end_fleet
}

measure_control() {
  local n
  for n in 4 8 16 24; do control "$n" 210; done
  for n in 2 42; do control 16 "$n"; done
  echo '{"revision":1}' | send PUT "$platform/admin/list" -
  publish "$platform"
}

# measure_loads measures the traffic between peers while 42 services, each with a
# target of its own, have load.
measure_loads() {
  local k bytes mixes=()
  tree 42 >"$OUT/tree.yaml"
  VERSION=$((VERSION + 1))
  sed "s/^version:.*/version: $VERSION/" "$OUT/tree.yaml" | send PUT "$platform/admin/settings" -
  for ((k = 0; k < 42; k++)); do
    start_target "$k" "$PLACE" "service$k" --slots 2 --mean 4ms
    mixes+=(--mix "service$k/lookup rate=10 size=100")
  done
  for ((k = 0; k < 42; k++)); do await "$(target_address "$k")/health"; done
  start_fleet "$INSTANCES" ""
  start loads "$BIN/standin" load --instances "$(instances "$INSTANCES")" --duration 30s --seed "$SEED" \
    --callers 4 "${mixes[@]}" --out "$OUT/loads.json"
  sleep 8
  bytes=$(peer_bytes "$INSTANCES")
  sleep 20
  echo "control, $INSTANCES instances, 42 services with 10 calls/s each: $((($(peer_bytes "$INSTANCES") - bytes) / 20 / INSTANCES)) B/s each, $(resident "$INSTANCES") MB"
  finish loads
  impact loads "$(now)"
  end_fleet
  end_targets 42
  publish "$platform"
}

# measure_work measures the processor time of instances at several rates of calls.
measure_work() {
  local rate before bytes k
  local INSTANCES=4
  STANDIN_BRIEF=true renew_recorder
  for ((k = 0; k < 32; k++)); do start_target "$k" "$PLACE" parts --slots 2 --mean 8ms; done
  for ((k = 0; k < 32; k++)); do await "$(target_address "$k")/health"; done
  start_fleet "$INSTANCES" ""
  for rate in 500 1000 2000; do
    before=$(ticks "$INSTANCES")
    bytes=$(peer_bytes "$INSTANCES")
    start_load "work$rate" "$rate" 10
    finish "work$rate"
    awk -v t="$(($(ticks "$INSTANCES") - before))" -v r="$rate" -v n="$(jq '.requests | length' "$OUT/work$rate.json")" \
      -v b="$(($(peer_bytes "$INSTANCES") - bytes))" -v k="$INSTANCES" 'BEGIN {
      printf "work, %d calls/s: %.3f ms of processor time a call, %d calls, peers %.0f B/s each\n", r, t * 10 / n, n, b / k / 10 }'
    impact "work$rate" "$(now)"
  done
  end_fleet
  end_targets 32
}

# latencies NAME prints the distribution of the latencies of loads in milliseconds.
latencies() {
  jq -s -r --arg name "$1" '[.[].requests[].latency / 1e6] | sort |
    "\($name): count \(length), p50 \(.[length / 2 | floor]) ms, p99 \(.[length * 99 / 100 | floor]) ms"' "$OUT/$1"-*.json
}

# measure_path compares the path through an instance with the direct one.
measure_path() {
  local k
  local INSTANCES=3
  start_target 0 "$PLACE" parts --mean 2ms --sigma 0
  await "$(target_address 0)/health"
  start_fleet "$INSTANCES" ""
  for ((k = 1; k <= 4; k++)); do
    "$BIN/standin" load --direct --instances "$(target_address 0)" --mix 'parts/lookup rate=50 size=300' \
      --duration 3s --seed "$k" --out "$OUT/direct-$k.json"
    "$BIN/standin" load --instances "$(instances 3)" --mix 'parts/lookup rate=50 size=300' \
      --duration 3s --seed "$k" --out "$OUT/through-$k.json"
  done
  latencies direct
  latencies through
  end_fleet
  end_targets 1
}

sed -e 's/deadline: 250ms/deadline: 2s/' -e 's/wait: 220ms/wait: 1800ms/' -e 's/hedge: 15ms/hedge: 120ms/' \
  examples/himal.yaml >"$OUT/settings.yaml"
start_platform "$OUT/settings.yaml"
parts=("$@")
if ((${#parts[@]} == 0)); then parts=(publish calls kill shutdown drain control loads work path); fi
for part in "${parts[@]}"; do "measure_$part"; done
echo "measure: ${parts[*]} done in $SECONDS s on $(git rev-parse --short HEAD), seed $SEED"
