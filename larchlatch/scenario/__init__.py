"""Descriptions of scenarios: nodes, upstreams, client demand, network and faults.

The emulator plays scenarios on simulated time, the load test plays them with real processes and sockets.
"""
