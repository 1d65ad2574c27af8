"""Reads operators' TOML files and validates them against typed tables.

The error for an invalid file is a single line that names the kind of the file, the key and the problem.
"""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

Table = TypeVar("Table")

# The key in operators' files for each attribute that has another name in the code.
FILE_KEYS = {
    "overload_multiple": "tip_multiple",
    "sessions": "links",
    "sessions_per_s": "links_per_s",
    "traffic_classes": "tariffs",
    "upstreams": "hosts",
}


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename=FILE_KEYS):
    """Base class of the tables in operators' files; an unknown key in a table is an error."""


def read_toml(path: Path, file_kind: str) -> dict[str, Any]:
    """Return the content of a TOML file.

    Args:
        path: The file.
        file_kind: How error messages refer to the file, such as `cluster`.

    Raises:
        ConfigurationError: The file can't be read, or is not valid TOML.

    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError(file_kind, f"can't be read ({error.strerror}: {path})") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(file_kind, f"no TOML ({error})") from None


def convert_table(raw: Any, kind: type[Table], file_kind: str) -> Table:
    """Return the content of a file, converted to the given type.

    Raises:
        ConfigurationError: A key is missing, unknown, or has a value of another type or outside its range.

    """
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        # msgspec appends the location of the problem to its message, as a path that begins with a dollar.
        problem, _, location = str(error).partition(" - at `$")
        key = location.strip("`.") or "top level"
        raise ConfigurationError(file_kind, f"{key}: {problem}") from None
