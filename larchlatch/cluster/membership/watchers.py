"""Assigns watchers to the members of a large cluster. No I/O.

In a large cluster gossiped records are old when they arrive. So each member also sends its records directly
to a few other members, its watchers.
"""

from __future__ import annotations

from itertools import islice, zip_longest
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

WATCHERS = 8  # watchers of each member; taken from all sites, so that each side of a partition has some


class SiteRing(NamedTuple):
    """The members of one site as a ring, from which a run of consecutive members is taken.

    Attributes:
        size: number of members.
        turn: length of a run.
        names: the members, listed twice so that a run may continue past the end.

    """

    size: int
    turn: int
    names: list[str]

    def from_index(self, first: int) -> list[str]:
        """Return the members in the run that starts at this index."""
        return self.names[first : first + self.turn]


def assign_watchers(names: Sequence[str], sites: Mapping[str, str]) -> dict[str, list[str]]:
    """Assign watchers to each member: about as many from each site, spread evenly over the site's members.

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
    """Return for each of `names` the members that it watches, in the order in which they were assigned."""
    watched: dict[str, list[str]] = {name: [] for name in names}
    for watched_name, watching in watchers.items():
        for name in watching:
            watched[name].append(watched_name)
    return watched


def _site_rings(names: Sequence[str], sites: Mapping[str, str]) -> list[SiteRing]:
    by_site: dict[str, list[str]] = {}
    for name in names:
        by_site.setdefault(sites.get(name, ""), []).append(name)
    # One more than the number of watchers, as the watched member itself may be in the run.
    return [SiteRing(len(own), min(WATCHERS + 1, len(own)), own * 2) for own in by_site.values()]


def _interleave(turns: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the first name of each run, then the second of each, and so on."""
    for row in zip_longest(*turns):
        yield from (name for name in row if name is not None)
