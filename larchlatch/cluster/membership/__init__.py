"""Cluster membership by gossiped heartbeats. No I/O."""
