#!/usr/bin/env bash
# Checks that deploy/system.toml names a commit of the history before HEAD as the build
# that an upgrade starts from.
set -euo pipefail
cd "$(dirname "$0")/.."

commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
if [[ ! $commit =~ ^[0-9a-f]{40}$ ]]; then
  echo 'deploy/system.toml: production is missing or not the full name of a commit' >&2
  exit 1
fi
if ! git rev-parse --quiet --verify HEAD >/dev/null 2>&1 || [[ $(git rev-parse --is-shallow-repository) == true ]]; then
  echo "production $commit: not checked, the history is absent"
  exit 0
fi
if [[ $commit == "$(git rev-parse HEAD)" ]] || ! git merge-base --is-ancestor "$commit" HEAD 2>/dev/null; then
  echo "deploy/system.toml: production $commit is not a commit before HEAD" >&2
  exit 1
fi
echo "production $commit: a commit before HEAD"
