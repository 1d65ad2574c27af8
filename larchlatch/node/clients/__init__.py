"""The client side of a node: connections, their requests, and sessions from request to end."""
