"""Ballots that candidates send to electors, and the electors' answers."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class BallotKind(Enum):
    """What a candidate asks of the electors with a ballot; the values are part of the protocol."""

    PRE_VOTE = 0  # whether they would promise the role; not binding (Raft's pre-vote, Ongaro 2014)
    GRANT = 1  # to promise the role to the candidate
    RELEASE = 2  # to end a promise that the candidate no longer relies on


class CandidateId(NamedTuple):
    """A candidate's name and incarnation; a promise to one incarnation does not apply to a later one."""

    name: str
    incarnation: int


class Ballot(NamedTuple):
    """A candidate's message about one role, which it sends to every elector.

    Attributes:
        lease: number of the lease that the candidate holds or asks for.
        kind: what the candidate asks for.
        round_number: number of the candidate's ballot round; an answer belongs to the ballot with its number.
        successor: name of the node for which the electors reserve a released role; empty: none.

    """

    lease: int
    kind: BallotKind
    round_number: int
    successor: str = ""


class Answer(NamedTuple):
    """An elector's answer to a ballot.

    Attributes:
        granted: whether the elector promises the role, or would do so in a pre-vote.
        highest_lease: highest lease number that the elector has promised.
        blocked_us: remaining time of a promise to, or a reservation for, another node, in microseconds;
            0: there is neither.

    """

    granted: bool
    highest_lease: int
    blocked_us: int
