"""What is kept: links in hand, names, room for sockets, counters."""
