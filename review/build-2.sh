#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing is compiled, only their syntax is checked.
set -euo pipefail
shopt -s nullglob
cd "$(dirname "$0")"
for file in stand/*.mjs [6-9]/*.mjs 10/*.mjs; do
    node --check "$file"
done
