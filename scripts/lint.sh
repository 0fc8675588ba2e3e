#!/usr/bin/env bash
# Checks formatting, lint rules and vet.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(go tool gofumpt -l .)
if [[ -n "$unformatted" ]]; then
  printf 'not formatted by gofumpt:\n%s\n' "$unformatted" >&2
  exit 1
fi
go tool revive -config revive.toml -set_exit_status ./...
go vet ./...
