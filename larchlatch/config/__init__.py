"""Reads and validates configuration files and fills in defaults. Errors name file, key and problem."""
