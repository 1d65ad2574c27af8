"""Explicit-state model checker of the election, which explores every order of events in a small cluster."""
