#!/usr/bin/env bash
# Compares policies that choose targets, on separate processes: random, round robin
# and two choices, where each of 16 instances decides alone, and ours. The policies
# alternate and are repeated with other seeds. One factor scales work, delays and
# settings up, so that the scheduling delay of the machine is small against them.
#
#   QUICK=1     one round with fewer scenes
#   STRETCH=8   factor of all times
#   USERS, POLICIES, SCENES, ROUNDS, LENGTH override the scope
set -euo pipefail
cd "$(dirname "$0")/.."

QUICK=${QUICK:-}
STRETCH=${STRETCH:-8}
USERS=${USERS:-himal steadyhand}
POLICIES=${POLICIES:-random robin two ours}
SCENES=${SCENES:-$([[ -n "$QUICK" ]] && echo '70 burst' || echo '50 70 80 burst')}
ROUNDS=${ROUNDS:-$([[ -n "$QUICK" ]] && echo 1 || echo 2)}
LENGTH=${LENGTH:-$([[ -n "$QUICK" ]] && echo 4 || echo 7)}
WARMUP=1s
INSTANCES=16

OUT=${OUT:-out/bench}
rm -rf "$OUT"
mkdir -p "$OUT"
PORT=${PORT:-23000}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap end_all EXIT
trap 'exit 130' INT TERM

# stretched MILLISECONDS prints a duration times STRETCH.
stretched() { awk -v m="$1" -v s="$STRETCH" 'BEGIN { printf "%.3fms", m * s }'; }

# choose_user NAME sets the sizes and delays of a user.
choose_user() {
  case $1 in
    himal) PLACE=himal SERVICE=parts URGENT=lookup ONCE=confirm TARGETS=12 SLOTS=2 MEAN=4 CLIENT=1 BETWEEN=0.5 ;;
    steadyhand) PLACE=steadyhand SERVICE=jobs URGENT=lookup ONCE=book TARGETS=15 SLOTS=3 MEAN=6 CLIENT=3 BETWEEN=1.5 ;;
    *) echo "unknown user $1" >&2; return 1 ;;
  esac
}

# rate SHARE PERCENT prints a share of a load in requests per second.
rate() {
  awk -v t="$TARGETS" -v n="$SLOTS" -v m="$MEAN" -v s="$STRETCH" -v share="$1" -v load="$2" \
    'BEGIN { printf "%.1f", share * load / 100 * t * n * 1000 / (m * s) }'
}

# start_user starts platform, recorder and targets; each target has slow episodes of
# 30 to 70 ms, about one a second.
start_user() {
  "$BIN/standin" stretch --factor "$STRETCH" <"examples/$1.yaml" >"$OUT/$1.yaml"
  "$BIN/oriolecourse" check "$OUT/$1.yaml" >"$OUT/$1-check.txt"
  STANDIN_BRIEF=true start_platform "$OUT/$1.yaml"
  local i
  for ((i = 0; i < TARGETS; i++)); do
    start_target "$i" "$PLACE" "$SERVICE" --slots "$SLOTS" --mean "${MEAN}ms" --stretch "$STRETCH" \
      --delay "$(stretched "$BETWEEN")" --noise 6 --noise-every 1s
  done
  for ((i = 0; i < TARGETS; i++)); do await "$(target_address "$i")/health"; done
}

# start_fleet POLICY starts the instances.
start_fleet() {
  local i
  export ORIOLECOURSE_POLICY=$1
  for ((i = 0; i < INSTANCES; i++)); do start_instance "$i" "$PLACE"; done
  for ((i = 0; i < INSTANCES; i++)); do await "$(admin_address "$i")/healthz"; done
}

# end_fleet kills the instances.
end_fleet() {
  local i
  for ((i = 0; i < INSTANCES; i++)); do end "instance$i" KILL; done
}

# admins prints the admin addresses of the instances.
admins() {
  local list=() i
  for ((i = 0; i < INSTANCES; i++)); do list+=("$(admin_address "$i")"); done
  (IFS=,; echo "${list[*]}")
}

# run_load USER SCENE POLICY ROUND sends one load.
run_load() {
  local percent=$2 extra=()
  if [[ $2 == burst ]]; then
    percent=60
    extra+=(--burst-every 3s --burst-length 800ms --burst-factor 2.5)
  fi
  if [[ $3 != ours ]]; then extra+=(--spread); fi
  "$BIN/standin" load --instances "$(instances "$INSTANCES")" --admins "$(admins)" \
    --recorder "$recorder" --platform "$platform" --seed "$4" --name "$1$2$3" \
    --duration "${LENGTH}s" --delay "$(stretched "$CLIENT")" --callers 16 --attempts 4 --patience 20s \
    --mix "$SERVICE/$URGENT rate=$(rate 0.9 "$percent") size=300" \
    --mix "$SERVICE/$ONCE rate=$(rate 0.1 "$percent") size=100 once" \
    --label "scene=$1 $2,policy=$3" --out "$OUT/$1-$2-$3-$4.json" "${extra[@]}"
}

# bench_user USER runs all rounds of one user.
bench_user() {
  choose_user "$1"
  start_user "$1"
  local round policy scene order
  read -ra order <<<"$POLICIES"
  for ((round = 1; round <= ROUNDS; round++)); do
    for policy in "${order[@]}"; do
      start_fleet "$policy"
      for scene in $SCENES; do run_load "$1" "$scene" "$policy" "$round"; done
      end_fleet
    done
    order=("${order[@]:1}" "${order[0]}")
  done
  end_all
}

# bench_path measures the latency that the system adds to an unloaded path, without
# STRETCH and network delay: directly to the target and through an instance.
bench_path() {
  choose_user himal
  start_platform examples/himal.yaml
  start_target 0 himal parts --mean 2ms --sigma 0
  await "$(target_address 0)/health"
  INSTANCES=3
  start_fleet ours
  local round
  for ((round = 1; round <= 2 * ROUNDS; round++)); do
    "$BIN/standin" load --direct --instances "$(target_address 0)" --mix 'parts/lookup rate=50 size=300' \
      --duration 3s --seed "$round" --label 'scene=unloaded,policy=direct' --out "$OUT/path-direct-$round.json"
    "$BIN/standin" load --instances "$(instances 3)" --mix 'parts/lookup rate=50 size=300' \
      --duration 3s --seed "$round" --label 'scene=unloaded,policy=ours' --out "$OUT/path-ours-$round.json"
  done
  end_all
}

began=$SECONDS
for user in $USERS; do bench_user "$user"; done
"$BIN/standin" compare --stretch "$STRETCH" --warmup "$WARMUP" "$OUT"/*.json | tee "$OUT/table.txt"
if [[ -z "${SKIP_PATH:-}" ]]; then
  echo
  bench_path
  "$BIN/standin" compare --warmup "$WARMUP" "$OUT"/path-*.json | tee "$OUT/path.txt"
fi
echo "bench: done in $((SECONDS - began)) s, seeds 1 to $ROUNDS"
