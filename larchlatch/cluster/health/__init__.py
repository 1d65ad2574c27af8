"""Observations of unreachable upstreams that nodes share, and what follows from them. No I/O."""
