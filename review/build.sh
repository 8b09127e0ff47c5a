#!/bin/sh
# Builds the programs of the cases, with all their stand-ins, into bin/. It needs no network: modules come from the module cache.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for trial in review/[0-9]*/trial; do
	n=${trial#review/}
	GOPROXY=off GOTOOLCHAIN=local go build -mod=readonly -buildvcs=false -o "bin/review-${n%/trial}" "./$trial"
done
