"""Many nodes in one process on a clock of their own, at sizes that sockets do not reach."""
