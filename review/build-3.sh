#!/bin/sh
# Builds the stand-ins of review/11 to 15, which need only Python's standard
# library: compiles them, so that an error shows before a case runs.
set -e
cd "$(dirname "$0")"
exec env PYTHONDONTWRITEBYTECODE=1 python3 - lib-3/*.py 1[1-5]/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
PY
