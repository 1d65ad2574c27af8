"""Datagrams between nodes, and their keys."""
