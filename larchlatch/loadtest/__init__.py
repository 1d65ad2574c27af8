"""Plays a scenario on sockets: nodes as processes, and stubs for clients, upstreams and discovery."""
