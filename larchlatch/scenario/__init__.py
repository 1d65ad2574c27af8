"""What a day is, for whoever plays it: its description, demand, faults, hosts and figures."""
