"""Tests of the scenarios and addresses that the load test rejects."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.errors import InvalidInputError
from larchlatch.loadtest.limits import check_playable
from larchlatch.scenario.scenario_file import parse_scenario


@pytest.mark.parametrize(
    "address", ["10.0.0.1", "192.168.1.1", "0.0.0.0", "8.8.8.8", "localhost", "::1", "x"]
)
def test_address_outside_loopback_is_refused(address: str, tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text("")
    result = CliRunner().invoke(cli, ["load", str(tmp_path / "day.toml"), "--address", address])
    assert result.exit_code == 2 and "address" in result.stderr and address in result.stderr


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"passes": True}, "passes"),
        ({"nodes": {"count": 50}}, "nodes.count"),
        ({"links": {"rate": 9000.0}}, "links.rate"),
        ({"span_s": 5000.0}, "span_s"),
        ({"links": {"rate": 400.0, "life_s": 100.0}}, "links.life_s"),
    ],
)
def test_scenario_too_large_for_sockets_is_refused_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(InvalidInputError) as raised:
        check_playable(parse_scenario(change, "day"))
    assert key in str(raised.value)
