# Functions to start and end the processes of a fleet; sourced by the other
# scripts. Processes are stored by name and ended by their process id.
# shellcheck shell=bash

BIN=${BIN:-bin}
PORT=${PORT:-21000}
KEY=$(printf '5a%.0s' {1..32})
declare -A PIDS=()

platform=127.0.0.1:$PORT
recorder=127.0.0.1:$((PORT + 1))
target_address() { echo "127.0.0.1:$((PORT + 10 + $1))"; }
instance_address() { echo "127.0.0.1:$((PORT + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((PORT + 200 + $1))"; }
admin_address() { echo "127.0.0.1:$((PORT + 300 + $1))"; }
zone() { local zones=(a b c); echo "${zones[$1 % 3]}"; }

# start NAME COMMAND... runs a command in the background, with its output in a log.
start() {
  local name=$1
  shift
  "$@" >>"$OUT/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# end NAME [SIGNAL] ends a process by its id and waits for it.
end() {
  local pid=${PIDS[$1]:-}
  [[ -n "$pid" ]] || return 0
  unset "PIDS[$1]"
  kill -s "${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# end_all ends all remaining processes.
end_all() {
  local name
  for name in "${!PIDS[@]}"; do
    disown "${PIDS[$name]}" 2>/dev/null || true
    kill -s KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null
  PIDS=()
}

# send METHOD ADDRESS/PATH [BODY] sends one request.
send() { "$BIN/standin" send "$1" "http://$2" "${@:3}"; }

# await ADDRESS/PATH waits until a request succeeds.
await() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if send GET "$1" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# start_platform starts platform and recorder and publishes a settings tree.
start_platform() {
  if send GET "$platform/admin/calls" >/dev/null 2>&1; then
    echo "another fleet uses port $PORT; set PORT to a free range of 400" >&2
    return 1
  fi
  start platform "$BIN/standin" platform --address "$platform"
  start recorder "$BIN/standin" recorder --address "$recorder"
  await "$platform/admin/calls"
  await "$recorder/record"
  send PUT "$platform/admin/settings" - <"$1"
}

# start_target N PLACE SERVICE ARGS... starts and lists target N.
start_target() {
  start "target$1" "$BIN/standin" target --address "$(target_address "$1")" \
    --recorder "$recorder" --platform "http://$platform" --zone "$(zone "$1")" \
    --seed "$(($1 + 1))" --place "$2" --service "$3" "${@:4}"
}

# list_instance N PLACE STATE publishes the entry of instance N.
list_instance() {
  send POST "$platform/admin/instances" "{\"address\":\"$(instance_address "$1")\",
    \"peer\":\"$(peer_address "$1")\",\"place\":\"$2\",\"zone\":\"$(zone "$1")\",\"state\":\"$3\"}"
}

# start_instance N PLACE [URL] starts and lists instance N, which reads the
# platform or the one at the URL; the first one is the seed of the others.
start_instance() {
  list_instance "$1" "$2" live
  start "instance$1" "$BIN/oriolecourse" serve --address "$(instance_address "$1")" \
    --peer "$(peer_address "$1")" --admin "$(admin_address "$1")" --place "$2" \
    --zone "$(zone "$1")" --platform "${3:-http://$platform}" --keys "$KEY" \
    --seeds "$(peer_address 0),$(peer_address 1)"
}

# instances N prints the callers' addresses of the first N instances.
instances() {
  local list=() i
  for ((i = 0; i < $1; i++)); do list+=("$(instance_address "$i")"); done
  (IFS=,; echo "${list[*]}")
}
