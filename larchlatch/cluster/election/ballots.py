"""What candidates ask of electors, and what electors answer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class BallotKind(Enum):
    """What a ballot asks for; the values go over the wire."""

    PRE_VOTE = 0  # whether the role would be promised; binds nobody (Raft's pre-vote, Ongaro 2014)
    GRANT = 1  # a promise of the role
    RELEASE = 2  # the end of a promise that the candidate will never count on again


class CandidateId(NamedTuple):
    """One life of a node: a promise to an earlier life is no promise to the present one."""

    name: str
    incarnation: int


class Ballot(NamedTuple):
    """A candidate's request to every elector.

    Attributes:
        lease: number that the candidate's lease has, or would have.
        kind: what is asked for.
        round_number: tells answers to this ballot from those to others.
        heir: node that a released role is reserved for; "" where there is none.

    """

    lease: int
    kind: BallotKind
    round_number: int
    heir: str = ""


class Answer(NamedTuple):
    """An elector's answer to a ballot.

    Attributes:
        granted: whether the elector agrees.
        highest_lease: highest number of a lease that this elector has promised.
        blocked_us: remaining time of a promise to another candidate, in microseconds; 0 if there is none.

    """

    granted: bool
    highest_lease: int
    blocked_us: int
