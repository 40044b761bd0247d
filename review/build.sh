#!/bin/sh
# The stand-ins are Python scripts of the standard library alone: nothing is compiled, only their syntax is checked.
cd "$(dirname "$0")" || exit 1
for file in common/standin.py */play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
