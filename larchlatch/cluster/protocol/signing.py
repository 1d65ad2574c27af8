"""Signs messages and verifies their signatures: Ed25519 (RFC 8032).

Each record is signed by the node that it describes, so that no other node can forge it.
"""

from __future__ import annotations

from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

KEY_BYTES = 32  # length of a public key, and of a secret key (the seed in RFC 8032, 5.1.5)
SIGNATURE_BYTES = 64

PublicKey = bytes


class Signer:
    """Signs messages with a node's secret key.

    Attributes:
        public_key: the key by which other nodes verify the signatures.

    """

    def __init__(self, secret: bytes) -> None:
        self._signing_key = SigningKey(secret)
        self.public_key: PublicKey = bytes(self._signing_key.verify_key)

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a message's body."""
        return self._signing_key.sign(body).signature


class Verifier:
    """Verifies signatures of other nodes, and caches their public keys as objects of the library."""

    def __init__(self) -> None:
        self._verify_keys: dict[PublicKey, VerifyKey] = {}

    def verify(self, key: PublicKey, body: bytes, signature: bytes) -> bool:
        """Return whether the signature of this body was made with the secret key of this public key."""
        verify_key = self._verify_keys.get(key)
        if verify_key is None:
            verify_key = self._verify_keys[key] = VerifyKey(key)
        try:
            verify_key.verify(body, signature)
        except (BadSignatureError, ValueError):
            return False
        return True


def parse_key(text: str) -> bytes | None:
    """Return the key that a text gives in hexadecimal digits; None if the text is not a valid key."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if len(key) == KEY_BYTES else None


def parse_signer(text: str) -> Signer | None:
    """Return the signer for a secret key in hexadecimal digits; None if the text is not a valid key."""
    secret = parse_key(text.strip())
    return None if secret is None else Signer(secret)
