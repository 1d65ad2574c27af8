"""Hot restart: a process of a node hands its listening socket, state and sessions over to its successor."""
