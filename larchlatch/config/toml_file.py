"""TOML files of operators: read, checked against their types, and refused by one line that names the key."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")


# Attributes whose keys in operators' files have other names: the keys are part of the users' files and stay.
FILE_KEYS = {
    "overload_multiple": "tip_multiple",
    "sessions": "links",
    "sessions_per_s": "links_per_s",
    "traffic_classes": "tariffs",
    "upstreams": "hosts",
}


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename=FILE_KEYS):
    """Base of the tables of operators' files: a key that nothing reads is an error."""


def read_toml(path: Path, top: str) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError(top, f"can't be read ({error.strerror}: {path})") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(top, f"no TOML ({error})") from None


def converted(raw: Any, kind: type[T], top: str) -> T:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        # msgspec says what is wrong, and where behind a dollar sign.
        what, _, where = str(error).partition(" - at `$")
        raise ConfigurationError(top, f"{where.strip('`.') or 'the whole'}: {what}") from None
