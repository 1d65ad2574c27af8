"""Configuration: reading, checking and defaults. Errors name the file, the key and what was expected."""
