#!/usr/bin/env bash
# Prints the share of the soak in all Go code; it must stay under a tenth.
set -euo pipefail
cd "$(dirname "$0")/.."

lines() {
  git ls-files -co --exclude-standard -- "$@" | tr '\n' '\0' | xargs -0 -r cat | wc -l
}

soak=$(lines 'platform/soak/*.go')
all=$(lines '*.go')
printf 'soak: %d of %d lines\n' "$soak" "$all"
if ((10 * soak >= all)); then
  echo 'the soak is a tenth of the code or more' >&2
  exit 1
fi
