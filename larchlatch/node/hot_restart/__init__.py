"""Hot restart: replaces the process of a node without interrupting its sessions.

The predecessor, the process that serves, hands its listening socket, state and sessions over to the
successor, a newly started process of the same node.
"""
