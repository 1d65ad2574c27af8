"""Reads values from JSON objects and validates their types.

The functions that read a key take the object, the key, and the location of the object for error messages. A
missing or invalid value raises an error that names the location, the key and the problem. Callers that read
messages of other processes instead of files pass `error=ProtocolError`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from larchlatch.errors import ConfigurationError, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Mapping

Value = TypeVar("Value")
Default = TypeVar("Default")
Choice = TypeVar("Choice")

NUMBER = (int, float)

EXACT_INTEGER_LIMIT = 2**53  # JSON numbers are exact below this (RFC 8259, section 6)


def required(
    json_object: dict[str, Any],
    key: str,
    kind: type[Value] | tuple[type[Value], ...],
    where: str,
    *,
    error: type[InvalidInputError] = ConfigurationError,
) -> Value:
    """Return the value of a key that must be present.

    Args:
        json_object: The JSON object to read from.
        key: The key to read.
        kind: The type or types that the value may have. A boolean does not count as an `int`.
        where: The location of the object, for error messages.
        error: The type of the exception to raise.

    Raises:
        InvalidInputError: The key is missing, or its value is of another type.

    """
    if key not in json_object:
        raise error(where, f"{key} is missing")
    value = json_object[key]
    # bool is a subclass of int, but `true` in place of a number is an error.
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise error(where, f"{key} has the wrong type ({type(value).__name__})")
    return value


def optional(
    json_object: dict[str, Any],
    key: str,
    kind: type[Value] | tuple[type[Value], ...],
    where: str,
    default: Default,
    *,
    error: type[InvalidInputError] = ConfigurationError,
) -> Value | Default:
    """Return the value of a key, or the default if the key is missing or its value is null.

    Raises:
        InvalidInputError: The value is of another type.

    """
    if json_object.get(key) is None:
        return default
    return required(json_object, key, kind, where, error=error)


def non_negative_int(
    json_object: dict[str, Any],
    key: str,
    where: str,
    default: int | None = None,
    *,
    error: type[InvalidInputError] = ConfigurationError,
) -> int:
    """Return the value of a key that holds a count or a duration; a fraction is truncated.

    Without a default the key must be present. With a default, it replaces a missing key and null.

    Raises:
        InvalidInputError: The value is missing, not a number, negative, or too large to be exact in JSON.

    """
    value: float
    if default is None:
        value = required(json_object, key, NUMBER, where, error=error)
    else:
        value = optional(json_object, key, NUMBER, where, default, error=error)
    if not 0 <= value < EXACT_INTEGER_LIMIT:
        raise error(where, f"{key} is out of range ({value})")
    return int(value)


def is_number(value: object) -> bool:
    """Return whether a JSON value is a number; `true` and `false` are none."""
    return isinstance(value, NUMBER) and not isinstance(value, bool)


def number_between(
    json_object: dict[str, Any], key: str, where: str, *, least: float, most: float = EXACT_INTEGER_LIMIT
) -> float:
    """Return the value of a key that holds a number from `least` to `most`.

    Raises:
        ConfigurationError: The value is missing, not a number, or out of this range.

    """
    value = required(json_object, key, NUMBER, where)
    if not least <= value <= most:
        raise ConfigurationError(where, f"{key} is out of range ({value})")
    return float(value)


def integer_from(json_object: dict[str, Any], key: str, where: str, *, least: int) -> int:
    """Return the value of a key that holds a whole number of at least `least`.

    Raises:
        ConfigurationError: The value is missing, not a whole number, too small, or too large for JSON.

    """
    value = required(json_object, key, int, where)
    if not least <= value < EXACT_INTEGER_LIMIT:
        raise ConfigurationError(where, f"{key} is out of range ({value})")
    return value


def one_of(
    value: str,
    choices: Mapping[str, Choice],
    where: str,
    *,
    error: type[InvalidInputError] = ConfigurationError,
) -> Choice:
    """Return the choice that a string in a file or a message stands for.

    Args:
        value: The string.
        choices: The choice for each permitted string.
        where: The location of the string, for error messages.
        error: The type of the exception to raise.

    Raises:
        InvalidInputError: The string is not among the choices.

    """
    if value not in choices:
        raise error(where, f"unknown value {value!r}")
    return choices[value]
