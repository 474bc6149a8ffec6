#!/bin/sh
# Checks the stand-ins of the scripts. They are Python and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in standin/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
