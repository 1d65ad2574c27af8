"""larchlatch: a balancer for long-lived connections."""

VERSION = "0.2.0"
