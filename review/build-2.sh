#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python and need the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standin2/*.py review/[6-9]/*.py review/10/*.py <<'P'
import ast, pathlib, sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(), name)
P
