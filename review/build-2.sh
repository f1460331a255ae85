#!/bin/sh
# Checks the stand-ins of the cases from 6 on. They are plain JavaScript modules without
# dependencies, so that there is nothing to compile; the program comes from the deploy file's build.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
