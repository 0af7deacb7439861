#!/usr/bin/env bash
# Writes the messages of the release COMMIT into internal/wire/testdata/releases/NAME, and
# what that release reads in today's messages: scripts/corpus.sh COMMIT NAME. To be run by
# hand for each release, and again for all after a message has got a field.
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
