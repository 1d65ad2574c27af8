"""Hot restart: one process of a node hands its listener, sessions and state over to the next."""
