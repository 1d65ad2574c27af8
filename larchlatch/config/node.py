"""Reads and validates a node's JSON configuration file, and fills in defaults.

No other module reads the keys of that file, apart from `deployment`, which reads the object `settings`,
and `endpoints`, which reads the endpoint list.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import orjson

from larchlatch.config.deployment import Deployment, read_deployment
from larchlatch.config.endpoints import Address, EndpointList, parse_address, parse_endpoint_list
from larchlatch.config.reading import integer_from, optional, required
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.policy.types import DeploymentSettings

WHERE = "configuration"  # how error messages refer to the file
ADMIN_ADDRESS_VARIABLE = "EDGE_CONTROL"

# The key of the file from which each attribute of `NodeConfiguration` is read. For an attribute that depends
# on several keys of an object, this is the key of the object.
FILE_KEYS = {
    "name": "name",
    "listen_address": "listen",
    "discovery_address": "discovery",
    "admin_address": "control",
    "seed": "seed",
    "descriptor_limit": "limits.sockets",
    "known_endpoints": "known",
    "settings": "settings",
    "traffic_class_names": "settings.tariffs",
    "tenants": "settings.tenants",
    "zones": "settings.areas",
    "upstream_settings": "settings",
    "discovery_pushes_changes": "settings.discovery",
    "passes_through": "settings.domain.mode",
    "max_deadline_us": "settings.tariffs",
}

DEFAULT_DESCRIPTOR_LIMIT = 1024  # the usual limit of a process

MAX_QUOTED_CHARACTERS = 40  # an error message quotes at most this much of an invalid seed


@dataclass(frozen=True, slots=True)
class NodeConfiguration:
    """The configuration of one node.

    Attributes:
        name: The node's name, unique in its cluster.
        listen_address: The address on which the node accepts clients.
        discovery_address: The address from which the node fetches the endpoint list.
        admin_address: The address of the admin API; None if the node has no admin API.
        seed: The seed of the node's random number generator.
        descriptor_limit: The largest number of file descriptors that the node may have open.
        known_endpoints: The endpoint list that the node starts with.
        settings: The deployment settings.
        traffic_class_names: Names of the traffic classes, in the order of `settings.traffic_classes`.
        tenants: Names of the tenants that clients belong to.
        zones: Names of the zones; the position of a name is the number by which the balancer knows the zone.
        upstream_settings: The settings for connecting to upstreams and monitoring them.
        discovery_pushes_changes: Whether discovery pushes changes of the endpoint list from the start, rather
            than only after the balancer has polled the list.
        passes_through: Whether packets of established sessions bypass this process, so that the sessions
            outlive it.
        max_deadline_us: The longest deadline of any traffic class, from the arrival of a client's request.

    """

    name: str
    listen_address: Address
    discovery_address: Address
    admin_address: Address | None
    seed: int
    descriptor_limit: int
    known_endpoints: EndpointList
    settings: DeploymentSettings
    traffic_class_names: list[str]
    tenants: list[str]
    zones: list[str]
    upstream_settings: UpstreamSettings
    discovery_pushes_changes: bool
    passes_through: bool
    max_deadline_us: int


def read_node_configuration(path: Path) -> NodeConfiguration:
    """Return the configuration in a file.

    If the file names no address for the admin API, it is taken from the environment variable EDGE_CONTROL.

    Raises:
        InvalidInputError: The file can't be read, or a value in it is missing or invalid.

    """
    try:
        raw = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigurationError(WHERE, f"can't be read ({error.strerror}: {path})") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(WHERE, f"not valid JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ConfigurationError(WHERE, "not an object")
    return parse_node_configuration(raw, os.environ.get(ADMIN_ADDRESS_VARIABLE))


def parse_node_configuration(
    raw: dict[str, Any], default_admin_address: str | None = None
) -> NodeConfiguration:
    """Return the configuration in a JSON object.

    Args:
        raw: The content of the file.
        default_admin_address: The address of the admin API if the object names none.

    Raises:
        InvalidInputError: A value is missing or invalid.

    """
    listen_address = _read_address(raw, "listen")
    deployment = read_deployment(required(raw, "settings", dict, WHERE), "settings")
    settings = deployment.settings
    return NodeConfiguration(
        name=required(raw, "name", str, WHERE),
        listen_address=listen_address,
        discovery_address=_read_address(raw, "discovery"),
        admin_address=_read_admin_address(raw, default_admin_address, listen_address),
        seed=_read_seed(raw),
        descriptor_limit=_read_descriptor_limit(raw),
        known_endpoints=_read_known_endpoints(raw),
        # Over sockets even an overloaded upstream answers messages at once, so that their latency does not
        # show its load.
        settings=replace(settings, reports_delay=False),
        traffic_class_names=deployment.traffic_class_names,
        tenants=deployment.tenants,
        zones=deployment.zones,
        upstream_settings=_upstream_settings(deployment),
        discovery_pushes_changes=not settings.polls_discovery,
        passes_through=deployment.passes_through,
        max_deadline_us=deployment.max_deadline_us,
    )


def _read_address(raw: dict[str, Any], key: str) -> Address:
    return parse_address(required(raw, key, str, WHERE), f"{WHERE}: {key}")


def _read_seed(raw: dict[str, Any]) -> int:
    """Return the seed, which the file gives as a number or as a string of hexadecimal digits."""
    seed = required(raw, "seed", (str, int), WHERE)
    if isinstance(seed, int):
        return seed
    digits = str(seed)
    try:
        return int(digits, 16)
    except ValueError:
        quoted = repr(digits[:MAX_QUOTED_CHARACTERS])
        raise ConfigurationError(WHERE, f"seed is not a hexadecimal number ({quoted})") from None


def _read_admin_address(raw: dict[str, Any], default: str | None, listen_address: Address) -> Address | None:
    """Return the address of the admin API; None if neither the file nor `default` names one."""
    if raw.get("control") is not None:
        text, where = required(raw, "control", str, WHERE), f"{WHERE}: control"
    elif default:
        text, where = default, ADMIN_ADDRESS_VARIABLE
    else:
        return None
    address = parse_address(text, where)
    # For port 0 the operating system chooses a free port, so that the two ports differ.
    if address == listen_address and address[1]:
        raise ConfigurationError(where, f"the address where clients are taken ({text})")
    return address


def _read_descriptor_limit(raw: dict[str, Any]) -> int:
    limits = optional(raw, "limits", dict, WHERE, {})
    if "sockets" not in limits:
        return DEFAULT_DESCRIPTOR_LIMIT
    return integer_from(limits, "sockets", f"{WHERE}: limits", least=1)


def _read_known_endpoints(raw: dict[str, Any]) -> EndpointList:
    """Return the initial endpoint list; an empty list of revision 0 if the file has none."""
    known = raw.get("known")
    if known is None:
        return EndpointList(revision=0, complete=True, endpoints=[])
    return parse_endpoint_list(known, "known")


def _upstream_settings(deployment: Deployment) -> UpstreamSettings:
    settings = deployment.settings
    return UpstreamSettings(
        connect_timeout_us=deployment.connect_timeout_us,
        probes_report_load=settings.probes_report_load,
        reports_delay=settings.reports_delay,
        strictest_message_objective_us=settings.message_objective_us,
    )
