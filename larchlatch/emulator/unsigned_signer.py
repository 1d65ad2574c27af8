"""Provides signatures without cryptography, as simulated members do not forge signatures."""

from __future__ import annotations

from larchlatch.cluster.protocol.signing import SIGNATURE_BYTES


def unsigned_key(name: str) -> bytes:
    """Return a placeholder for a member's public key, which also serves as its signature."""
    return name.encode().ljust(SIGNATURE_BYTES)


class UnsignedSigner:
    """Signs with the member's name; only the load test measures the cost of cryptographic signatures."""

    def __init__(self, name: str) -> None:
        self._key = unsigned_key(name)

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a message's body."""
        return self._key

    def verify(self, key: bytes, body: bytes, signature: bytes) -> bool:
        """Return whether a signature was made by the member with this key."""
        return key == signature
