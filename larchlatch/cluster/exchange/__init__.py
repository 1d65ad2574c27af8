"""Checks and dispatches the datagrams that a node receives, and composes those that it sends. No I/O."""
