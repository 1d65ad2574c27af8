"""Explicit-state model checker of the election: every order of events in a small system of leases."""
