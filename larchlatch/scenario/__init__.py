"""Scenarios as data: nodes, upstreams, demand, network and faults, for whatever plays them."""
