"""Contracts of many teams, and who is held to what: decisions without I/O, time handed in."""
