"""The adapter that connects nodes to the simulator; all decisions are made by their balancers."""
