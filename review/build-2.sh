#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. They use the standard library only.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review-standins-2 ./standins2
