#!/bin/sh
# Builds what the scripts of review/6 and up start besides the build of the deploy file. The stand-ins are Python of the
# standard library and need no build, so they are only checked. Case 10 starts nodes with `--cluster`, which needs the
# project's own requirements-cluster.txt; without these packages it exits with 2.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B -c '
import ast, pathlib
for path in [pathlib.Path("review/standins2.py"), *sorted(pathlib.Path("review").glob("[6-9]/case.py")), *pathlib.Path("review").glob("10/case.py")]:
    ast.parse(path.read_text(), str(path))
'
.venv/bin/python -B -c 'import msgspec, nacl' 2>/dev/null || .venv/bin/pip -q install -r requirements-cluster.txt
