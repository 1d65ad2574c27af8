"""Observations of upstream failures that nodes share. No I/O."""
