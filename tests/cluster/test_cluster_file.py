"""Checks of the cluster file, secret keys of nodes, and the commands that check a file and create a key."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.cluster.cluster_file import check_traffic_classes, check_transition, parse_cluster
from larchlatch.cluster.keys import create_secret, own_signer, read_secret
from larchlatch.cluster.protocol.signing import parse_signer
from larchlatch.errors import InvalidInputError
from tests.support.cluster import (
    ENTRY,
    KEYS,
    OTHER,
    SECRETS,
    cluster_with_electors,
)


def cluster_table(**changes: Any) -> dict[str, Any]:
    return {"nodes": [ENTRY, OTHER], **changes}


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        ({"nodes": []}, "nodes"),
        ({"nodez": 1}, "nodez"),
        ({"beat_ms": 1}, "beat_ms"),
        ({"nodes": [{"name": "a", "address": "x", "key": KEYS["a"].hex()}]}, "nodes[0].address"),
        ({"nodes": [{**ENTRY, "address": "h:0"}]}, "nodes[0].address"),
        ({"nodes": [{"name": "a", "address": "h:1", "key": "zz"}]}, "nodes[0].key"),
        ({"nodes": [ENTRY, {**OTHER, "name": "a"}]}, "nodes[1].name"),
        (
            {"nodes": [ENTRY, {**OTHER, "address": "10.0.0.1:7400"}]},
            "nodes[1].address",
        ),
        ({"nodes": [ENTRY, {**OTHER, "key": KEYS["a"].hex()}]}, "nodes[1].key"),
    ],
)
def test_error_for_invalid_file_is_one_line_that_names_the_key(
    change: dict[str, Any], expected_key: str
) -> None:
    """An error that does not name the key in one line would leave operators to search the file for it."""
    with pytest.raises(InvalidInputError) as error:
        parse_cluster(cluster_table(**change), "cluster")
    assert expected_key in str(error.value) and "\n" not in str(error.value)


def test_secret_key_is_created_privately_and_checked_against_the_cluster_file(tmp_path: Path) -> None:
    """With a wrong secret key a node must not start: the other nodes would drop all its messages."""
    public_key = create_secret(tmp_path / "a.key")
    secret = read_secret(tmp_path / "a.key")
    assert (tmp_path / "a.key").stat().st_mode & 0o077 == 0, "only the owner may read the secret key"
    signer = parse_signer(secret)
    assert signer is not None and signer.public_key.hex() == public_key
    with pytest.raises(InvalidInputError, match="can't be written"):
        create_secret(tmp_path / "a.key")
    cluster = parse_cluster(cluster_table(), "cluster")
    assert own_signer(cluster, "a", SECRETS["a"].hex()).public_key == KEYS["a"]
    for name, key_text, reason in (
        ("x", SECRETS["a"].hex(), "not among"),
        ("a", secret, "not the one"),
        ("a", "q", "32"),
    ):
        with pytest.raises(InvalidInputError, match=reason):
            own_signer(cluster, name, key_text)


def test_example_file_is_valid_and_cluster_key_prints_a_public_key(tmp_path: Path) -> None:
    """An example file or a printed public key that is invalid would stop operators who copy it."""
    example = Path(__file__).parents[2] / "deploy" / "cluster.example.toml"
    result = CliRunner().invoke(cli, ["check", "--cluster", str(example)])
    assert result.exit_code == 0 and "3 nodes" in result.stdout
    result = CliRunner().invoke(cli, ["cluster-key", "--out", str(tmp_path / "k")])
    assert result.exit_code == 0 and len(result.stdout.strip()) == 64


def test_node_without_a_cluster_imports_no_cluster_module() -> None:
    """An import of the cluster at the top of a module would require its libraries on every node."""
    code = "import sys, larchlatch.__main__; print([m for m in sys.modules if 'cluster' in m or m == 'nacl'])"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env={**os.environ})
    assert process.stdout.strip() == "[]", process.stderr


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        ({"floor": 2}, "floor"),
        ({"term_ms": 500, "budgets": [{"name": "x", "links_per_s": 9, "tariffs": ["t"]}]}, "term_ms"),
        ({"budgets": [{"name": "x", "links_per_s": 0.5, "tariffs": ["t"]}]}, "budgets[0].links_per_s"),
        ({"budgets": [{"name": "x", "links_per_s": 9, "tariffs": []}]}, "budgets[0].tariffs"),
        ({"budgets": [{"name": n, "links_per_s": 9, "tariffs": ["t"]} for n in "xy"]}, "budgets[1].tariffs"),
        ({"budgets": [{"name": "x", "links_per_s": 9, "tariffs": [t]} for t in "tu"]}, "budgets[1].name"),
    ],
)
def test_wrong_quota_is_rejected_with_its_key(change: dict[str, Any], expected_key: str) -> None:
    """The nodes could not apply a quota below one session per window, or two for one traffic class."""
    with pytest.raises(InvalidInputError) as error:
        parse_cluster({"nodes": [ENTRY, OTHER], **change}, "cluster")
    assert expected_key in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        ({"electors": ["n0", "n1"]}, "electors"),
        ({"electors": ["n0", "n1", "n2", "n3"]}, "electors"),
        ({"electors": ["n0", "n1", "nobody"]}, "electors[2]"),
        ({"electors": ["n0", "n1", "n0"]}, "electors[2]"),
        ({"electors": ["n0", "n1", "n2"], "term_ms": 600}, "term_ms"),
        ({"electors": ["n0", "n1", "n2"], "allot": True}, "allot"),
    ],
)
def test_wrong_duties_table_is_rejected_with_its_key(change: dict[str, Any], expected_key: str) -> None:
    """With invalid electors or a term too short for renewal, a role could have no holder or two."""
    nodes = [{"name": f"n{n}", "address": f"127.0.0.1:{7000 + n}", "key": f"{n:02x}" * 32} for n in range(4)]
    with pytest.raises(InvalidInputError) as error:
        parse_cluster({"nodes": nodes, "duties": change}, "cluster")
    assert expected_key in str(error.value) and "\n" not in str(error.value)


def test_file_that_a_running_node_can_not_apply_is_rejected_with_its_key() -> None:
    """If two electors changed at once, majorities before and after could elect two holders of one role."""
    before = cluster_with_electors("n0", "n1", "n2")
    check_transition(cluster_with_electors("n0", "n1", "n3"), before=before)
    with pytest.raises(InvalidInputError, match=r"duties\.electors.*n1, n2, n3, n4"):
        check_transition(cluster_with_electors("n0", "n3", "n4"), before=before)
    check_traffic_classes(before, ["student", "parent"])
    with pytest.raises(InvalidInputError, match=r"all.*student"):
        check_traffic_classes(before, ["parent"])
