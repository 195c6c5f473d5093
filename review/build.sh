#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing is compiled, only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
