"""Handles signals: SIGTERM and SIGINT stop the node, SIGHUP reloads its files, SIGUSR1 logs its state."""

from __future__ import annotations

import signal
from dataclasses import asdict
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.reload import reload_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.components import NodeComponents

SIGNAL_FAILED = "signal_handling_failed"  # counter and log event of a fault in the handling of a signal

log = structlog.get_logger()


class SignalHandler:
    """Handles the signals of a node one after the other."""

    def __init__(
        self,
        configuration: NodeConfiguration,
        path: Path,
        components: NodeComponents,
    ) -> None:
        self._configuration = configuration  # that is in force; a reload replaces it
        self._configuration_path = path  # of the configuration file
        self._components = components

    async def run(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Handle signals until cancelled; a fault in the handling of one ends it alone."""
        counters = self._components.counters
        async for signal_number in signals:
            with FaultBarrier(
                counters, counter=SIGNAL_FAILED, event=SIGNAL_FAILED, signal=signal_number.name
            ):
                self._handle(signal_number)

    def _handle(self, signal_number: signal.Signals) -> None:
        if signal_number == signal.SIGHUP:
            self._reload()
            return
        # The stop comes first, so that a fault in the rest can't prevent it.
        if signal_number != signal.SIGUSR1:
            self._begin_stop()
        log.info("counters", **self._components.figures())
        if signal_number == signal.SIGUSR1:
            self._log_status()

    def _reload(self) -> None:
        components = self._components
        self._configuration = reload_configuration(
            self._configuration, self._configuration_path, components.discovery, components.counters
        )
        if components.cluster is not None:
            components.cluster.reload()

    def _log_status(self) -> None:
        for upstream in self._components.balancer_actor.upstream_rows():
            log.info("upstream_status", **asdict(upstream))
        cluster = self._components.cluster
        if cluster is None:
            return
        for member in cluster.member_rows():
            log.info("member_status", **member)
        for quota in cluster.quota_rows():
            log.info("quota_status", **quota)
        for role in cluster.role_rows():
            log.info("role_status", **role)

    def _begin_stop(self) -> None:
        components = self._components
        if components.lifecycle.stopping:
            return
        components.lifecycle.start_stop(anyio.current_time())
        components.stop_requested.set()
        if components.cluster is not None:
            components.cluster.resign()
