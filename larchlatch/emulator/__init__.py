"""Many nodes in one process on a clock of their own: the decisions tried at sizes that sockets don't reach."""
