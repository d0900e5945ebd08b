#!/usr/bin/env bash
# The stand-ins are plain JavaScript of their own: this only checks that they
# and the cases parse. No stand-in of the project is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
