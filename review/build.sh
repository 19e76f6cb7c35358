#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain JavaScript without dependencies, so it is only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
  node --check "$file"
done
