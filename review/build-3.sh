#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js: nothing is compiled, they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
