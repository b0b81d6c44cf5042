#!/usr/bin/env bash
# Starts or stops a small fleet on loopback: 3 control hosts, 3 gateways, and an
# agent for each of 6 model engines and 2 plain services, in 3 data centres.
#
#   scripts/fleet.sh up DIR      start, roll the demo bundle, wait until ready
#   scripts/fleet.sh down DIR    stop only the processes of this fleet, by pid
#   scripts/fleet.sh start DIR NAME   restart one stopped process
#   scripts/fleet.sh kill DIR NAME [SIGNAL]   send a signal to one process
#
# Environment variables and defaults: FLEET_BUNDLE (examples/latvia.yaml),
# FLEET_PORT (first port, 17000), FLEET_ENGINES (6), FLEET_SERVICES (2),
# FLEET_ENGINE_ARGS (additional banyan-engine flags), FLEET_SHARDS (1),
# FLEET_LOG_LEVEL (info), FLEET_BIN (bin), FLEET_TLS (empty: no TLS; else a
# directory with ca.pem and, issued by it for 127.0.0.1, cert.pem and key.pem, which
# all processes then use towards each other, callers and operators).
set -euo pipefail
cd "$(dirname "$0")/.."

BUNDLE=${FLEET_BUNDLE:-examples/latvia.yaml}
PORT=${FLEET_PORT:-17000}
ENGINES=${FLEET_ENGINES:-6}
SERVICES=${FLEET_SERVICES:-2}
SHARDS=${FLEET_SHARDS:-1}
LOG_LEVEL=${FLEET_LOG_LEVEL:-info}
BIN=${FLEET_BIN:-bin}
HOST=127.0.0.1
OPERATOR_TOKEN=demo-operator-token
SCHEME=http
CA=""         # CA that callers and operators must trust
PEER_TLS=()   # TLS flags of the control hosts, gateways and agents
HTTP_TLS=()   # TLS flags of processes with a listener for callers or operators
CURL=(curl -fsS -o /dev/null)
if [ -n "${FLEET_TLS:-}" ]; then
  SCHEME=https
  CA=$(realpath "$FLEET_TLS/ca.pem")
  PEER_TLS=(-tls-cert "$FLEET_TLS/cert.pem" -tls-key "$FLEET_TLS/key.pem" -tls-ca "$CA")
  HTTP_TLS=(-http-tls-cert "$FLEET_TLS/cert.pem" -http-tls-key "$FLEET_TLS/key.pem")
  CURL+=(--cacert "$CA")
fi
READY_TRIES=300   # attempts, READY_PAUSE seconds apart
READY_PAUSE=0.1

# launch NAME COMMAND...: starts a process in the background and writes its log,
# pid and command line to files in DIR.
launch() {
  local name=$1
  shift
  printf '%q ' "$@" > "$DIR/$name.cmd"
  "$@" >> "$DIR/$name.log" 2>&1 < /dev/null &
  echo $! > "$DIR/$name.pid"
}

# is_running NAME: whether the pid still belongs to a program of banyanwalk; it may
# have been reused.
is_running() {
  local pid
  pid=$(cat "$DIR/$1.pid")
  [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' < "/proc/$pid/cmdline" | grep -q banyan-
}

# await_exit NAME: waits until the last process of that name has exited, because a
# killed process keeps its ports until then.
await_exit() {
  local try
  for ((try = 0; try < READY_TRIES; try++)); do
    is_running "$1" || return 0
    sleep "$READY_PAUSE"
  done
  echo "fleet: $1 is still running" >&2
  return 1
}

start() {
  local name=$1
  await_exit "$name"
  eval "launch $name $(cat "$DIR/$name.cmd")"
}

names() { sed -n "/^$1:/,/^[a-z]/s/^ *- *{name: *\([a-z0-9-]*\),.*$2.*/\1/p" "$BUNDLE"; }

data_centres() { names data_centres 'region:'; }
models() { names models 'kind: *model'; }
services() { names models 'kind: *service'; }
workspaces() { sed -n '/^workspaces:/,/^[a-z]/s/^ *- name: *\([a-z0-9-]*\).*/\1/p' "$BUNDLE"; }

up() {
  mkdir -p "$DIR"
  local centres model service digest trusted peers="" controls="" admins="" gateways="" engines="" i dc
  mapfile -t centres < <(data_centres)
  model=$(models | head -n 1)
  service=$(services | head -n 1)
  digest=$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)
  rm -f "$DIR/operator.key"
  trusted=$("$BIN/banyanctl" bundle keygen -operator demo -out "$DIR/operator.key" | grep -o 'demo=[0-9a-f]*')
  for i in 1 2 3; do
    peers+="${peers:+,}$i=$HOST:$((PORT + i))"
    controls+="${controls:+,}$HOST:$((PORT + i))"
    admins+="${admins:+,}$SCHEME://$HOST:$((PORT + 10 + i))"
  done
  for i in 1 2 3; do
    launch "control-$i" "$BIN/banyan-control" -id "$i" -peers "$peers" -listen "$HOST:$((PORT + i))" \
      -admin-listen "$HOST:$((PORT + 10 + i))" -metrics-listen "$HOST:$((PORT + 20 + i))" \
      -data-dir "$DIR/control-$i.data" -data-centre "${centres[$(((i - 1) % ${#centres[@]}))]}" \
      -operator-tokens "$digest" -trusted-operators "$trusted" \
      -batch-shards "$SHARDS" -log-level "$LOG_LEVEL" "${PEER_TLS[@]}" "${HTTP_TLS[@]}"
  done
  "$BIN/banyanctl" bundle sign -key "$DIR/operator.key" -operator demo -out "$DIR/bundle.signed" "$BUNDLE"
  export BANYAN_ADDR=$admins BANYAN_OPERATOR_TOKEN=$OPERATOR_TOKEN BANYAN_TLS_CA=$CA # read by banyanctl
  retry "$BIN/banyanctl" bundle roll "$DIR/bundle.signed"
  for i in 1 2 3; do
    launch "gateway-$i" "$BIN/banyan-gateway" -name "gateway-$i" -listen "$HOST:$((PORT + 30 + i))" \
      -metrics-listen "$HOST:$((PORT + 40 + i))" -control "$controls" \
      -data-centre "${centres[$(((i - 1) % ${#centres[@]}))]}" -log-level "$LOG_LEVEL" "${PEER_TLS[@]}" "${HTTP_TLS[@]}"
    gateways+="${gateways:+ }$HOST:$((PORT + 30 + i))"
  done
  for ((i = 1; i <= ENGINES + SERVICES; i++)); do
    dc=${centres[$(((i - 1) % ${#centres[@]}))]}
    launch "agent-$i" "$BIN/banyan-agent" -name "host-$i" -listen "$HOST:$((PORT + 100 + i))" \
      -announce-listen "$HOST:$((PORT + 200 + i))" -metrics-listen "$HOST:$((PORT + 300 + i))" \
      -control "$controls" -data-centre "$dc" -log-level "$LOG_LEVEL" "${PEER_TLS[@]}"
    local kind=model name=$model
    if ((i > ENGINES)); then
      kind=service name=$service
    fi
    # shellcheck disable=SC2086 # FLEET_ENGINE_ARGS holds several flags
    launch "engine-$i" "$BIN/banyan-engine" -name "engine-$i" -kind "$kind" -model "$name" \
      -listen "$HOST:$((PORT + 400 + i))" -agent "http://$HOST:$((PORT + 200 + i))/v1/announce" \
      -data-centre "$dc" -log-level "$LOG_LEVEL" ${FLEET_ENGINE_ARGS:-}
    engines+="${engines:+ }$HOST:$((PORT + 400 + i))"
  done
  write_env "$gateways" "$engines"
  for gateway in $gateways; do
    retry "${CURL[@]}" "$SCHEME://$gateway/readyz"
  done
  retry all_targets
  echo "fleet is ready: . $DIR/fleet.env"
}

all_targets() {
  local seen
  seen=$(BANYAN_ADDR=${BANYAN_ADDR%%,*} "$BIN/banyanctl" status -output json | grep -o '"agent_incarnation"' | wc -l)
  [ "$seen" -ge $((ENGINES + SERVICES)) ]
}

write_env() {
  mapfile -t spaces < <(workspaces)
  cat > "$DIR/fleet.env" <<EOF
GATEWAYS="$1"
CONTROLS="$HOST:$((PORT + 11)) $HOST:$((PORT + 12)) $HOST:$((PORT + 13))"
ENGINES="$2"
KEY_A="demo-key-${spaces[0]}"
KEY_B="demo-key-${spaces[1]}"
OPERATOR_TOKEN="$OPERATOR_TOKEN"
MODEL="$(models | head -n 1)"
SERVICE="$(services | head -n 1)"
SCHEME="$SCHEME"
CA="$CA"
EOF
}

# check_running: fails if a launched process has exited, and prints its name and
# the last line of its log. A likely cause is that another fleet uses its port.
check_running() {
  local file name
  for file in "$DIR"/*.pid; do
    name=$(basename "$file" .pid)
    if ! kill -0 "$(cat "$file")" 2> /dev/null; then
      echo "fleet: $name has ended: $(tail -n 1 "$DIR/$name.log")" >&2
      return 1
    fi
  done
}

# retry COMMAND...: repeats the command until it succeeds, at most READY_TRIES
# times, and fails early if a process of the fleet exits.
retry() {
  local try
  for ((try = 0; try < READY_TRIES; try++)); do
    check_running || return 1
    if "$@" > "$DIR/retry.out" 2>&1; then
      check_running
      return
    fi
    sleep "$READY_PAUSE"
  done
  echo "fleet: gave up on: $*" >&2
  cat "$DIR/retry.out" >&2
  return 1
}

# signal NAME SIGNAL: sends the signal if the process is still running.
signal() {
  if is_running "$1"; then
    kill "-$2" "$(cat "$DIR/$1.pid")"
  fi
}

down() {
  local file name
  for file in "$DIR"/*.pid; do
    [ -e "$file" ] || return 0
    name=$(basename "$file" .pid)
    signal "$name" CONT
    signal "$name" KILL
    rm -f "$file"
  done
}

usage() {
  sed -n '2,15p' "$0" | sed 's/^# \{0,1\}//'
  exit 2
}

[ $# -ge 2 ] || usage
command=$1
DIR=$2
case $command in
  up) up ;;
  down) down ;;
  start) start "$3" ;;
  kill) signal "$3" "${4:-KILL}" ;;
  *) usage ;;
esac
