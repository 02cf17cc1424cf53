#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need only the
# standard library, so this only compiles them; the gateways need the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/common2/*.py review/{6,7,8,9,10}/*.py; do
    if [ -e "$file" ]; then python3 -m py_compile "$file"; fi
done
