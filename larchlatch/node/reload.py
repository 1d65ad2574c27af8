"""A new configuration while the node runs: what it can follow it follows, and says what wants a restart."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import TYPE_CHECKING

import structlog

from larchlatch.config.node import Plan, plan_of
from larchlatch.errors import InvalidInputError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.metrics import Counters

FOLLOWED = ("discovery",)
AT_START = ("seed", "known")  # read at the start alone: new ones change nothing later

log = structlog.get_logger()


def reread(plan: Plan, path: Path, discovery: DiscoveryClient, counters: Counters) -> Plan:
    """What the node goes on with."""
    try:
        new = plan_of(path)
    except InvalidInputError as error:
        # A faulty file must not end a node that holds links: it goes on with what it has.
        counters.add("configuration refused")
        log.error("configuration refused", why=str(error))
        return plan
    counters.add("configuration read")
    names = [field.name for field in fields(Plan) if field.name not in FOLLOWED + AT_START]
    later = [name for name in names if getattr(new, name) != getattr(plan, name)]
    if later:
        log.warning("changes that want a restart", keys=later)
    if new.discovery != plan.discovery:
        discovery.change_address(new.discovery)
    log.info("configuration read", discovery=new.discovery)
    return replace(plan, discovery=new.discovery)
