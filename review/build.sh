#!/usr/bin/env bash
# The stand-ins are Python and need no build; this checks that they can run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for path in [pathlib.Path("standins/standins.py"), *sorted(pathlib.Path(".").glob("[1-5]/play*.py"))]:
    ast.parse(path.read_text(), str(path))
PY
