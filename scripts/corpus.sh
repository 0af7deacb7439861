#!/usr/bin/env bash
# Writes sample messages of the release COMMIT to internal/wire/testdata/releases/NAME, and also
# what that release decodes from sample messages of the current tree. Run it by hand for each
# release, and again for all releases after a field has been added to a message.
#
# Usage: scripts/corpus.sh COMMIT NAME
set -eu
cd "$(dirname "$0")/.."
folder=$PWD/internal/wire/testdata/releases/$2
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
git archive "$1" | tar x -C "$tree"
mkdir -p "$folder" "$tree/internal/wire/corpus/write"
scripts/corpus-types.sh . > internal/wire/corpus/types.go
gofmt -w internal/wire/corpus/types.go
go run ./internal/wire/corpus/write > "$folder/../today.json"
cp internal/wire/corpus/corpus.go "$tree/internal/wire/corpus/"
cp internal/wire/corpus/write/main.go "$tree/internal/wire/corpus/write/"
scripts/corpus-types.sh "$tree" > "$tree/internal/wire/corpus/types.go"
cd "$tree"
go run ./internal/wire/corpus/write > "$folder/written.json"
go run ./internal/wire/corpus/write "$folder/../today.json" > "$folder/read.json"
