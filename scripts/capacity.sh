#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md on a temporary fleet. Arguments, such as
# -quick or -json FILE, are passed to banyan-capacity.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
export FLEET_PORT=${FLEET_PORT:-16000} FLEET_LOG_LEVEL=${FLEET_LOG_LEVEL:-warn}
export FLEET_ENGINE_ARGS=${FLEET_ENGINE_ARGS:--prefill-ms 1 -token-ms 0.5 -warm 64 -warmup-requests 0}
trap 'scripts/fleet.sh down "$dir"; rm -rf "$dir"' EXIT
scripts/fleet.sh up "$dir"
# shellcheck disable=SC1091 # written by fleet.sh
. "$dir/fleet.env"
url_list() { printf 'http://%s\n' "$@" | paste -sd, -; }
# shellcheck disable=SC2086 # the variables hold lists
bin/banyan-capacity -dir "$dir" \
  -controls "127.0.0.1:$((FLEET_PORT + 1)),127.0.0.1:$((FLEET_PORT + 2)),127.0.0.1:$((FLEET_PORT + 3))" \
  -gateways "$(url_list $GATEWAYS)" "$@"
