"""Cluster membership: the members of a cluster and their states, learned from gossiped heartbeats. No I/O."""
