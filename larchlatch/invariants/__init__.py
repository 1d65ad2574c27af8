"""Invariant checkers: each verifies one property of a run by observations from outside the nodes.

The checkers import neither the policy nor the cluster's decisions, so that an error there can't hide itself.
"""
