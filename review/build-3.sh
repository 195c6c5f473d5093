#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain JavaScript without dependencies: only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in stand-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
