"""The ballots of candidates, and the answers of electors."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class BallotKind(Enum):
    """What a ballot asks for; the values are part of the protocol."""

    PRE_VOTE = 0  # whether the role would be promised; not binding (Raft's pre-vote, Ongaro 2014)
    GRANT = 1  # a promise of the role
    RELEASE = 2  # the end of a promise that the candidate no longer relies on


class CandidateId(NamedTuple):
    """A candidate in one incarnation: a promise to an earlier incarnation does not hold for a later one."""

    name: str
    incarnation: int


class Ballot(NamedTuple):
    """A candidate's ballot, which every elector receives.

    Attributes:
        lease: number of the lease that the candidate has or asks for.
        kind: what is asked for.
        round_number: number of the ballot round, by which answers are matched.
        successor: node for which a released role is reserved; empty: none.

    """

    lease: int
    kind: BallotKind
    round_number: int
    successor: str = ""


class Answer(NamedTuple):
    """An elector's answer to a ballot.

    Attributes:
        granted: whether the elector agrees.
        highest_lease: highest number of a lease that the elector has promised.
        blocked_us: remaining time of a promise to another candidate, in microseconds; 0: there is none.

    """

    granted: bool
    highest_lease: int
    blocked_us: int
