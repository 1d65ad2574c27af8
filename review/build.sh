#!/bin/sh
# Run after the build of the deploy file. The stand-ins are Python, in one module, and need only the standard
# library; this compiles them and makes the packages of a cluster available (requirements-cluster.txt, README).
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review || exit 1
.venv/bin/python -c "import nacl, msgspec" 2>/dev/null || .venv/bin/pip -q install -r requirements-cluster.txt ||
    echo "the packages of a cluster could not be installed: cases 2 and 3 will exit with 2" >&2
