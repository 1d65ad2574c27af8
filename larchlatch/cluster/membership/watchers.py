"""Who watches whom in a large fleet. No I/O.

In a fleet in which gossiped records are old, a few members watch each member: they hear of it directly.
"""

from __future__ import annotations

from itertools import islice, zip_longest
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

WATCHERS = 8  # of each member, spread over the sites: in a cut both sides have some of them


class SiteRing(NamedTuple):
    """The members of one site, twice over, so that a turn may run past the end."""

    size: int
    turn: int
    names: list[str]

    def from_index(self, first: int) -> list[str]:
        """Return the candidates of one turn, which starts at this index."""
        return self.names[first : first + self.turn]


def assign_watchers(names: Sequence[str], sites: Mapping[str, str]) -> dict[str, list[str]]:
    """Choose the watchers of each member: as many from each site, in turns shared by all of a site alike.

    By the order of names alone some members would come next after many. What they miss in a cut would be
    more than a record holds, and on that side nobody would report some members' deaths.

    Args:
        names: all members in the order of their names.
        sites: the site of each member.

    Returns:
        The names of up to `WATCHERS` watchers for each member.

    """
    rings = _site_rings(names, sites)
    turn_step = -(-WATCHERS // len(rings)) if rings else 0
    watchers: dict[str, list[str]] = {}
    for index, name in enumerate(names):
        turns = [
            [other for other in ring.from_index(index * turn_step % ring.size) if other != name]
            for ring in rings
        ]
        watchers[name] = list(islice(_interleave(turns), WATCHERS))
    return watchers


def invert(watchers: Mapping[str, Sequence[str]], names: Sequence[str]) -> dict[str, list[str]]:
    """Return whom each of these members watches, in the order in which the assignment names them."""
    watched: dict[str, list[str]] = {name: [] for name in names}
    for watched_name, watching in watchers.items():
        for name in watching:
            watched[name].append(watched_name)
    return watched


def _site_rings(names: Sequence[str], sites: Mapping[str, str]) -> list[SiteRing]:
    by_site: dict[str, list[str]] = {}
    for name in names:
        by_site.setdefault(sites.get(name, ""), []).append(name)
    # One more than is wanted, as the member itself may be among them.
    return [SiteRing(len(own), min(WATCHERS + 1, len(own)), own * 2) for own in by_site.values()]


def _interleave(turns: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the first of each turn, then the second of each, and so on."""
    for row in zip_longest(*turns):
        yield from (name for name in row if name is not None)
