"""TOML files of operators: read, checked against their types, and refused by one line that names the key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from larchlatch.terms import BadInput

T = TypeVar("T")


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A key that nobody reads is a slip of the hand."""


def read_toml(path: Path, top: str) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise BadInput(f"{top}: can't be read ({error.strerror}: {path})") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadInput(f"{top}: no TOML ({error})") from None


def converted(raw: Any, kind: type[T], top: str) -> T:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        # msgspec says what is wrong, and where behind a dollar sign.
        what, _, where = str(error).partition(" - at `$")
        raise BadInput(f"{top}: {where.strip('`.') or 'the whole'}: {what}") from None
