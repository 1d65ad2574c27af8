"""Keys: each record is signed by the node that it tells of (Ed25519, RFC 8032); no other can speak for it."""

from __future__ import annotations

from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

PUBLIC_BYTES = 32
SIGNATURE_BYTES = 64

Key = bytes  # public


class Seal:
    """A node's own key."""

    def __init__(self, secret: bytes) -> None:
        self.signing = SigningKey(secret)
        self.public: Key = bytes(self.signing.verify_key)

    def sign(self, body: bytes) -> bytes:
        return self.signing.sign(body).signature


class Checks:
    """Checks signatures; keys that were used are kept ready."""

    def __init__(self) -> None:
        self.ready: dict[Key, VerifyKey] = {}

    def holds(self, key: Key, body: bytes, signature: bytes) -> bool:
        known = self.ready.get(key)
        if known is None:
            known = self.ready[key] = VerifyKey(key)
        try:
            known.verify(body, signature)
        except (BadSignatureError, ValueError):
            return False
        return True


def key_of(text: str) -> Key | None:
    """A public key written as hexadecimal digits."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if len(key) == PUBLIC_BYTES else None


def seal_of(text: str) -> Seal | None:
    """A secret key written as hexadecimal digits."""
    secret = key_of(text.strip())
    return None if secret is None else Seal(secret)
