#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python of the standard library alone, so there is nothing to
# compile or to fetch: this checks that the interpreter of the deploy file's build reads them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -B - <<'CHECK'
import ast
from pathlib import Path

for path in [Path("review/stand_ins_2.py"), *sorted(Path("review").glob("[6-9]/case.py")), *Path("review").glob("10/case.py")]:
    ast.parse(path.read_text(), str(path))
CHECK
