"""Tests that the deploy file lists exactly the modules of the policy that make decisions.

A deciding module missing from the file, or a decision made in another module, would otherwise go unnoticed.
"""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
POLICY = ROOT / "larchlatch" / "policy"

# Modules of the package that hold no thresholds and make no choices.
SUPPORTING = {
    "__init__.py",
    "driver.py",
    "state_export.py",
    "status.py",
    "structures.py",
    "types.py",
    "upstream.py",
}


def deciding_modules() -> list[str]:
    """Return the paths under the key `policy` of the deploy file."""
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return list(deployment["policy"])


def imported_policy_modules(path: Path) -> set[str]:
    """Return the modules of `larchlatch.policy` that a module imports."""
    modules = set()
    for statement in ast.walk(ast.parse(path.read_text())):
        if isinstance(statement, ast.ImportFrom) and statement.module == "larchlatch.policy":
            modules |= {f"{alias.name}.py" for alias in statement.names}
        elif isinstance(statement, ast.ImportFrom) and str(statement.module).startswith("larchlatch.policy."):
            modules.add(f"{str(statement.module).removeprefix('larchlatch.policy.')}.py")
        elif isinstance(statement, ast.Import):
            prefix = "larchlatch.policy."
            names = [alias.name for alias in statement.names if alias.name.startswith(prefix)]
            modules |= {f"{name.removeprefix(prefix)}.py" for name in names}
    return modules


def test_deploy_file_names_every_deciding_module_once() -> None:
    named = deciding_modules()
    expected = {path.name for path in POLICY.glob("*.py")} - SUPPORTING
    assert len(named) == len(set(named))
    assert {f"larchlatch/policy/{name}" for name in expected} == set(named)


def test_supporting_modules_exist() -> None:
    assert {path.name for path in POLICY.glob("*.py")} >= SUPPORTING


@pytest.mark.parametrize("package", ["node", "simulator_adapter"])
def test_node_and_adapter_import_only_deciding_or_supporting_modules(package: str) -> None:
    known = SUPPORTING | {Path(path).name for path in deciding_modules()}
    for path in sorted((ROOT / "larchlatch" / package).rglob("*.py")):
        assert imported_policy_modules(path) <= known, path


def test_only_balancer_actor_and_runtime_import_placement_modules() -> None:
    """The client side may import only pure modules: admission, the advised wait of `retries`, and types."""
    allowed = SUPPORTING | {"admission.py", "retries.py"}
    node = ROOT / "larchlatch" / "node"
    for path in sorted(node.rglob("*.py")):
        if path not in (node / "balancer_actor.py", node / "runtime.py"):
            assert imported_policy_modules(path) <= allowed, path
