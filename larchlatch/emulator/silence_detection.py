"""Simulates how nodes detect unanswered messages of established sessions, timed as in production nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.policy.types import Outcome
from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.session_table import EstablishedSession

# Times from an unanswered message until its node treats the upstream as unresponsive, and until the node
# migrates the session.
UNRESPONSIVE_AFTER_US = 500_000
MIGRATE_AFTER_US = 1_500_000


class SilenceDetection:
    """Schedules the reactions of nodes to messages of their clients that remain unanswered."""

    def __init__(self, context: SimulationContext) -> None:
        self._context = context

    def begin(
        self, sessions: Iterable[EstablishedSession], is_silent: Callable[[EstablishedSession], bool]
    ) -> None:
        """Schedule the reactions of nodes to a silence of these sessions' upstreams that begins now.

        Args:
            sessions: The established sessions whose messages are not answered any more.
            is_silent: Returns whether a session's messages are still unanswered; called before its migration.

        """
        clock, interval_us = self._context.clock, us(self._context.scenario.sessions.message_interval_s)
        first_message_at: dict[tuple[int, int], int] = {}  # by node and upstream
        for established in sessions:
            record, node = established
            draw = self._context.streams.draw("beat", record.session.number)
            message_at = clock.now + round(interval_us * draw)
            pair = (node.number, _upstream_of(established))
            first_message_at[pair] = min(first_message_at.get(pair, message_at), message_at)
            clock.schedule(
                message_at + MIGRATE_AFTER_US, Priority.TIMER, self._migrate, established, is_silent
            )
        for (node_number, upstream), message_at in first_message_at.items():
            node = self._context.nodes[node_number]
            unresponsive_at = message_at + UNRESPONSIVE_AFTER_US
            clock.schedule(unresponsive_at, Priority.TIMER, self._report_unresponsive, node, upstream)

    def _migrate(
        self, established: EstablishedSession, is_silent: Callable[[EstablishedSession], bool]
    ) -> None:
        attempt, node = established.record.attempt, established.node
        if attempt is not None and attempt.is_live and node.is_alive and is_silent(established):
            node.receive_outcome(attempt, Outcome.RESET)

    def _report_unresponsive(self, node: SimulatedNode, upstream: int) -> None:
        if node.inbox.defer_if_paused(self._report_unresponsive, node, upstream):
            return
        reaches = self._context.topology.reaches(node, self._context.upstreams[upstream])
        if node.is_alive and not reaches:
            node.receive_silence(upstream)


def _upstream_of(established: EstablishedSession) -> int:
    attempt = established.record.attempt
    if attempt is None:
        raise RuntimeError("an established session has no attempt")
    return attempt.upstream
