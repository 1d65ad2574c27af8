"""Scenario files: read from TOML, with single values changed by their keys, and checked."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from larchlatch.config.toml_file import convert_table, read_toml
from larchlatch.errors import ConfigurationError
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.faults import (
    BETWEEN_NODES,
    AnyFault,
    NodeFault,
    Partition,
    RemoveNode,
    UpstreamJoin,
    ZoneIsolation,
)
from larchlatch.scenario.scenario import Scenario

if TYPE_CHECKING:
    from pathlib import Path

FILE_KIND = "day"  # what messages call the file


def read_scenario_file(path: Path, changes: dict[str, Any] | None = None) -> Scenario:
    """Return the scenario of a file.

    Args:
        path: The file.
        changes: Other values for keys of the file; a key has dots between its parts.

    Raises:
        ConfigurationError: The file can't be read, or holds something that a scenario can't.

    """
    raw = read_toml(path, FILE_KIND)
    for key, value in (changes or {}).items():
        set_by_key(raw, key, value)
    return parse_scenario(raw, FILE_KIND)


def parse_scenario(raw: Any, file_kind: str) -> Scenario:
    """Return a scenario from a file's content.

    Args:
        raw: The content.
        file_kind: What messages call the file.

    Raises:
        ConfigurationError: The content holds something that a scenario can't.

    """
    scenario = convert_table(raw, Scenario, file_kind)
    _check_demand_and_discovery(scenario, file_kind)
    _check_cluster(scenario, file_kind)
    _check_upstreams(scenario, file_kind)
    for place, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"{file_kind}: faults[{place}]")
    return scenario


def _check_demand_and_discovery(scenario: Scenario, file_kind: str) -> None:
    known = {idempotency.value for idempotency in Idempotency}
    for place, effect in enumerate(scenario.sessions.idempotencies):
        if effect not in known:
            raise ConfigurationError(file_kind, f"links.effects[{place}]: no such effect ({effect!r})")
    if scenario.discovery.max_delay_ms < scenario.discovery.min_delay_ms:
        raise ConfigurationError(file_kind, "listing.late_ms: less than listing.soon_ms")


def _check_cluster(scenario: Scenario, file_kind: str) -> None:
    cluster = scenario.cluster
    if cluster.quota_allocator and not (cluster.on and cluster.sessions_per_s):
        raise ConfigurationError(file_kind, "cluster.allot: there is no budget to deal out")
    if cluster.token_issuer and not cluster.on:
        raise ConfigurationError(
            file_kind, "cluster.pace: cluster.on is false: nodes don't talk to each other"
        )
    too_many = cluster.has_roles and cluster.electors > scenario.nodes.count
    if cluster.electors % 2 == 0 or too_many:
        raise ConfigurationError(
            file_kind, f"cluster.electors: an odd number of the nodes ({cluster.electors})"
        )


def _check_upstreams(scenario: Scenario, file_kind: str) -> None:
    for place, group in enumerate(scenario.upstreams):
        if group.absent > group.count:
            raise ConfigurationError(file_kind, f"hosts[{place}].late: more than the hosts there are")


def _check_fault(scenario: Scenario, fault: AnyFault, where: str) -> None:
    upstreams = getattr(fault, "upstreams", 0)
    joins = isinstance(fault, UpstreamJoin)
    if upstreams > (scenario.absent_upstream_count if joins else scenario.upstream_count):
        raise ConfigurationError(f"{where}.hosts", f"more than there are ({upstreams})")
    nodes = _required_nodes(fault)
    if nodes > scenario.nodes.count:
        raise ConfigurationError(f"{where}.nodes", f"more than there are ({nodes})")
    if isinstance(fault, BETWEEN_NODES) and not scenario.cluster.on:
        raise ConfigurationError(where, "cluster.on is false: nodes don't talk to each other")
    if isinstance(fault, Partition) and (fault.nodes > 0) is (fault.zone >= 0):
        raise ConfigurationError(where, "one of nodes and zone says who is cut off")
    if isinstance(fault, Partition | ZoneIsolation) and fault.zone >= scenario.zones:
        raise ConfigurationError(
            f"{where}.zone", f"there are {scenario.zones}, counted from 0 ({fault.zone})"
        )


def _required_nodes(fault: AnyFault) -> int:
    """Return how many nodes a fault must find; a removal takes those that there are."""
    if isinstance(fault, NodeFault | Partition) and not isinstance(fault, RemoveNode):
        return fault.nodes
    return 0


def set_by_key(raw: dict[str, Any], key: str, value: Any) -> None:
    """Change one value of a file's content.

    Args:
        raw: The content.
        key: The value's key, such as `nodes.count` or `hosts.0.size`; tables that lack are made.
        value: The new value.

    Raises:
        ConfigurationError: The key leads through a value, or to an entry that a list lacks.

    """
    table: Any = raw
    *parents, last = re.split(r"[.\[\]]+", key.strip("]"))
    for part in parents:
        is_list = isinstance(table, list)
        table = table[_index(table, part, key)] if is_list else table.setdefault(part, {})
        if not isinstance(table, dict | list):
            raise ConfigurationError(FILE_KIND, f"{key}: {part} is a value by itself")
    if isinstance(table, list):
        table[_index(table, last, key)] = value
    else:
        table[last] = value


def _index(entries: list[Any], part: str, key: str) -> int:
    if not part.isdigit() or int(part) >= len(entries):
        raise ConfigurationError(FILE_KIND, f"{key}: there is no {part}")
    return int(part)
