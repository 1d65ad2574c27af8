"""The members of a cluster and their states, by gossiped heartbeats. No I/O."""
