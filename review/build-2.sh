#!/bin/sh
# Builds the stand-ins and the judge that the scripts of review 2 start, into target/.
set -eu
cd "$(dirname "$0")/kit-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../../target/review-kit-2 .
