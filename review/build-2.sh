#!/bin/sh
# Builds what the scripts of review/6 and up start besides the project's own programs. All of it is Python of the standard
# library, started by the scripts themselves: there is nothing to install, so this only checks that it compiles.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -B -c '
import ast, pathlib
for path in [pathlib.Path("review/standins2.py"), *sorted(pathlib.Path("review").glob("[6-9]/case.py"))]:
    ast.parse(path.read_text(), str(path))
'
