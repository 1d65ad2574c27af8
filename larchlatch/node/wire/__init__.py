"""Protocols: lines with clients and upstreams, discovery and the admin API over HTTP."""
