"""Reload of the configuration on SIGHUP.

A new discovery address is used at once. Other changes take effect at the next start, and the log names them.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

import structlog

from larchlatch.config.node import FILE_KEYS, NodeConfiguration, read_node_configuration
from larchlatch.errors import InvalidInputError

if TYPE_CHECKING:
    from pathlib import Path

    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.metrics import Counters

# Attributes of NodeConfiguration whose changes take effect in a running node.
RELOADABLE = frozenset({"discovery_address"})
# Attributes that are used only during the start, so that a change to them needs no restart.
STARTUP_ONLY = frozenset({"seed", "known_endpoints"})

log = structlog.get_logger()


class ReloadCounter(StrEnum):
    """Names of the counters of configuration reloads."""

    RELOADED = "configuration_reloaded"
    REJECTED = "configuration_rejected"


def reload_configuration(
    current: NodeConfiguration, path: Path, discovery: DiscoveryClient, counters: Counters
) -> NodeConfiguration:
    """Read the configuration file again and apply the changes that can take effect without a restart.

    Args:
        current: The configuration that the node runs with.
        path: The configuration file.
        discovery: The discovery client, which gets a new discovery address.
        counters: Count reloads and rejected files.

    Returns:
        The configuration that the node runs with from now on: the current one if the file is invalid.

    """
    try:
        new = read_node_configuration(path)
    except InvalidInputError as error:
        counters.add(ReloadCounter.REJECTED)
        log.error("configuration_rejected", reason=str(error))  # noqa: TRY400 - an invalid file needs no traceback
        return current
    counters.add(ReloadCounter.RELOADED)
    keys = _keys_that_need_restart(current=current, new=new)
    if keys:
        log.warning("configuration_needs_restart", keys=keys)
    if new.discovery_address != current.discovery_address:
        discovery.change_address(new.discovery_address)
    log.info("configuration_reloaded", discovery=new.discovery_address)
    return replace(current, discovery_address=new.discovery_address)


def _keys_that_need_restart(*, current: NodeConfiguration, new: NodeConfiguration) -> list[str]:
    """Return the configuration keys whose changed values take effect only after a restart, each key once."""
    changed = {
        key: None
        for attribute, key in FILE_KEYS.items()
        if attribute not in RELOADABLE | STARTUP_ONLY
        and getattr(new, attribute) != getattr(current, attribute)
    }
    return list(changed)
