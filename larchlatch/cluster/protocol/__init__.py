"""Datagrams between nodes, and their signatures."""
