#!/usr/bin/env bash
# Prints the share of test code in all Go code; it must stay under a third. The
# helpers that only tests import count as test code.
set -euo pipefail
cd "$(dirname "$0")/.."

lines() {
  git ls-files -co --exclude-standard -- '*.go' | grep -E "$@" | tr '\n' '\0' | xargs -0 -r cat | wc -l
}

pattern='_test\.go$|^internal/standin/(starter|narrator|historian)/'
tests=$(lines "$pattern" || true)
code=$(lines -v "$pattern")
printf 'test code: %d of %d lines (%d%%)\n' "$tests" "$((tests + code))" "$((100 * tests / (tests + code)))"
if ((3 * tests >= tests + code)); then
  echo 'the tests are a third of the code or more' >&2
  exit 1
fi
