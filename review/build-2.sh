#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/, as a test program: they are no part of the
# product, and CI passes them over. They use the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go test -c -buildvcs=false -o ../target/review-standins-2 ./standins2
