"""Nodes that know of each other; loaded only where a cluster file is given."""
