"""Strict reading of the operators' TOML files.

A file is checked against types. The error for a wrong file is one line that names the file and the key.
"""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

Table = TypeVar("Table")

# Keys of operators' files that differ from the names of their attributes.
FILE_KEYS = {
    "overload_multiple": "tip_multiple",
    "sessions": "links",
    "sessions_per_s": "links_per_s",
    "traffic_classes": "tariffs",
    "upstreams": "hosts",
}


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename=FILE_KEYS):
    """Base of the tables of operators' files: an unknown key is an error."""


def read_toml(path: Path, file_kind: str) -> dict[str, Any]:
    """Return the content of a TOML file.

    Args:
        path: The file.
        file_kind: What messages call the file, such as `cluster`.

    Raises:
        ConfigurationError: The file can't be read, or is no TOML.

    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError(file_kind, f"can't be read ({error.strerror}: {path})") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(file_kind, f"no TOML ({error})") from None


def convert_table(raw: Any, kind: type[Table], file_kind: str) -> Table:
    """Return the content of a file as the given type.

    Raises:
        ConfigurationError: A key is missing, unknown, or has a value that its type excludes.

    """
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        # msgspec appends the place to its message, as a path behind a dollar sign.
        problem, _, place = str(error).partition(" - at `$")
        key = place.strip("`.") or "the whole"
        raise ConfigurationError(file_kind, f"{key}: {problem}") from None
