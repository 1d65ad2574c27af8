"""Creates and reads the files that hold the secret keys of nodes."""

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
    """Return the secret key in a key file, in hexadecimal digits.

    Raises:
        ConfigurationError: the file can't be read, or is not ASCII text.

    """
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not hexadecimal digits"
        raise ConfigurationError("cluster key", f"can't be read ({reason}: {path})") from None


def create_secret(path: Path) -> str:
    """Generate a secret key, and write it into a new file that only its owner can read.

    Returns:
        The public key that belongs to it, in hexadecimal digits, for the cluster file.

    Raises:
        ConfigurationError: the file exists already, or can't be written.

    """
    secret = secrets.token_bytes(KEY_BYTES)
    try:
        with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as key_file:
            key_file.write(secret.hex() + "\n")
    except OSError as error:
        raise ConfigurationError("cluster key", f"can't be written ({error.strerror}: {path})") from None
    return Signer(secret).public_key.hex()


def own_signer(configuration: ClusterConfiguration, name: str, secret: str) -> Signer:
    """Return the signer for a node, after checking its secret key against the cluster file.

    Args:
        configuration: the content of the cluster file.
        name: the node's name.
        secret: the node's secret key in hexadecimal digits.

    Raises:
        ConfigurationError: the cluster file has no such node, the secret is not a valid key, or it does not
            belong to the node's public key in the cluster file.

    """
    node = own_node(configuration, name)
    signer = parse_signer(secret)
    if signer is None:
        raise ConfigurationError("cluster key", f"a secret key is {KEY_BYTES} bytes in hexadecimal digits")
    if signer.public_key != node.key:
        raise ConfigurationError(
            "cluster key", f"not the one whose public key the cluster file has for {name}"
        )
    return signer
