#!/bin/sh
# The stand-ins of the scripts need the standard library only: nothing is built,
# their syntax is checked.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
