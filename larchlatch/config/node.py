"""The node's configuration: read, checked and given its defaults here, and nowhere else."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import orjson

from larchlatch.config.deployment import maybe, need, read_deployment_settings, whole
from larchlatch.config.endpoints import EndpointList, address_of, endpoint_list_of
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.policy.types import DeploymentSettings

DIAL_US = 250_000  # where the settings name no time for connecting
CONTROL = "EDGE_CONTROL"  # in the environment: the door's address where the configuration names none
SOCKETS = 1024  # where no limit is named: what most systems grant a process


@dataclass(frozen=True, slots=True)
class Plan:
    """What this node is to do, and with what."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    control: tuple[str, int] | None  # where operators call; None: no door
    seed: int
    sockets: int
    known: EndpointList
    settings: DeploymentSettings
    traffic_classes: list[str]
    tenants: list[str]
    zones: list[str]
    reach: UpstreamSettings
    pushed: bool  # changes of the list are followed from the start
    passes_through: bool  # a standing link outlives this node
    longest_wait_us: int  # the longest cut-off of any tariff


def plan_of(path: Path) -> Plan:
    try:
        raw = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigurationError("configuration", f"can't be read ({error.strerror}: {path})") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError("configuration", f"no JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ConfigurationError("configuration", "not an object")
    return plan_from(raw, os.environ.get(CONTROL))


def plan_from(raw: dict[str, Any], control: str | None = None) -> Plan:
    """The plan; control: where the operators' door is where the configuration does not say."""
    top = "configuration"
    listen = address_of(need(raw, "listen", str, top), f"{top}: listen")
    raw_settings = need(raw, "settings", dict, top)
    # On sockets nobody tells the delay that a host's load makes: it answers lines at once as long as it runs.
    settings = replace(read_deployment_settings(raw_settings, "settings"), reports_delay=False)
    domain = maybe(raw_settings, "domain", dict, "settings", {})
    seed = need(raw, "seed", (str, int), top)
    try:
        number = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise ConfigurationError(top, f"seed is no hexadecimal number ({seed[:40]!r})") from None
    limits = maybe(raw, "limits", dict, top, {})
    known = raw.get("known")
    return Plan(
        name=need(raw, "name", str, top),
        listen=listen,
        discovery=address_of(need(raw, "discovery", str, top), f"{top}: discovery"),
        control=control_of(raw, control, listen),
        seed=number,
        sockets=need(limits, "sockets", int, f"{top}: limits") if "sockets" in limits else SOCKETS,
        known=endpoint_list_of(known, "known") if known is not None else EndpointList(0, True, []),
        settings=settings,
        traffic_classes=names_of(raw_settings["tariffs"], "tariffs"),
        tenants=names_of(maybe(raw_settings, "tenants", list, "settings", []), "tenants"),
        zones=[str(zone) for zone in raw_settings["areas"]],
        reach=UpstreamSettings(
            dial_us=whole(raw_settings["caps"], "dial_timeout_us", "settings.caps", DIAL_US) or DIAL_US,
            probes_report_load=settings.probes_report_load,
            tells_delay=bool(domain.get("tells_delay")),
            strictest_us=min(
                (t.message_objective_us for t in settings.traffic_classes if t.message_objective_us),
                default=0,
            ),
        ),
        pushed=not settings.polls_discovery,
        passes_through=domain.get("mode") == "pass",
        longest_wait_us=max(
            (
                whole(entry, "cut_off_us", f"settings.tariffs[{place}]")
                for place, entry in enumerate(raw_settings["tariffs"])
            ),
            default=0,
        ),
    )


def control_of(raw: dict[str, Any], named: str | None, listen: tuple[str, int]) -> tuple[str, int] | None:
    top = "configuration: control"
    if raw.get("control") is not None:
        text = need(raw, "control", str, "configuration")
    elif named:
        text, top = named, CONTROL
    else:
        return None
    address = address_of(text, top)
    if address == listen and address[1]:
        raise ConfigurationError(top, f"the address where clients are taken ({text})")
    return address


def names_of(rows: Any, item: str) -> list[str]:
    names = []
    for place, row in enumerate(rows):
        where = f"settings.{item}[{place}]"
        if not isinstance(row, dict):
            raise ConfigurationError(where, "not an object")
        names.append(need(row, "name", str, where))
    return names
