"""Received datagrams are checked and dispatched here, and those to send are composed. No I/O."""
