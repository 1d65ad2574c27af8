"""Signatures of messages: Ed25519 (RFC 8032).

Each record is signed by the node that it describes, so that no other node can forge it.
"""

from __future__ import annotations

from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

KEY_BYTES = 32  # of a public key, and of the seed that is a secret key (RFC 8032, 5.1.5)
SIGNATURE_BYTES = 64

PublicKey = bytes


class Signer:
    """Signs messages with a node's secret key.

    Attributes:
        public_key: the key that verifies the signatures.

    """

    def __init__(self, secret: bytes) -> None:
        self._signing_key = SigningKey(secret)
        self.public_key: PublicKey = bytes(self._signing_key.verify_key)

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a message's body."""
        return self._signing_key.sign(body).signature


class Verifier:
    """Verifies signatures of other nodes, and caches their keys in the form that the library needs."""

    def __init__(self) -> None:
        self._prepared: dict[PublicKey, VerifyKey] = {}

    def verify(self, key: PublicKey, body: bytes, signature: bytes) -> bool:
        """Return whether the signature was made by the owner of this key for this body."""
        verify_key = self._prepared.get(key)
        if verify_key is None:
            verify_key = self._prepared[key] = VerifyKey(key)
        try:
            verify_key.verify(body, signature)
        except (BadSignatureError, ValueError):
            return False
        return True


def parse_key(text: str) -> bytes | None:
    """Return the key that is written as hexadecimal digits; None if the text is no key."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if len(key) == KEY_BYTES else None


def parse_signer(text: str) -> Signer | None:
    """Return the signer for a secret key that is written as hexadecimal digits; None if it is no key."""
    secret = parse_key(text.strip())
    return None if secret is None else Signer(secret)
