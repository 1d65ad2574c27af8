"""The real node: sockets round the module. It carries decisions out and makes none."""
