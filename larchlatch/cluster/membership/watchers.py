"""Assignment of watchers in a large cluster. No I/O.

Gossiped records are old in a large cluster. So each member sends its records directly to a few others, its
watchers.
"""

from __future__ import annotations

from itertools import islice, zip_longest
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

WATCHERS = 8  # of each member; over all sites, so that each side of a partition has some


class SiteRing(NamedTuple):
    """The members of one site, listed twice so that a turn may run past the end."""

    size: int
    turn: int
    names: list[str]

    def from_index(self, first: int) -> list[str]:
        """Return the members in the turn that starts at this index."""
        return self.names[first : first + self.turn]


def assign_watchers(names: Sequence[str], sites: Mapping[str, str]) -> dict[str, list[str]]:
    """Assign watchers to each member: equally many of each site, in turns that load all of a site equally.

    A member that watched too many others could not report all of them in one record during a partition.

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
    """Return the members that each of these members watches, in the order of the assignment."""
    watched: dict[str, list[str]] = {name: [] for name in names}
    for watched_name, watching in watchers.items():
        for name in watching:
            watched[name].append(watched_name)
    return watched


def _site_rings(names: Sequence[str], sites: Mapping[str, str]) -> list[SiteRing]:
    by_site: dict[str, list[str]] = {}
    for name in names:
        by_site.setdefault(sites.get(name, ""), []).append(name)
    # One more than needed, as the member itself may be among them.
    return [SiteRing(len(own), min(WATCHERS + 1, len(own)), own * 2) for own in by_site.values()]


def _interleave(turns: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the first name of each turn, then the second of each, and so on."""
    for row in zip_longest(*turns):
        yield from (name for name in row if name is not None)
