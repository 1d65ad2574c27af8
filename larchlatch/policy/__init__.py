"""The decisions of a node: where a session goes, whether it is tried again, and what is rejected."""
