#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library; nothing is built.
set -euo pipefail
cd "$(dirname "$0")"
for source in lib/harness.py [1-5]/case.py; do
  [ ! -e "$source" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
