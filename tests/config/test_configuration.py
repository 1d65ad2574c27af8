"""Tests of reading and reloading configuration files.

Each error must be a single line that names the key, or operators would have to search the whole file for the
fault. A reload that fails must leave the node with its current configuration.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import orjson
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.config.endpoints import decode_endpoint_list, parse_address, parse_endpoint
from larchlatch.config.node import (
    FILE_KEYS,
    NodeConfiguration,
    parse_node_configuration,
    read_node_configuration,
)
from larchlatch.config.reading import EXACT_INTEGER_LIMIT, non_negative_int, one_of, optional, required
from larchlatch.errors import ConfigurationError, InvalidInputError, ProtocolError
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.metrics import Counters
from larchlatch.node.reload import reload_configuration
from larchlatch.policy.types import UNKNOWN_PLACE
from tests.support.configuration import endpoint_row, node_configuration

VALID = node_configuration(["127.0.0.1:1"], 1)
WRONG: tuple[Any, ...] = (None, True, -1, 1.5, 1e300, 2**70, "word", "", [], [1], [None], {}, {"a": 1})


def paths(value: Any, prefix: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path to each item of a nested JSON value, at all depths."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for item, inner in rows:
        yield (*prefix, item)
        yield from paths(inner, (*prefix, item))


PATHS = list(paths(VALID))


def with_fault(path: tuple[Any, ...], wrong: Any, missing: bool) -> dict[str, Any]:
    """Return the valid configuration with one item missing or replaced by an invalid value."""
    raw = copy.deepcopy(VALID)
    container: Any = raw
    for item in path[:-1]:
        container = container[item]
    if missing:
        del container[path[-1]]
    else:
        container[path[-1]] = wrong
    return raw


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.sampled_from(PATHS), st.sampled_from(WRONG), st.booleans())
def test_a_faulty_configuration_is_read_or_the_error_names_the_key(
    path: tuple[Any, ...], wrong: Any, missing: bool
) -> None:
    names = [str(item) for item in path if isinstance(item, str)]
    try:
        parse_node_configuration(with_fault(path, wrong, missing))
    except InvalidInputError as error:
        assert "\n" not in str(error)
        assert any(name in str(error) for name in names), f"names none of {names}: {error}"


def discovery_client(current: NodeConfiguration) -> DiscoveryClient:
    """Return a discovery client that accepts a new address and makes no calls."""

    async def post(message: object) -> None: ...

    return DiscoveryClient(
        current.discovery_address,
        revision=1,
        pushed=True,
        counters=Counters(),
        post=post,
        uniform=lambda low, high: high,
    )


@pytest.mark.parametrize("key", ["settings", "listen", "discovery", "name", "seed"])
def test_a_faulty_configuration_is_rejected_at_reload(key: str, tmp_path: Path) -> None:
    """A faulty file must not stop a running node or change its settings; a corrected file takes effect."""
    current = parse_node_configuration(VALID)
    discovery = discovery_client(current)
    counters = Counters()
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({name: value for name, value in VALID.items() if name != key}))
    assert reload_configuration(current, path, discovery, counters) is current
    path.write_bytes(orjson.dumps(with_fault(("settings", "domain"), ["no object"], False)))
    assert reload_configuration(current, path, discovery, counters) is current
    path.write_bytes(orjson.dumps({**VALID, "discovery": "127.0.0.1:2", "unread": 1}))
    new = reload_configuration(current, path, discovery, counters)
    assert new == replace(read_node_configuration(path)) and discovery.source.address == ("127.0.0.1", 2)
    assert counters.snapshot() == {"configuration_reloaded": 1, "configuration_rejected": 2}


@pytest.mark.parametrize(
    ("changes", "keys"),
    [
        ({"seed": "2"}, None),
        ({"discovery": "127.0.0.1:2"}, None),
        ({"name": "other", "listen": "127.0.0.1:9"}, ["name", "listen"]),
        ({"limits": {"sockets": 9}}, ["limits.sockets"]),
        ({"control": "127.0.0.1:8"}, ["control"]),
        ({"settings": {**VALID["settings"], "me": 7}}, ["settings"]),
        ({"settings": {**VALID["settings"], "areas": ["x"]}}, ["settings.areas"]),
        ({"settings": {**VALID["settings"], "tenants": [{"name": "x"}]}}, ["settings.tenants"]),
    ],
)
def test_changes_that_need_a_restart_are_logged_and_not_applied(
    changes: dict[str, Any], keys: list[str] | None, tmp_path: Path
) -> None:
    """A change that silently has no effect would leave operators with a node that ignores its file."""
    current = parse_node_configuration(VALID)
    discovery = discovery_client(current)
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({**VALID, **changes}))
    with structlog.testing.capture_logs() as events:
        new = reload_configuration(current, path, discovery, Counters())
    logged_keys = [event["keys"] for event in events if event["event"] == "configuration_needs_restart"]
    assert logged_keys == ([] if keys is None else [keys])
    assert replace(new, discovery_address=current.discovery_address) == current


def test_each_attribute_of_the_configuration_has_a_file_key() -> None:
    """Reload compares the attributes in `FILE_KEYS`: it would miss a change to one without a key."""
    assert list(FILE_KEYS) == [field.name for field in fields(NodeConfiguration)]


@pytest.mark.parametrize(
    ("value", "kind", "problem"),
    [
        (True, int, "key has the wrong type (bool)"),
        (None, int, "key has the wrong type (NoneType)"),
        ("1", (int, float), "key has the wrong type (str)"),
        (1, bool, "key has the wrong type (int)"),
    ],
)
def test_a_value_of_another_type_is_an_error(value: Any, kind: Any, problem: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        required({"key": value}, "key", kind, "file")
    assert (caught.value.where, caught.value.problem) == ("file", problem)
    with pytest.raises(ProtocolError):
        required({"key": value}, "key", kind, "message", error=ProtocolError)


def test_an_optional_key_that_is_missing_or_null_has_its_default() -> None:
    assert optional({}, "key", int, "file", 3) == optional({"key": None}, "key", int, "file", 3) == 3
    assert optional({"key": 0}, "key", int, "file", 3) == 0
    with pytest.raises(ConfigurationError, match=r"^file: key has the wrong type"):
        optional({"key": "0"}, "key", int, "file", 3)
    with pytest.raises(ConfigurationError, match=r"^file: key is missing$"):
        required({}, "key", int, "file")


@pytest.mark.parametrize("value", [-1, -0.5, EXACT_INTEGER_LIMIT, 1e300, float("inf"), float("nan")])
def test_counts_and_times_are_exact_and_not_negative(value: float) -> None:
    with pytest.raises(ConfigurationError, match=r"^file: key is out of range"):
        non_negative_int({"key": value}, "key", "file")
    assert non_negative_int({"key": 2.9}, "key", "file") == 2
    assert non_negative_int({"key": EXACT_INTEGER_LIMIT - 1}, "key", "file") == EXACT_INTEGER_LIMIT - 1


def test_an_unknown_enum_value_is_an_error() -> None:
    assert one_of("a", {"a": 1}, "file.key") == 1
    with pytest.raises(ProtocolError, match=r"^list\.key: unknown value 'b'$"):
        one_of("b", {"a": 1}, "list.key", error=ProtocolError)


def test_errors_in_files_and_in_messages_have_different_types() -> None:
    with pytest.raises(ConfigurationError, match=r"^configuration: listen: not an address"):
        parse_node_configuration({**VALID, "listen": "here"})
    with pytest.raises(ProtocolError, match=r"^list: members is missing$"):
        decode_endpoint_list(b'{"complete": true, "revision": 1}')
    assert parse_address("[::1]:3000", "file") == ("::1", 3000)


@pytest.mark.parametrize(
    ("path", "wrong"),
    [
        (("settings", "me"), -1),
        (("settings", "me"), 2**70),
        (("settings", "caps", "most_setup_tries"), -1),
        (("settings", "rules", "cold_from"), -0.1),
        (("settings", "rules", "cold_from"), 1.5),
        (("settings", "rules", "tip_multiple"), -1),
        (("settings", "domain", "message_aim_us"), [True, 1, 1]),
        (("settings", "domain", "message_aim_us"), [1, -1, 1]),
        (("limits", "sockets"), -1),
        (("limits", "sockets"), 0),
    ],
)
def test_a_number_out_of_its_range_is_rejected(path: tuple[str, ...], wrong: Any) -> None:
    """Such a value was accepted, and led to wrong decisions or to errors far from the file."""
    with pytest.raises(ConfigurationError, match=path[-1]):
        parse_node_configuration(with_fault(path, wrong, missing=False))


def test_an_upstream_that_starts_without_capacity_has_a_load_that_can_be_compared() -> None:
    """A share of 0 is allowed by the pages, and loads are divided by it."""
    configuration = parse_node_configuration(with_fault(("settings", "rules", "cold_from"), 0, missing=False))
    assert 0 < configuration.settings.slow_start_min_share <= 0.001


@pytest.mark.parametrize(("key", "default"), [("cell", UNKNOWN_PLACE), ("size", 1.0)])
def test_true_is_no_number_in_an_endpoint_list(key: str, default: float) -> None:
    entry = parse_endpoint({**endpoint_row(0, "127.0.0.1:1"), key: True}, "entry")
    assert getattr(entry, key) == default
