#!/usr/bin/env bash
# Plays the case 'parts' of the third review; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/banyan-site-store ] || { echo "build first: the deploy file and review/build-3.sh"; exit 2; }
exec target/review-3 parts review/13/record.txt
