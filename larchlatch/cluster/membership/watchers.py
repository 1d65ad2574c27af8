"""Assigns watchers to the members of a large cluster. No I/O.

In a large cluster gossiped records are old when they arrive. So each member also sends its records directly
to a few other members, its watchers.
"""

from __future__ import annotations

from itertools import islice, zip_longest
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

WATCHERS_PER_MEMBER = 8  # taken from all sites, so that each side of a partition has some


class SiteRing(NamedTuple):
    """The members of one site as a ring, from which a run of consecutive members is taken.

    Attributes:
        size: number of members.
        run_length: number of consecutive members in a run.
        names: the members, listed twice so that a run may continue past the end.

    """

    size: int
    run_length: int
    names: list[str]

    def run_from(self, first: int) -> list[str]:
        """Return the members in the run that starts at this index."""
        return self.names[first : first + self.run_length]


def assign_watchers(names: Sequence[str], sites: Mapping[str, str]) -> dict[str, list[str]]:
    """Assign watchers to each member: about as many from each site, spread evenly over the site's members.

    A member that watched too many others could not report all of them in one record during a partition.

    Args:
        names: all members in the order of their names.
        sites: the site of each member.

    Returns:
        The names of up to `WATCHERS_PER_MEMBER` watchers for each member.

    """
    rings = _site_rings(names, sites)
    run_step = -(-WATCHERS_PER_MEMBER // len(rings)) if rings else 0
    watchers: dict[str, list[str]] = {}
    for index, name in enumerate(names):
        runs = [
            [other for other in ring.run_from(index * run_step % ring.size) if other != name]
            for ring in rings
        ]
        watchers[name] = list(islice(_interleave(runs), WATCHERS_PER_MEMBER))
    return watchers


def members_by_watcher(watchers: Mapping[str, Sequence[str]], names: Sequence[str]) -> dict[str, list[str]]:
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
    return [
        SiteRing(len(site_names), min(WATCHERS_PER_MEMBER + 1, len(site_names)), site_names * 2)
        for site_names in by_site.values()
    ]


def _interleave(runs: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the first name of each run, then the second of each, and so on."""
    for row in zip_longest(*runs):
        yield from (name for name in row if name is not None)
