"""Slow-start tokens, by which one node admits sessions to warming upstreams for all nodes. No I/O.

`requester` is the side of every node, and `issuer` the side of the node that holds the role of the token
issuer; `tokens` combines them. `notices` holds what the balancer receives. docs/election.md describes the
design.
"""
