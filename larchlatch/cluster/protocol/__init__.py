"""Messages between nodes, how they are encoded, and their signatures."""
