"""Tests that the imports follow the layers of docs/architecture.md, and that the check finds violations."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
LINT = Path(sys.executable).parent / "lint-imports"


def run_lint_imports(root: Path) -> subprocess.CompletedProcess[str]:
    """Check the import contract of the project in this folder."""
    return subprocess.run([LINT, "--no-cache"], cwd=root, capture_output=True, text=True)


def test_imports_follow_the_layers() -> None:
    result = run_lint_imports(ROOT)
    assert result.returncode == 0, result.stdout


@pytest.mark.parametrize(
    ("module", "imported"),
    [
        ("policy/driver.py", "larchlatch.node.clock"),
        ("config/toml_file.py", "larchlatch.node.clock"),
        ("node/clock.py", "larchlatch.cluster.service"),
        ("cluster/quota/account.py", "larchlatch.node.clock"),
        ("node/relay.py", "larchlatch.policy.balancer"),
        ("node/relay.py", "larchlatch.policy.placement"),
        ("invariants/single_leader.py", "larchlatch.cluster.election.fencing"),
        ("invariants/quota_safety.py", "larchlatch.policy.types"),
        ("scenario/faults.py", "larchlatch.invariants.single_leader"),
        ("simulator_adapter/protocol.py", "larchlatch.node.clock"),
    ],
)
def test_an_import_that_violates_the_layers_is_found(module: str, imported: str, tmp_path: Path) -> None:
    shutil.copytree(
        ROOT / "larchlatch", tmp_path / "larchlatch", ignore=shutil.ignore_patterns("__pycache__")
    )
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    path = tmp_path / "larchlatch" / module
    path.write_text(path.read_text() + f"\nimport {imported}\n")
    result = run_lint_imports(tmp_path)
    assert result.returncode == 1, result.stdout
    assert imported in result.stdout
