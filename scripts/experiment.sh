#!/usr/bin/env bash
# Runs an experiment plan on a temporary fleet and writes the results next to the
# plan: PLAN.txt (table), PLAN.json and PLAN.svg. The fleet is configured with the
# environment variables of scripts/fleet.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

plan=$1
shift
base=${plan%.yaml}
dir=$(mktemp -d)
export FLEET_PORT=${FLEET_PORT:-15000} FLEET_LOG_LEVEL=${FLEET_LOG_LEVEL:-warn}
export FLEET_BUNDLE=${FLEET_BUNDLE:-examples/$(sed -n 's/^bundle:.*\/\(.*\)/\1/p' "$plan")}
case $FLEET_BUNDLE in
  *dakar*) export FLEET_ENGINES=${FLEET_ENGINES:-18} FLEET_SERVICES=${FLEET_SERVICES:-3} ;;
  *) export FLEET_ENGINES=${FLEET_ENGINES:-9} FLEET_SERVICES=${FLEET_SERVICES:-3} ;;
esac
trap 'scripts/fleet.sh down "$dir"; rm -rf "$dir"' EXIT
scripts/fleet.sh up "$dir" > /dev/null
# shellcheck disable=SC1091 # written by fleet.sh
. "$dir/fleet.env"
url_list() { printf 'http://%s\n' "$@" | paste -sd, -; }
# shellcheck disable=SC2086 # the variables hold lists
bin/banyan-load -plan "$plan" -gateways "$(url_list $GATEWAYS)" -controls "$(url_list $CONTROLS)" \
  -operator-token "$OPERATOR_TOKEN" -json "$base.json" -plot "$base.svg" "$@" | tee "$base.txt"
