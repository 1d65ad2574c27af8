"""Leader election by leases without disk. No I/O."""
