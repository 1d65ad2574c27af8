"""Which hosts can't be reached, by what nodes have seen themselves and told each other. No I/O.

Evidence with an age is passed on, never a verdict: each node draws its own. Another's word makes a node look
for itself; several witnesses' words count as failed looks of its own, until an own look says better. Times
are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.protocol.messages import HealthObservation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

TELLING = 2  # failed looks in a row that are told to others: one may be a lost packet
WITNESSES = 2  # so many others must have found the same; in two sites, where there are several
FRESH_US = 3_000_000  # a look, failed or good, counts for so long: hosts on probation are probed every 2 s
HEED_US = 1_000_000  # and is acted on for so long alone: the host may have come back since
LOOK_US = 2_000_000  # between two looks at a host for the sake of what others say
MOST_LOOKS = 2  # that one beat orders: a liar that calls all hosts dead must not have every node probe all
MOST_TOLD = 16  # findings in a record, the newest first: more would leave no room for others' records


@dataclass(slots=True)
class Seen:
    """What this node knows of one host itself."""

    failed: int = 0  # looks in a row
    failed_at: int = 0
    good_at: int = -FRESH_US
    looked_at: int = -LOOK_US
    looked_for: frozenset[str] = frozenset()  # on whose word it was looked at then
    acted: frozenset[str] = frozenset()  # and on whose it is avoided
    doubted: bool = False  # it wants a look of this node's own accord
    gone: bool = False


class Advice(NamedTuple):
    """Hosts to look at now; those that enough others found gone, with how many; and what is new of it."""

    looks: list[int]
    failed: list[tuple[int, int]]
    gone: list[int]  # that this node, by its own looks or others' words, did not take for gone before


class Evidence:
    def __init__(self) -> None:
        self.upstreams: dict[int, Seen] = {}

    # What this node sees itself.

    def saw(self, now: int, upstream: int, good: bool | None) -> None:
        """An own try or probe: whether a connection to the host was had; None: one that stood broke off."""
        seen = self.upstreams.setdefault(upstream, Seen())
        seen.doubted = good is None
        if good is None:
            return
        if good:
            seen.failed, seen.good_at, seen.acted = 0, now, frozenset()
        else:
            seen.failed += 1
            seen.failed_at = now

    def told(self, now: int) -> list[HealthObservation]:
        """For this node's record."""
        # What others said never goes in: passed on as one's own, one liar's word would come back as many.
        found = [
            (now - seen.failed_at, upstream, seen.failed)
            for upstream, seen in self.upstreams.items()
            if seen.failed >= TELLING and now < seen.failed_at + FRESH_US
        ]
        return [HealthObservation(upstream, looks, age) for age, upstream, looks in sorted(found)[:MOST_TOLD]]

    # What others say.

    def weigh(
        self,
        now: int,
        claims: Mapping[str, Iterable[HealthObservation]],
        ages: Mapping[str, int],
        sites: Mapping[str, str],
        several: bool,
    ) -> Advice:
        """What to make of it; ages: of the records with claims; several: whether members of more than one
        site are present.
        """
        said: dict[int, set[str]] = {}
        lately: dict[int, set[str]] = {}
        for name, findings in claims.items():
            for finding in findings:
                age = max(0, finding.age_us) + ages[name]
                if finding.failures >= TELLING and age < FRESH_US:
                    said.setdefault(finding.upstream, set()).add(name)
                    if age < HEED_US:
                        lately.setdefault(finding.upstream, set()).add(name)
        looks: list[tuple[int, int]] = []
        failed: list[tuple[int, int]] = []
        for upstream, seen in self.upstreams.items():
            # Danger: a host that has come back is no longer probed, and a node that had found it gone would
            # take it for gone for ever, and heed nobody when it dies again.
            if seen.failed and now >= seen.failed_at + FRESH_US:
                seen.failed = 0
            witnesses = said.get(upstream, set())
            fresh = now < seen.good_at + FRESH_US
            heeded = lately.get(upstream, set())
            enough = len(heeded) >= WITNESSES and (not several or len({sites[n] for n in heeded}) > 1)
            # A look that failed wants a second before it is told, and a link that broke off a first: waiting
            # for the node's next probe by itself, a death was told two seconds later.
            due = seen.failed > 0 or seen.doubted
            # One that keeps on saying so makes it look once in a while; another that joins it, at once.
            due |= not witnesses <= seen.looked_for or (bool(witnesses) and now >= seen.looked_at + LOOK_US)
            if seen.failed < TELLING and due:
                looks.append((seen.looked_at, upstream))
            if not witnesses:
                seen.acted = frozenset()
                continue
            # What it has seen itself of late goes before: a link that came up there says more than any word.
            if enough and self.looked(now, seen, heeded) and not fresh and not seen.failed:
                if heeded <= seen.acted:
                    continue
                failed.append((upstream, len(heeded)))
                seen.acted |= heeded
        chosen = [upstream for _, upstream in sorted(looks)[:MOST_LOOKS]]
        for upstream in chosen:
            self.upstreams[upstream].looked_at = now
            self.upstreams[upstream].looked_for = frozenset(said.get(upstream, ()))
            self.upstreams[upstream].doubted = False
        gone = []
        for upstream, seen in self.upstreams.items():
            before, seen.gone = seen.gone, seen.failed >= TELLING or bool(seen.acted)
            if seen.gone and not before:
                gone.append(upstream)
        return Advice(chosen, failed, gone)

    @staticmethod
    def looked(now: int, seen: Seen, heeded: set[str]) -> bool:
        """Whether this node has looked for itself since it was told by these."""
        # Danger: two sites may both be cut off from a host that is well for this one. Acted on in the beat in
        # which it comes, their word takes it from service; a look of this node's own is back by the next.
        return heeded <= seen.looked_for and now > seen.looked_at

    def follow(self, upstreams: Iterable[int]) -> None:
        """These are on the list; others' words on any other host are nothing to this node."""
        self.upstreams = {upstream: self.upstreams.get(upstream, Seen()) for upstream in upstreams}
