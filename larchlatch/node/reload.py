"""Reload of the configuration on SIGHUP.

The discovery address is followed at once. Other changes take effect at the next start; the log names them.
"""

from __future__ import annotations

from dataclasses import fields, replace
from typing import TYPE_CHECKING

import structlog

from larchlatch.config.node import NodeConfiguration, read_node_configuration
from larchlatch.errors import InvalidInputError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.metrics import Counters

# Attributes of NodeConfiguration that a running node follows.
RELOADABLE = frozenset({"discovery_address"})
# Attributes that are used at the start alone: a change to them makes no difference while the node runs.
STARTUP_ONLY = frozenset({"seed", "known_endpoints"})

# Counters.
CONFIGURATION_RELOADED = "configuration_reloaded"
CONFIGURATION_REJECTED = "configuration_rejected"

log = structlog.get_logger()


def reload_configuration(
    current: NodeConfiguration, path: Path, discovery: DiscoveryClient, counters: Counters
) -> NodeConfiguration:
    """Read the configuration again, and follow the changes that can be followed.

    Args:
        current: The configuration that the node runs with.
        path: The file to read.
        discovery: Told of a new discovery address.
        counters: Count reloads and rejected files.

    Returns:
        The configuration that the node runs with from now on: the current one where the file is wrong.

    """
    try:
        new = read_node_configuration(path)
    except InvalidInputError as error:
        # A wrong file must not end a node that holds sessions.
        counters.add(CONFIGURATION_REJECTED)
        log.error("configuration_rejected", reason=str(error))  # noqa: TRY400 - the message says all, no traceback
        return current
    counters.add(CONFIGURATION_RELOADED)
    waiting = _changes_that_need_restart(current, new)
    if waiting:
        log.warning("configuration_needs_restart", keys=waiting)
    if new.discovery_address != current.discovery_address:
        discovery.change_address(new.discovery_address)
    log.info("configuration_reloaded", discovery=new.discovery_address)
    return replace(current, discovery_address=new.discovery_address)


def _changes_that_need_restart(current: NodeConfiguration, new: NodeConfiguration) -> list[str]:
    """Return the names of the attributes that differ and are not followed."""
    names = [field.name for field in fields(NodeConfiguration)]
    return [
        name
        for name in names
        if name not in RELOADABLE | STARTUP_ONLY and getattr(new, name) != getattr(current, name)
    ]
