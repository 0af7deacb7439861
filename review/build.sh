#!/usr/bin/env bash
# Builds the program that plays the stand-ins and the cases. It needs Go only, and no module besides
# this one.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go build -buildvcs=false -o ../target/review-standins ./standins
