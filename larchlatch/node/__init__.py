"""The real node: sockets around the balancer. It carries decisions out and makes none."""
