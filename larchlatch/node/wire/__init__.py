"""Sockets, the line protocol with clients and upstreams, and HTTP for discovery and the admin API."""
