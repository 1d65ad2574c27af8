"""Guard against requests that come twice or late. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from larchlatch.cluster.protocol.messages import LoanRequest, TokenRequest


class RequestAge(NamedTuple):
    """Order of a member's requests: by its life, then by number."""

    incarnation: int
    number: int


NO_REQUEST = RequestAge(-1, -1)  # older than any


class ReplayGuard:
    """Remembers each member's newest request; only a newer one is answered."""

    def __init__(self) -> None:
        self._newest: dict[str, RequestAge] = {}

    def is_new(self, request: LoanRequest | TokenRequest) -> bool:
        """Return whether a request is newer than all that were recorded of its sender."""
        return _age(request) > self._newest.get(request.sender, NO_REQUEST)

    def record(self, request: LoanRequest | TokenRequest) -> None:
        """Remember a request that is answered now."""
        self._newest[request.sender] = _age(request)

    def keep_only(self, names: Collection[str]) -> None:
        """Forget members that are gone."""
        self._newest = {name: age for name, age in self._newest.items() if name in names}


def _age(request: LoanRequest | TokenRequest) -> RequestAge:
    return RequestAge(request.incarnation, request.request_id)
