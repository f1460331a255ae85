#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
