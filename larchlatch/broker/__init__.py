"""Contracts of many teams, and admission within their nested quotas. No I/O; time is an argument."""
