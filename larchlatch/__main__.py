"""Entry point of `python -m larchlatch`."""

from __future__ import annotations

from larchlatch.cli.main import cli

__all__ = ["cli"]

if __name__ == "__main__":
    cli()
