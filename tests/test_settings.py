"""Whatever a configuration lacks or mistypes, it is read, or complained of in one line that names the key."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.config.node import plan_from, plan_of
from larchlatch.errors import InvalidInputError
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.metrics import Counters
from larchlatch.node.reload import reread
from tests.ground import configuration

GOOD = configuration(["127.0.0.1:1"], 1)
WRONG: tuple[Any, ...] = (None, True, -1, 1.5, 1e300, 2**70, "word", "", [], [1], [None], {}, {"a": 1})


def paths(value: Any, so_far: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The way to each item, however deep."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for item, inner in rows:
        yield (*so_far, item)
        yield from paths(inner, (*so_far, item))


PATHS = list(paths(GOOD))


def spoilt(path: tuple[Any, ...], wrong: Any, missing: bool) -> dict[str, Any]:
    raw = copy.deepcopy(GOOD)
    holder: Any = raw
    for item in path[:-1]:
        holder = holder[item]
    if missing:
        del holder[path[-1]]
    else:
        holder[path[-1]] = wrong
    return raw


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.sampled_from(PATHS), st.sampled_from(WRONG), st.booleans())
def test_a_spoilt_configuration_is_read_or_complained_of_by_name(
    path: tuple[Any, ...], wrong: Any, missing: bool
) -> None:
    names = [str(item) for item in path if isinstance(item, str)]
    try:
        plan_from(spoilt(path, wrong, missing))
    except InvalidInputError as error:
        assert "\n" not in str(error)
        assert any(name in str(error) for name in names), f"names none of {names}: {error}"


@pytest.mark.parametrize("key", ["settings", "listen", "discovery", "name", "seed"])
def test_a_new_configuration_without_a_key_is_refused_and_the_old_one_kept(key: str, tmp_path: Path) -> None:
    async def post(word: object) -> None: ...

    plan = plan_from(GOOD)
    listing = DiscoveryClient(
        plan.discovery,
        revision=1,
        pushed=True,
        counters=Counters(),
        post=post,
        uniform=lambda low, high: high,
    )
    counters = Counters()
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps({name: value for name, value in GOOD.items() if name != key}))
    assert reread(plan, path, listing, counters) is plan
    path.write_bytes(orjson.dumps(spoilt(("settings", "domain"), ["no object"], False)))
    assert reread(plan, path, listing, counters) is plan
    path.write_bytes(orjson.dumps({**GOOD, "discovery": "127.0.0.1:2", "unread": 1}))
    new = reread(plan, path, listing, counters)
    assert new == replace(plan_of(path)) and listing.source.address == ("127.0.0.1", 2)
    assert counters.snapshot() == {"configuration read": 1, "configuration refused": 2}
