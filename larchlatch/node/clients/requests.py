"""Checks requests of clients, and makes the records of sessions that are accepted."""

from __future__ import annotations

from enum import StrEnum
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

import anyio
from xxhash import xxh3_64_intdigest

from larchlatch.node.clock import now_us
from larchlatch.node.session_record import SessionRecord
from larchlatch.node.wire.lines import MICROSECONDS_PER_MS
from larchlatch.policy.admission import session_deadline
from larchlatch.policy.types import Session

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.wire.lines import BadLine, Opening


class RejectionReason(StrEnum):
    """Why a request is rejected with an error and without an attempt; the values are parts of counter names.

    The reason for a malformed line is in its `BadLine` instead.
    """

    UNKNOWN_TRAFFIC_CLASS = "unknown_traffic_class"
    UNKNOWN_TENANT = "unknown_tenant"
    ID_IN_USE = "id_in_use"
    MORE_THAN_ONE_LINE = "more_than_one_line"
    LINE_TOO_LONG = "line_too_long"
    NO_LINE_IN_TIME = "no_line_in_time"


class UnreadRequest(NamedTuple):
    """Data that a client had sent before a task was started for its connection.

    Attributes:
        data: the received bytes.
        opening: the parsed request if the data is exactly one complete line, else None.
        received_us: when the data arrived, in microseconds of the node's clock.

    """

    data: bytes
    opening: Opening | BadLine | None
    received_us: int


class SessionIds:
    """The ids of open sessions; only one open session may have a given id.

    Attributes:
        records: the sessions in flight or established here, by the ids that their clients gave.

    """

    def __init__(self) -> None:
        self.records: dict[str, SessionRecord] = {}
        self._reserved: set[str] = set()  # ids of sessions that are in flight at the predecessor

    def is_used(self, session_id: str) -> bool:
        """Return whether a session with this id is open here or at the predecessor."""
        return session_id in self.records or session_id in self._reserved

    def reserve(self, session_ids: Iterable[str]) -> None:
        """Treat ids as in use: the predecessor has sessions with these ids in flight."""
        self._reserved.update(session_ids)

    def release_reserved(self) -> None:
        """Free the reserved ids, as the predecessor has ended."""
        self._reserved.clear()

    def adopt(self, session_id: str) -> None:
        """Free the reserved id of a session that the predecessor hands over."""
        self._reserved.discard(session_id)

    def add(self, record: SessionRecord) -> None:
        """Record that a session with its id is open here."""
        self.records[record.opening.ident] = record

    def remove(self, record: SessionRecord) -> None:
        """Free a session's id, unless a later record uses it.

        Where packets pass through, a session may return to this node while its first record still exists.
        """
        if self.records.get(record.opening.ident) is record:
            del self.records[record.opening.ident]


class RequestChecker:
    """Rejects requests that no upstream could serve, and makes the records of the others.

    Attributes:
        ids: the session ids in use.
        retry_after_us: the wait that is advised to clients that are rejected, in microseconds; 0 for none.

    """

    def __init__(
        self,
        *,
        traffic_classes: Sequence[str],
        tenants: Iterable[str],
        max_deadline_us: int,
        retry_after_us: int,
        lifecycle: LifecycleState,
    ) -> None:
        """Prepare the checks.

        Args:
            traffic_classes: the names of the traffic classes, in the order of their numbers.
            tenants: the names of the tenants; empty if any tenant is accepted.
            max_deadline_us: the longest time that a client may wait, in microseconds.
            retry_after_us: the wait that is advised to clients that are rejected, in microseconds; 0 if they
                follow no advice.
            lifecycle: tells how much time is left before this node stops.

        """
        self.ids = SessionIds()
        self.retry_after_us = retry_after_us
        self._traffic_classes = {name: index for index, name in enumerate(traffic_classes)}
        self._tenants = frozenset(tenants)
        self._max_deadline_us = max_deadline_us
        self._lifecycle = lifecycle
        self._numbers = count()

    def knows_class(self, opening: Opening) -> bool:
        """Return whether the deployment settings define the request's traffic class."""
        return opening.traffic_class in self._traffic_classes

    def rejection_reason(self, opening: Opening) -> RejectionReason | None:
        """Return why a request can't be served, or None."""
        if not self.knows_class(opening):
            return RejectionReason.UNKNOWN_TRAFFIC_CLASS
        if opening.tenant is not None and self._tenants and opening.tenant not in self._tenants:
            return RejectionReason.UNKNOWN_TENANT
        # Upstreams answer the second use of an id with an error, which would count as an upstream failure.
        if self.ids.is_used(opening.ident):
            return RejectionReason.ID_IN_USE
        return None

    def wait_us(self, opening: Opening) -> int:
        """Return how long a client waits for its answer, in microseconds; at most the configured maximum."""
        return min(opening.wait_ms * MICROSECONDS_PER_MS, self._max_deadline_us)

    def deadline(self, opening: Opening, received_us: int) -> int:
        """Return by when a request that was received at `received_us` must be answered, in microseconds."""
        return session_deadline(
            received_us=received_us, wait_us=self.wait_us(opening), node_ends_at=self._node_ends_at()
        )

    def _node_ends_at(self) -> int | None:
        """Return when this node stops, in microseconds of its clock; None if no stop has started."""
        time_left_s = self._lifecycle.time_left_s(anyio.current_time())
        return None if time_left_s is None else now_us() + int(time_left_s * 1e6)

    def make_record(self, opening: Opening, received_us: int) -> SessionRecord:
        """Make the session record of an accepted request."""
        session = Session(
            number=next(self._numbers),
            traffic_class=self._traffic_classes[opening.traffic_class],
            key=xxh3_64_intdigest(opening.key.encode()),
            group=xxh3_64_intdigest(opening.group.encode()) if opening.group else None,
            deadline=self.deadline(opening, received_us),
            mid_flow=opening.mid_flow,
            load=opening.load,
        )
        return SessionRecord(session, opening)
