#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are scripts: this only checks that they parse.
# No stand-in of the project is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-[23]/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
if command -v perl > /dev/null; then
  perl -c stand-ins-2/slow_requester.pl
fi
