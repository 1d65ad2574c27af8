"""Who is there: decided without I/O."""
