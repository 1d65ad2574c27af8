#!/bin/sh
# Run after the build of the deploy file, for the cases from 6 on. Their stand-ins are Python of the standard library, in
# review/standins2.py, so this only compiles them. Case 10 starts nodes with `--cluster`, which needs the project's own
# requirements-cluster.txt (README); without these packages it exits with 2.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review || exit 1
.venv/bin/python -c "import nacl, msgspec" 2>/dev/null || .venv/bin/pip -q install -r requirements-cluster.txt ||
    echo "the packages of a cluster could not be installed: case 10 will exit with 2" >&2
