"""Slow-start tokens, with which one node admits the sessions of all nodes to warming upstreams. No I/O.

Every node requests tokens with `requester`. The node that holds the role of the token issuer also issues them
with `issuer`. `tokens` combines both for one node, `token_limits` has the limits that both apply, and
`notices` defines what the balancer is told. docs/election.md describes the design.
"""
