"""Answers the clients that are accepted while no descriptor is free for their sessions."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from larchlatch.node.rejection_reserve import RejectionReserve, WaitingClient
from larchlatch.node.wire import lines
from larchlatch.node.wire.stream import Ending, LineConnection

if TYPE_CHECKING:
    from larchlatch.node.clients.requests import RequestChecker
    from larchlatch.node.metrics import Counters

REQUEST_TIMEOUT_S = 0.5  # for the client's request; after it the client is answered without one
LINGER_S = 0.02  # wait for the client's end after its answer; short, as few descriptors are reserved


class RejecterCounter(StrEnum):
    """Names of the counters of clients that are rejected for want of descriptors."""

    SHED = "requests_shed_without_descriptor"
    INVALID = "request_rejected_without_descriptor"  # with an error, as the request is invalid
    PING_DENIED = "ping_denied_without_descriptor"


class ClientRejecter:
    """Rejects clients over connections that use descriptors of the reserve.

    A request that was never forwarded may always be rejected, so each client gets its answer: `BUSY`, or
    `ERR` for an invalid request. A front's `PING` is answered `NO`, so that it uses other nodes.
    """

    def __init__(self, requests: RequestChecker, reserve: RejectionReserve, counters: Counters) -> None:
        self._requests = requests
        self._reserve = reserve
        self._counters = counters

    async def reject(self, client: LineConnection) -> None:
        """Wait for a client's request, answer it, and end the connection."""
        request = await self._request(client)
        if request is Ending.END or request is Ending.RESET:
            return
        await client.send(self._answer_to(request))
        await client.finish(Ending.END, LINGER_S)

    async def _request(self, client: LineConnection) -> bytes | Ending | None:
        """Return the client's request line, or how the connection ended; None if none came in time."""
        with anyio.move_on_after(REQUEST_TIMEOUT_S) as scope:
            waiting = WaitingClient(scope.cancel)
            self._reserve.add_waiting(waiting)
            try:
                while (line := await client.line()) == lines.PING:
                    self._counters.add(RejecterCounter.PING_DENIED)
                    await client.send(lines.NO)
                return line
            finally:
                self._reserve.remove_waiting(waiting)
        return None

    def _answer_to(self, request: bytes | Ending | None) -> bytes:
        # Without a line, the client's request may be in transit. `BUSY` answers it.
        if request is None or (isinstance(request, bytes) and self._is_valid(request)):
            self._counters.add(RejecterCounter.SHED)
            return lines.shed_line(self._requests.retry_after_us)
        self._counters.add(RejecterCounter.INVALID)
        return lines.FAILED

    def _is_valid(self, line: bytes) -> bool:
        opening = lines.parse_opening(line)
        return isinstance(opening, lines.Opening) and self._requests.rejection_reason(opening) is None
