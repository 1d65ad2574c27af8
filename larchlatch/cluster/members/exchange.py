"""What a node makes of datagrams, and what it sends: members, keys and wire put together. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from larchlatch.cluster.members.members import Change, Members
from larchlatch.cluster.wire.datagrams import Signed, Unread, body_of, datagram_of, read, record_of


class Sealing(Protocol):
    def sign(self, body: bytes) -> bytes: ...


class Checking(Protocol):
    def holds(self, key: bytes, body: bytes, signature: bytes) -> bool: ...


class Beat(NamedTuple):
    """What falls due: who has fallen silent, and what goes to whom."""

    changes: list[Change]
    datagrams: list[tuple[str, bytes]]


class Exchange:
    def __init__(
        self,
        members: Members,
        keys: Mapping[str, bytes],
        seal: Sealing,
        checks: Checking,
        count: Callable[[str], None],
    ) -> None:
        self.members = members
        self.keys = keys
        self.seal = seal
        self.checks = checks
        self.count = count
        self.foreign: int | None = None  # the version that was first met and is not spoken here

    def take(self, data: bytes, wall: int) -> list[Change]:
        """One datagram; what can't be used is dropped and counted by cause."""
        found = read(data)
        if isinstance(found, Unread):
            self.dropped(found)
            if found is Unread.VERSION and self.foreign is None:
                self.foreign = data[0]
            return []
        changes: list[Change] = []
        for place, signed in enumerate(found):
            record = record_of(signed.body)
            if record is None:
                self.dropped(Unread.FORM)
                break
            news = self.members.news(record, wall)
            if isinstance(news, Unread):
                self.dropped(news)
            elif not news:
                self.count("cluster: record known")
            elif not self.checks.holds(self.keys[record.name], signed.body, signed.signature):
                # Whoever sends this is no member, or broken: the rest of it is worth no further check.
                self.dropped(Unread.SIGNATURE)
                break
            else:
                self.count("cluster: record heard")
                change = self.members.heard(record, signed, direct=place == 0)
                if change is not None:
                    changes.append(change)
        return changes

    def dropped(self, why: Unread) -> None:
        self.count(f"cluster: dropped, {why.value}")

    def beat(self, now: int, wall: int) -> Beat:
        changes = self.members.look(now)
        body = body_of(self.members.own(wall))
        own = Signed(body, self.seal.sign(body))
        names = self.members.targets()
        return Beat(changes, [(name, datagram_of(self.members.passed_on(own))) for name in names])
