"""Runs the command line interface for `python -m larchlatch`."""

from __future__ import annotations

from larchlatch.cli.main import cli

__all__ = ["cli"]

if __name__ == "__main__":
    cli()
