"""Tests of scenario files: the errors for invalid files, and the example files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.errors import InvalidInputError
from larchlatch.scenario.scenario_file import parse_scenario, read_scenario_file
from tests.support.simulations import SCENARIOS


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ("span_s = -1.0", "span_s"),
        ("nodes = 3", "nodes"),
        ("[nodes]\ncount = 0", "nodes.count"),
        ("[nodes]\ncuont = 2", "cuont"),
        ("[[hosts]]\nsize = 'big'", "hosts[0].size"),
        ("[links]\neffects = ['twice']", "links.effects[0]"),
        ("[links]\nrate = 0.0", "links.rate"),
        ("[listing]\nsoon_ms = 9.0\nlate_ms = 1.0", "listing.late_ms"),
        ("[[faults]]\nkind = 'flood'\nat_s = 1.0", "faults[0]"),
        ("[[faults]]\nkind = 'kill'\nat_s = 1.0\nnodes = 9", "faults[0].nodes"),
        ("[[faults]]\nkind = 'join'\nat_s = 1.0", "faults[0].hosts"),
        ("[[faults]]\nkind = 'cut'\nat_s = 1.0\nzone = 2", "faults[0].zone"),
        ("x = [", "no TOML"),
    ],
)
def test_a_wrong_scenario_file_gets_one_line_that_names_the_key(
    change: str, key: str, tmp_path: Path
) -> None:
    """Guards against an invalid scenario file that is accepted or gets an error without the key.

    The commands that read scenario files must print a single line and exit with status 2.
    """
    path = tmp_path / "scenario.toml"
    path.write_text(change)
    for command in (["emulate", str(path)], ["sweep", str(path), "--jobs", "1"]):
        result = CliRunner().invoke(cli, command)
        assert result.exit_code == 2
        assert key in result.stderr and result.stderr.count("\n") == 1, result.stderr


def test_the_example_scenarios_are_valid() -> None:
    """Guards against example files that do not follow a change of the format, or differ from their `name`."""
    names = {path.stem: read_scenario_file(path).name for path in SCENARIOS.glob("*.toml")}
    assert len(names) >= 4 and all(stem == name for stem, name in names.items())


@pytest.mark.parametrize(
    ("fault", "key"),
    [
        ({"kind": "part", "nodes": 1, "zone": 0}, "nodes and zone"),
        ({"kind": "part"}, "nodes and zone"),
        ({"kind": "part", "zone": 9}, "zone"),
        ({"kind": "stall", "nodes": 9}, "nodes"),
    ],
)
def test_a_wrong_fault_between_nodes_is_rejected(fault: dict[str, Any], key: str) -> None:
    """Guards against faults that are accepted and can't be played.

    They name both nodes and a zone or neither, affect nodes that do not exist, or need a cluster that is off.
    """
    with pytest.raises(InvalidInputError, match=key):
        parse_scenario({"cluster": {"on": True}, "faults": [{"at_s": 1.0, **fault}]}, "day")
    with pytest.raises(InvalidInputError, match=r"cluster\.on"):
        parse_scenario({"faults": [{"kind": "lossy", "at_s": 1.0}]}, "day")
