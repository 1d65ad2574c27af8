"""Which nodes are present, by gossiped heartbeats. No I/O."""
