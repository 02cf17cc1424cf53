#!/bin/bash
# Builds the stand-ins of the cases. They need the standard library of Python only, so
# nothing but a check of the interpreter and of the sources is left to do.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for source in common/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
