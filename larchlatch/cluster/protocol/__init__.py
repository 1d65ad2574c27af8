"""The protocol between nodes: messages, their encoding and their signatures."""
