"""Tokens by which one node admits sessions to upstreams in slow start on behalf of all. No I/O."""
