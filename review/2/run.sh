#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/reviewkit ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/reviewkit -record "review/2/record.txt" unheard
