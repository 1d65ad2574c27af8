"""Observations of unreachable upstreams that nodes share, and the ejection advice that follows. No I/O."""
