"""Quotas that the nodes of a cluster share. No I/O."""
