"""Tokens by which one node admits sessions to upstreams in slow start on behalf of all. No I/O.

`requester` is the side that every node has, `issuer` the side of the node that holds the role of the token
issuer; `tokens` holds both, and `notices` is what the balancer is told of them. The design stands in
docs/duties.md.
"""
