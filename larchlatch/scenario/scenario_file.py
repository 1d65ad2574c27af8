"""Reads scenario files (TOML), replaces single values in them, and checks the result."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from larchlatch.config.toml_file import convert_table, read_toml
from larchlatch.errors import ConfigurationError
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.faults import (
    CLUSTER_FAULTS,
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

FILE_KIND = "day"  # what error messages call the file


def read_scenario_file(path: Path, changes: dict[str, Any] | None = None) -> Scenario:
    """Return the scenario that a file describes.

    Args:
        path: The path of the file.
        changes: Values that replace those of the file, by keys such as `nodes.count`.

    Raises:
        ConfigurationError: The file can't be read or is invalid; the message names the key.

    """
    raw = read_toml(path, FILE_KIND)
    for key, value in (changes or {}).items():
        set_by_key(raw, key, value)
    return parse_scenario(raw, FILE_KIND)


def parse_scenario(raw: Any, file_kind: str) -> Scenario:
    """Return the scenario that the content of a file describes.

    Args:
        raw: The content.
        file_kind: What error messages call the file.

    Raises:
        ConfigurationError: The content is invalid; the message names the key.

    """
    scenario = convert_table(raw, Scenario, file_kind)
    _check_demand_and_discovery(scenario, file_kind)
    _check_cluster(scenario, file_kind)
    _check_upstreams(scenario, file_kind)
    for index, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"{file_kind}: faults[{index}]")
    return scenario


def _check_demand_and_discovery(scenario: Scenario, file_kind: str) -> None:
    known = {idempotency.value for idempotency in Idempotency}
    for index, value in enumerate(scenario.sessions.idempotencies):
        if value not in known:
            raise ConfigurationError(file_kind, f"links.effects[{index}]: not a known effect ({value!r})")
    if scenario.discovery.max_delay_ms < scenario.discovery.min_delay_ms:
        raise ConfigurationError(file_kind, "listing.late_ms: must not be less than listing.soon_ms")


def _check_cluster(scenario: Scenario, file_kind: str) -> None:
    cluster = scenario.cluster
    if cluster.quota_allocator and not (cluster.on and cluster.sessions_per_s):
        raise ConfigurationError(
            file_kind, "cluster.allot: requires cluster.on, and cluster.links_per_s above 0"
        )
    if cluster.token_issuer and not cluster.on:
        raise ConfigurationError(file_kind, "cluster.pace: requires cluster.on")
    too_many = cluster.has_roles and cluster.electors > scenario.nodes.count
    if cluster.electors % 2 == 0 or too_many:
        raise ConfigurationError(
            file_kind, f"cluster.electors: must be odd and at most nodes.count ({cluster.electors})"
        )


def _check_upstreams(scenario: Scenario, file_kind: str) -> None:
    for index, group in enumerate(scenario.upstreams):
        if group.absent > group.count:
            raise ConfigurationError(
                file_kind, f"hosts[{index}].late: must not exceed the count of these hosts"
            )


def _check_fault(scenario: Scenario, fault: AnyFault, where: str) -> None:
    upstreams = getattr(fault, "upstreams", 0)
    joins = isinstance(fault, UpstreamJoin)
    if upstreams > (scenario.absent_upstream_count if joins else scenario.upstream_count):
        raise ConfigurationError(
            f"{where}.hosts", f"the scenario has fewer hosts for this kind of fault ({upstreams})"
        )
    nodes = _required_nodes(fault)
    if nodes > scenario.nodes.count:
        raise ConfigurationError(f"{where}.nodes", f"the scenario has fewer nodes ({nodes})")
    if isinstance(fault, CLUSTER_FAULTS) and not scenario.cluster.on:
        raise ConfigurationError(where, "this kind of fault requires cluster.on")
    if isinstance(fault, Partition) and (fault.nodes > 0) is (fault.zone >= 0):
        raise ConfigurationError(where, "exactly one of nodes and zone must be given")
    if isinstance(fault, Partition | ZoneIsolation) and fault.zone >= scenario.zones:
        raise ConfigurationError(
            f"{where}.zone", f"must be less than zones, which is {scenario.zones} ({fault.zone})"
        )


def _required_nodes(fault: AnyFault) -> int:
    """Return the number of nodes that a scenario must have for a fault; `RemoveNode` accepts any number."""
    if isinstance(fault, NodeFault | Partition) and not isinstance(fault, RemoveNode):
        return fault.nodes
    return 0


def set_by_key(raw: dict[str, Any], key: str, value: Any) -> None:
    """Set one value in the content of a scenario file.

    Args:
        raw: The content.
        key: The key of the value, such as `nodes.count` or `hosts.0.size`; missing tables are created.
        value: The new value.

    Raises:
        ConfigurationError: A part of the key is neither a table nor a list, or is no index of its list.

    """
    table: Any = raw
    *parents, last = re.split(r"[.\[\]]+", key.strip("]"))
    for part in parents:
        is_list = isinstance(table, list)
        table = table[_index(table, part, key)] if is_list else table.setdefault(part, {})
        if not isinstance(table, dict | list):
            raise ConfigurationError(FILE_KIND, f"{key}: {part} is neither a table nor a list")
    if isinstance(table, list):
        table[_index(table, last, key)] = value
    else:
        table[last] = value


def _index(entries: list[Any], part: str, key: str) -> int:
    if not part.isdigit() or int(part) >= len(entries):
        raise ConfigurationError(FILE_KIND, f"{key}: the list has no entry {part}")
    return int(part)
