"""Runs scenarios as discrete-event simulations that use the production decision code of nodes."""
