#!/usr/bin/env bash
# Builds the program of each case of the second review from the stand-ins in review/standin-2 and the play in the folder of the case.
set -euo pipefail
cd "$(dirname "$0")"
out=$PWD/../target/review-2
for n in 6 7 8 9; do
	rm -rf "$out/source-$n"
	mkdir -p "$out/source-$n"
	cp standin-2/*.go standin-2/go.mod "$n/play.go" "$out/source-$n"
	(cd "$out/source-$n" && GOWORK=off GOFLAGS= go build -buildvcs=false -o "$out/play-$n" .)
done
