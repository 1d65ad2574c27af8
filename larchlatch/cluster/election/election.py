"""The election of all roles as one node takes part in it. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId
from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.cluster.election.candidate_side import CandidateSide
from larchlatch.cluster.election.elector_side import ElectorSide
from larchlatch.cluster.election.known_holders import KnownHolders
from larchlatch.cluster.protocol.messages import BallotRequest, NodeRecord, Promise, Vote

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence
    from random import Random

    from larchlatch.cluster.election.candidate_side import RoleEvent
    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.election.known_holders import Holder

MAX_LEASE_AHEAD_US = 24 * 3600 * 1_000_000  # a lease's number further ahead of the wall clock is made up


class RoleStatus(NamedTuple):
    """One role, for the operators of the node.

    Attributes:
        role: the role's name.
        holder: its holder as the electors tell; None where they tell of none.
        lease: number of the holder's lease.
        left_ms: rest of this node's own lease; 0 where it holds none.
        since_ms: for how long the holder has been the same.
        next_holder: node that should hold it after the present holder.
        elector_count: electors that are heard.

    """

    role: str
    holder: str | None
    lease: int
    left_ms: int
    since_ms: int
    next_holder: str
    elector_count: int

    def to_json(self) -> dict[str, str | int | None]:
        """Return the row that a node logs on SIGUSR1."""
        return {
            "duty": self.role,
            "holder": self.holder,
            "lease": self.lease,
            "left_ms": self.left_ms,
            "since_ms": self.since_ms,
            "next": self.next_holder,
            "electors": self.elector_count,
        }


class Election:
    """One node's part in the election of all roles: elector, candidate, and receiver of orders.

    Attributes:
        heartbeat_us: interval at which `tick` is called, in microseconds.
        electorate: roles, electors and terms by the present cluster file.
        incarnation: life of this node under which it asks electors.

    """

    def __init__(
        self, own_name: str, electorate: Electorate, heartbeat_us: int, now: int, random: Random
    ) -> None:
        self.own_name = own_name
        self.heartbeat_us = heartbeat_us
        self.electorate = electorate
        self.incarnation = 0
        self._known_holders = KnownHolders(own_name, electorate, now)
        self._candidate_side = CandidateSide(electorate, now, random.uniform)
        self._elector_side = ElectorSide(own_name, electorate, now)

    def open(self, now: int) -> None:
        """Begin anew, as no other process of this node takes part; its promises are not known here."""
        self._candidate_side.reset(self.electorate)
        self._elector_side = ElectorSide(self.own_name, self.electorate, now)

    def follow(self, electorate: Electorate, now: int) -> None:
        """Start over with the electorate of a changed cluster file.

        Promises by electors of the former file may still hold. As after a start, nothing is promised for as
        long as they can, and ballots under the former file are not answered.
        """
        self.electorate = electorate
        self._known_holders.follow(electorate, now)
        self.open(now)

    def begin_handover(self) -> None:
        """Hand all roles over from the next heartbeat on, as this node is about to end."""
        self._candidate_side.shutting_down = True

    def tick(
        self,
        now: int,
        wall: int,
        incarnation: int,
        records: Mapping[str, NodeRecord],
        record_ages: Mapping[str, int],
    ) -> list[BallotRequest]:
        """Do what is due with a heartbeat.

        Args:
            now: time by the process's own clock, in microseconds.
            wall: Unix time, in microseconds.
            incarnation: present life of this node.
            records: newest record of each member that is present.
            record_ages: ages of those records that tell of promises, in microseconds.

        Returns:
            The ballots to send.

        """
        self._candidate_side.watch_lateness(now, self.heartbeat_us)
        self.incarnation = incarnation
        bids: list[BallotRequest] = []
        for index, role in enumerate(self.electorate.roles):
            holder = self.majority_holder(now, index, records, record_ages)
            self._known_holders.update(now, role, holder)
            if self._candidate_side.shutting_down:
                self._resign(now, role, records)
            bids += self._step_candidate(now, wall, index, records)
        return bids

    def _step_candidate(
        self, now: int, wall: int, role_index: int, present: Collection[str]
    ) -> list[BallotRequest]:
        role = self.electorate.roles[role_index]
        eligible = self._candidate_side.may_stand(now) and self._known_holders.is_standby(now, role, present)
        ballots = self._candidate_side.candidates[role].step(now, wall, eligible=eligible)
        repeated = [] if ballots else self._repeated_bids(now, wall, role_index)
        return repeated + self._submit(now, wall, role_index, ballots)

    def _resign(self, now: int, role: str, present: Collection[str]) -> None:
        """Hand a role over to the node that should hold it next."""
        candidate = self._candidate_side.candidates[role]
        if candidate.holds(now):
            heirs = [name for name in self._known_holders.ranked(role, present) if name != self.own_name]
            candidate.resign(now, heirs[0] if heirs else "")

    def holder(self, role: str) -> Holder | None:
        """Return the holder of a role as a majority of the electors told at the last heartbeat."""
        return self._known_holders.holders.get(role)

    def majority_holder(
        self, now: int, role_index: int, records: Mapping[str, NodeRecord], record_ages: Mapping[str, int]
    ) -> Holder | None:
        """Return the holder of a role that a majority of the electors tells of by now."""
        return self._known_holders.majority_holder(role_index, self.promises(now), records, record_ages)

    def promises(self, now: int) -> list[Promise]:
        """Return what this node has promised as an elector, for its record."""
        return self._elector_side.promises(now)

    # Ballots and votes.

    def _submit(self, now: int, wall: int, role_index: int, ballots: Sequence[Ballot]) -> list[BallotRequest]:
        """Return ballots for the other electors, after this node's own elector has answered them."""
        role = self.electorate.roles[role_index]
        candidate = self._candidate_side.candidates[role]
        own_id = CandidateId(self.own_name, self.incarnation)
        bids: list[BallotRequest] = []
        waiting = list(ballots)
        while waiting:
            ballot = waiting.pop(0)
            bids += self._bids(wall, role_index, ballot)
            if ballot.kind is BallotKind.RELEASE:
                self._candidate_side.note_release(role, ballot)
            answer = self._elector_side.answer(now, role, own_id, ballot)
            if answer is not None:
                waiting += candidate.count_answer(now, self.own_name, ballot.round_number, answer)
        self._candidate_side.note_change(now, role)
        return bids

    def _bids(
        self, wall: int, role_index: int, ballot: Ballot, answered: Collection[str] = frozenset()
    ) -> list[BallotRequest]:
        """Return a ballot for each elector that has not answered it, and for the heir it names."""
        receivers = {*self.electorate.electors, ballot.heir} - {self.own_name, "", *answered}
        return [
            BallotRequest(
                sender=self.own_name,
                incarnation=self.incarnation,
                round=ballot.round_number,
                created_us=wall,
                recipient=receiver,
                config_digest=self.electorate.digest,
                role_index=role_index,
                lease=ballot.lease,
                kind=ballot.kind.value,
                successor=ballot.heir,
            )
            for receiver in sorted(receivers)
        ]

    def _repeated_bids(self, now: int, wall: int, role_index: int) -> list[BallotRequest]:
        """Return once more what may have been lost."""
        role = self.electorate.roles[role_index]
        candidate = self._candidate_side.candidates[role]
        bids: list[BallotRequest] = []
        # If a release is lost, promises that nobody counts on keep the role from all nodes for a term.
        released = self._candidate_side.take_release(role)
        if released is not None:
            bids += self._bids(wall, role_index, released)
        ballot = candidate.repeated_ballot(now)
        if ballot is not None:
            bids += self._bids(wall, role_index, ballot, candidate.granted_by)
        return bids

    def answer_bid(self, now: int, bid: BallotRequest) -> Vote | None:
        """Answer a candidate's ballot; None where this node has nothing to say to it."""
        if bid.config_digest != self.electorate.digest or bid.role_index >= len(self.electorate.roles):
            return None
        if bid.kind > BallotKind.RELEASE.value:
            return None
        role = self.electorate.roles[bid.role_index]
        ballot = Ballot(bid.lease, BallotKind(bid.kind), bid.round, bid.successor)
        if ballot.kind is BallotKind.RELEASE and ballot.heir == self.own_name:
            self._candidate_side.accept_handover(now, role)
            self._known_holders.accept_handover(now, role)
        answer = self._elector_side.answer(now, role, CandidateId(bid.sender, bid.incarnation), ballot)
        if answer is None:
            return None
        return Vote(
            sender=self.own_name,
            recipient=bid.sender,
            incarnation=bid.incarnation,
            round=bid.round,
            role_index=bid.role_index,
            granted=answer.granted,
            highest_lease=answer.highest_lease,
            remaining_us=answer.blocked_us,
        )

    def expects_vote(self, vote: Vote) -> bool:
        """Return whether a vote, not yet trusted, is worth a check of its signature."""
        if vote.role_index >= len(self.electorate.roles) or vote.sender not in self.electorate.electors:
            return False
        # Rounds are counted anew in each life. A vote for an earlier life, under way while this node started,
        # would be counted for a promise that nobody has made to the present one.
        if vote.incarnation != self.incarnation:
            return False
        candidate = self._candidate_side.candidates[self.electorate.roles[vote.role_index]]
        if vote.round != candidate.round_number or candidate.state is CandidateState.IDLE:
            return False
        return vote.sender not in candidate.granted_by

    def count_vote(self, now: int, wall: int, vote: Vote) -> list[BallotRequest]:
        """Count an elector's vote, and return the ballots that follow from it."""
        candidate = self._candidate_side.candidates[self.electorate.roles[vote.role_index]]
        answer = Answer(
            granted=vote.granted,
            highest_lease=vote.highest_lease if vote.highest_lease <= wall + MAX_LEASE_AHEAD_US else 0,
            blocked_us=min(vote.remaining_us, self.electorate.lease_terms.promise_us),
        )
        ballots = candidate.count_answer(now, vote.sender, vote.round, answer)
        return self._submit(now, wall, vote.role_index, ballots)

    # Orders.

    def order_permit(self, now: int, role: str) -> OrderPermit:
        """Return by which lease this node may give an order of this role now; lease 0: it may not."""
        return self._candidate_side.permit(now, role)

    def accepts_order(self, role: str, lease: int) -> bool:
        """Return whether an order by this lease may be carried out here."""
        return self._known_holders.accepts_order(role, lease)

    # For the node and its operators.

    def take_events(self) -> list[RoleEvent]:
        """Return, once, which roles this node has begun or ceased to hold since the last call."""
        return self._candidate_side.take_events()

    def statuses(self, now: int, present: Collection[str]) -> list[RoleStatus]:
        """Return each role's status, with the members that are present now."""
        electors = self.electorate.electors
        elector_count = sum(name in present or name == self.own_name for name in electors)
        return [self._status(now, role, present, elector_count) for role in self.electorate.roles]

    def _status(self, now: int, role: str, present: Collection[str], elector_count: int) -> RoleStatus:
        candidate = self._candidate_side.candidates[role]
        holder = self._known_holders.holders[role]
        ranked = self._known_holders.ranked(role, present)
        successors = [name for name in ranked if holder is None or name != holder.name]
        own_left_us = max(0, candidate.lease_ends_at - now) if candidate.holds(now) else 0
        return RoleStatus(
            role=role,
            holder=holder.name if holder is not None else None,
            lease=holder.lease if holder is not None else 0,
            left_ms=own_left_us // 1000,
            since_ms=(now - self._known_holders.changed_at[role]) // 1000,
            next_holder=successors[0] if successors else "",
            elector_count=elector_count,
        )
