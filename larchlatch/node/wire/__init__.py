"""Protocols and sockets: lines with clients and upstreams, HTTP with discovery and for the admin API."""
