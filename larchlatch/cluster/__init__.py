"""Lets several nodes share quotas, roles and observations; imported only if a cluster file is given."""
