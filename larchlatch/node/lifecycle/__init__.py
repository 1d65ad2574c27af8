"""Configuration, start and stop."""
