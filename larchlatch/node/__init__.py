"""The node process: network I/O around the balancer, whose decisions it carries out. It makes none itself."""
