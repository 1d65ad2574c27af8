"""Guard against requests that come twice or late. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection


class RequestAge(NamedTuple):
    """Order of a member's requests: by its life, then by number."""

    incarnation: int
    number: int


NO_REQUEST = RequestAge(-1, -1)  # older than any


class ReplayGuard:
    """Remembers each member's newest request; only a newer one is answered."""

    def __init__(self) -> None:
        self._newest: dict[str, RequestAge] = {}

    def is_new(self, sender: str, age: RequestAge) -> bool:
        """Return whether a request is newer than all that were recorded of its sender."""
        return age > self._newest.get(sender, NO_REQUEST)

    def record(self, sender: str, age: RequestAge) -> None:
        """Remember a request that is answered now."""
        self._newest[sender] = age

    def keep_only(self, names: Collection[str]) -> None:
        """Forget members that are gone."""
        self._newest = {name: age for name, age in self._newest.items() if name in names}
