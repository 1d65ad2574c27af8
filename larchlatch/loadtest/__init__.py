"""The load test: plays a scenario on sockets, against node processes.

Clients, upstreams and discovery are stubs in the load test's own process.
"""
