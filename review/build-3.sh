#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use the standard library alone, so this only
# checks that the interpreter takes them.
cd "$(dirname "$0")" || exit 1
for file in standins-3/standins.py 1[1-5]/run.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
