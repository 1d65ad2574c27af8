"""Runs the command line interface for `python -m larchlatch`."""

from __future__ import annotations

import sys

from larchlatch.node.signal_mask import hold_signals

if __name__ == "__main__" and sys.argv[1:2] == ["serve"]:
    # Before the other imports, which take most of the time until a node handles signals.
    hold_signals()

from larchlatch.cli.main import cli

__all__ = ["cli"]

if __name__ == "__main__":
    cli()
