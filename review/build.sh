#!/usr/bin/env bash
# Builds the program that plays the stand-ins and the cases, as a test program of a module of its own:
# it is no part of the product, CI and `go test ./...` pass it over. It needs Go only.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go test -c -buildvcs=false -o ../target/review-standins ./standins
