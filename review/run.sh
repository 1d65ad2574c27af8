#!/bin/sh
# Runs the case in folder $1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
python="$1/../../.venv/bin/python"
[ -x "$python" ] || { echo "could not run: the build of the deploy file is missing"; exit 2; }
"$python" -B "$1/case.py" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; exit 2' INT TERM
wait "$case_pid"
status=$?
# Python itself ends with 1 after an error, so a broken rule has a number of its own.
case $status in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
