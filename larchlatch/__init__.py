"""larchlatch: a balancer for long-lived connections."""
