#!/usr/bin/env bash
# Checks that words of the users' platform occur only in platform/, which translates them. The
# emulator and tests may use them, too. Also bounds the size of platform/, because it must not
# make decisions.
set -eu
cd "$(dirname "$0")/.."
words='Server-Seal|Expect-Instance|"Not-Run|Kv-Backup|Kv-Fetch|kv-events|Prompt-Prefix|Token-Count|Server-Load|pathPrefix|routeKind|maxQueuedTokens|sinceRev|/-/lots|/-/items|/-/retire|/-/config|/-/ready|SEDGEMAST_BOOT'
found=$(git grep -nE "$words" -- '*.go' ':!platform' ':!internal/emulator' ':!*_test.go' ':!test' || true)
if [ -n "$found" ]; then
  echo "words of the users' platform stand outside platform/:"
  echo "$found"
  exit 1
fi
lines=$(git ls-files 'platform/*.go' | grep -v _test.go | xargs cat | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "platform/ holds $lines lines: what decides belongs to the product"
  exit 1
fi
echo "names stay in platform/ ($lines lines)"
