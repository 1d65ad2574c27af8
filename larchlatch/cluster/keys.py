"""Files with the secret keys of nodes."""

from __future__ import annotations

import os
import secrets
from typing import TYPE_CHECKING

from larchlatch.cluster.cluster_file import own_node
from larchlatch.cluster.protocol.signing import KEY_BYTES, Signer, parse_signer
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.cluster.cluster_file import ClusterConfiguration


def read_secret(path: Path) -> str:
    """Return the content of a key file.

    Raises:
        ConfigurationError: the file can't be read.

    """
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not hexadecimal digits"
        raise ConfigurationError("cluster key", f"can't be read ({why}: {path})") from None


def create_secret(path: Path) -> str:
    """Write a new secret key into a new file that only its owner can read.

    Returns:
        The public key in hexadecimal digits, for the cluster file.

    Raises:
        ConfigurationError: the file exists already, or can't be written.

    """
    secret = secrets.token_bytes(KEY_BYTES)
    try:
        with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as out:
            out.write(secret.hex() + "\n")
    except OSError as error:
        raise ConfigurationError("cluster key", f"can't be written ({error.strerror}: {path})") from None
    return Signer(secret).public_key.hex()


def own_signer(configuration: ClusterConfiguration, name: str, secret: str) -> Signer:
    """Return the signer of a node.

    Args:
        configuration: the cluster file.
        name: the node's name.
        secret: its secret key in hexadecimal digits.

    Raises:
        ConfigurationError: the cluster file has no such node or another key for it, or the secret is no key.

    """
    own = own_node(configuration, name)
    signer = parse_signer(secret)
    if signer is None:
        raise ConfigurationError("cluster key", f"not {KEY_BYTES} bytes as hexadecimal digits")
    if signer.public_key != own.key:
        raise ConfigurationError("cluster key", f"not the one that the file has for {name}")
    return signer
