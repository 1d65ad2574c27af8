"""What a node makes of datagrams, and which datagrams it sends. No I/O."""
