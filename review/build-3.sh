#!/usr/bin/env bash
# Builds the program of each case of the third review from the stand-ins in review/standin-3 and the play in the folder of the case.
# It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
out=$PWD/../target/review-3
for n in 11 12 13 14 15; do
	rm -rf "$out/source-$n"
	mkdir -p "$out/source-$n"
	cp standin-3/*.go standin-3/go.mod "$n/play.go" "$out/source-$n"
	(cd "$out/source-$n" && GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o "$out/play-$n" .)
done
