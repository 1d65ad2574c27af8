"""Reads the contracts of teams and admits their sessions and messages within nested quotas.

The decisions do no I/O and read no clock: callers pass in the time.
"""
