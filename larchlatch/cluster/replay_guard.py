"""Protects against requests that are received twice or out of order. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from larchlatch.cluster.protocol.messages import Request


class RequestPosition(NamedTuple):
    """The place of a request among those of its sender: by incarnation, then by number."""

    incarnation: int
    number: int


NO_REQUEST = RequestPosition(-1, -1)  # older than any request


class ReplayGuard:
    """Records the newest request of each member, so that only newer ones are answered."""

    def __init__(self) -> None:
        self._newest: dict[str, RequestPosition] = {}

    def is_new(self, request: Request) -> bool:
        """Return whether a request is newer than all recorded requests of its sender."""
        return _position(request) > self._newest.get(request.sender, NO_REQUEST)

    def record(self, request: Request) -> None:
        """Record a request, so that neither it nor an earlier one of its sender is new from now on."""
        self._newest[request.sender] = _position(request)

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the requests of all members but these."""
        self._newest = {name: position for name, position in self._newest.items() if name in names}


def _position(request: Request) -> RequestPosition:
    return RequestPosition(request.incarnation, request.request_id)
