"""One node's part in the election of all roles, translated to and from the cluster's messages. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId
from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.cluster.election.candidate_side import CandidateSide
from larchlatch.cluster.election.elector_side import ElectorSide
from larchlatch.cluster.election.known_holders import KnownHolders
from larchlatch.cluster.protocol.headers import RequestOrigin, response_header
from larchlatch.cluster.protocol.messages import BallotRequest, NodeRecord, Promise, Vote

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence
    from random import Random

    from larchlatch.cluster.election.candidate_side import RoleEvent
    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.election.known_holders import Holder

MAX_LEASE_AHEAD_US = 24 * 3600 * 1_000_000  # lease numbers further ahead of the wall clock are ignored


class RoleStatus(NamedTuple):
    """Status of one role, as a node shows it to its operators.

    Attributes:
        role: the role's name.
        holder: name of the holder that a majority of the electors reports; None: there is none.
        lease: number of the holder's lease; 0: there is no holder.
        left_ms: remaining time of this node's own lease, in milliseconds; 0: this node is not the holder.
        since_ms: time since the last change of the holder, in milliseconds.
        successor: first present node after the holder in the role's order of preference; empty: none.
        elector_count: number of electors that are present.

    """

    role: str
    holder: str | None
    lease: int
    left_ms: int
    since_ms: int
    successor: str
    elector_count: int

    def to_json(self) -> dict[str, str | int | None]:
        """Return the status as the JSON object that a node logs on SIGUSR1."""
        return {
            "role": self.role,
            "holder": self.holder,
            "lease": self.lease,
            "left_ms": self.left_ms,
            "since_ms": self.since_ms,
            "successor": self.successor,
            "electors": self.elector_count,
        }


class Election:
    """One node's part in the election of all roles: as an elector, a candidate and a receiver of orders.

    Attributes:
        heartbeat_us: interval at which `tick` is called, in microseconds.
        electorate: roles, electors and lease terms of the present cluster file.
        incarnation: incarnation of this node, as stated in the ballot requests of the last heartbeat.

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
        """Start over when this process takes over the node's part in elections from another process.

        Promises that the other process made as an elector are unknown here, so the elector starts with a
        silence in which it answers no ballot.
        """
        self._candidate_side.reset(self.electorate)
        self._elector_side.open(now)

    def follow(self, electorate: Electorate, now: int) -> None:
        """Start over with the electorate of a changed cluster file.

        Promises under the previous file may still be valid. This elector makes no promise for as long as its
        own can be, nor for as long as after a start, and it answers no ballots under the previous file.
        """
        self.electorate = electorate
        self._known_holders.follow(electorate, now)
        self._candidate_side.reset(electorate)
        self._elector_side.follow(electorate, now)

    def begin_handover(self) -> None:
        """Hand over all roles from the next heartbeat on, as this node is shutting down."""
        self._candidate_side.shutting_down = True

    def tick(
        self,
        now: int,
        origin: RequestOrigin,
        records: Mapping[str, NodeRecord],
        record_ages: Mapping[str, int],
    ) -> list[BallotRequest]:
        """Update the known holders and this node's candidacies at a heartbeat.

        Args:
            now: time by the process's own clock, in microseconds.
            origin: this node's name, its incarnation and the Unix time, for the headers of ballot requests.
            records: newest record of each member that is present.
            record_ages: age of each member's latest report of promises, in microseconds.

        Returns:
            The ballot requests to send.

        """
        self._candidate_side.record_heartbeat(now, self.heartbeat_us)
        self.incarnation = origin.incarnation
        requests: list[BallotRequest] = []
        for index, role in enumerate(self.electorate.roles):
            holder = self.majority_holder(now, index, records, record_ages)
            self._known_holders.update(now, role, holder)
            if self._candidate_side.shutting_down:
                self._resign(now, role, records)
            requests += self._step_candidate(now, origin, index, records)
        return requests

    def _step_candidate(
        self, now: int, origin: RequestOrigin, role_index: int, present: Collection[str]
    ) -> list[BallotRequest]:
        role = self.electorate.roles[role_index]
        eligible = self._candidate_side.may_be_candidate(now) and self._known_holders.should_be_candidate(
            now, role, present
        )
        ballots = self._candidate_side.candidates[role].step(now, origin.created_us, eligible=eligible)
        repeated = [] if ballots else self._repeated_requests(now, origin, role_index)
        return repeated + self._submit(now, origin, role_index, ballots)

    def _resign(self, now: int, role: str, present: Collection[str]) -> None:
        """Hand over a role that this node holds to the next node in the order of preference."""
        candidate = self._candidate_side.candidates[role]
        if candidate.holds(now):
            successors = [name for name in self._known_holders.ranked(role, present) if name != self.own_name]
            candidate.resign(now, successors[0] if successors else "")

    def holder(self, role: str) -> Holder | None:
        """Return the holder of a role that a majority of electors had reported at the last heartbeat."""
        return self._known_holders.holders.get(role)

    def majority_holder(
        self, now: int, role_index: int, records: Mapping[str, NodeRecord], record_ages: Mapping[str, int]
    ) -> Holder | None:
        """Return the holder of a role that a majority of electors reports at `now`; None: there is none."""
        return self._known_holders.majority_holder(role_index, self.promises(now), records, record_ages)

    def promises(self, now: int) -> list[Promise]:
        """Return the unexpired promises that this node has made as an elector, for its record."""
        return self._elector_side.promises(now)

    # Ballots and votes.

    def _submit(
        self, now: int, origin: RequestOrigin, role_index: int, ballots: Sequence[Ballot]
    ) -> list[BallotRequest]:
        """Answer ballots as this node's own elector, and return the requests to the other electors."""
        role = self.electorate.roles[role_index]
        candidate = self._candidate_side.candidates[role]
        own_id = CandidateId(self.own_name, self.incarnation)
        requests: list[BallotRequest] = []
        waiting = list(ballots)
        while waiting:
            ballot = waiting.pop(0)
            requests += self._ballot_requests(origin, role_index, ballot)
            if ballot.kind is BallotKind.RELEASE:
                self._candidate_side.record_release(role, ballot)
            answer = self._elector_side.answer(now, role, own_id, ballot)
            if answer is not None:
                waiting += candidate.count_answer(now, self.own_name, ballot.round_number, answer)
        self._candidate_side.record_change(now, role)
        return requests

    def _ballot_requests(
        self, origin: RequestOrigin, role_index: int, ballot: Ballot, answered: Collection[str] = frozenset()
    ) -> list[BallotRequest]:
        """Return requests to all other electors but those in `answered`, and to the ballot's successor."""
        recipients = {*self.electorate.electors, ballot.successor} - {self.own_name, "", *answered}
        return [
            BallotRequest(
                **origin.header(
                    request_id=ballot.round_number, recipient=recipient, config_digest=self.electorate.digest
                ),
                role_index=role_index,
                lease=ballot.lease,
                kind=ballot.kind.value,
                successor=ballot.successor,
            )
            for recipient in sorted(recipients)
        ]

    def _repeated_requests(self, now: int, origin: RequestOrigin, role_index: int) -> list[BallotRequest]:
        """Return ballot requests that may have been lost, to send them again."""
        role = self.electorate.roles[role_index]
        candidate = self._candidate_side.candidates[role]
        requests: list[BallotRequest] = []
        # After a lost release, promises that nobody uses would block other candidates for a term.
        released = self._candidate_side.take_release(role)
        if released is not None:
            requests += self._ballot_requests(origin, role_index, released)
        ballot = candidate.repeated_ballot(now)
        if ballot is not None:
            requests += self._ballot_requests(origin, role_index, ballot, candidate.granted_by)
        return requests

    def answer_ballot(self, now: int, request: BallotRequest) -> Vote | None:
        """Return this node's vote, as an elector, on a received ballot; None: the ballot gets no answer."""
        if not self._knows_ballot(request):
            return None
        role = self.electorate.roles[request.role_index]
        ballot = Ballot(request.lease, BallotKind(request.kind), request.request_id, request.successor)
        if ballot.kind is BallotKind.RELEASE and ballot.successor == self.own_name:
            self._candidate_side.accept_handover(now, role)
            self._known_holders.accept_handover(now, role)
        candidate = CandidateId(request.sender, request.incarnation)
        answer = self._elector_side.answer(now, role, candidate, ballot)
        if answer is None:
            return None
        return Vote(
            **response_header(self.own_name, request),
            role_index=request.role_index,
            granted=answer.granted,
            highest_lease=answer.highest_lease,
            remaining_us=answer.blocked_us,
        )

    def _knows_ballot(self, request: BallotRequest) -> bool:
        """Return whether a ballot's kind and role are known and its sender uses the same cluster file."""
        return (
            request.config_digest == self.electorate.digest
            and request.role_index < len(self.electorate.roles)
            and request.kind <= BallotKind.RELEASE.value
        )

    def expects_vote(self, vote: Vote) -> bool:
        """Return whether a vote may count in the running round; other votes need no signature check."""
        if vote.role_index >= len(self.electorate.roles) or vote.sender not in self.electorate.electors:
            return False
        # Round numbers restart in each incarnation, so a delayed vote for an earlier incarnation can have the
        # number of the running round.
        if vote.incarnation != self.incarnation:
            return False
        candidate = self._candidate_side.candidates[self.electorate.roles[vote.role_index]]
        if vote.request_id != candidate.round_number or candidate.state is CandidateState.IDLE:
            return False
        return vote.sender not in candidate.granted_by

    def count_vote(self, now: int, vote: Vote, *, wall: int) -> list[BallotRequest]:
        """Count an elector's vote, and return the ballot requests that it leads to."""
        candidate = self._candidate_side.candidates[self.electorate.roles[vote.role_index]]
        answer = Answer(
            granted=vote.granted,
            highest_lease=vote.highest_lease if vote.highest_lease <= wall + MAX_LEASE_AHEAD_US else 0,
            blocked_us=min(vote.remaining_us, self.electorate.lease_terms.promise_us),
        )
        ballots = candidate.count_answer(now, vote.sender, vote.request_id, answer)
        origin = RequestOrigin(self.own_name, self.incarnation, wall)
        return self._submit(now, origin, vote.role_index, ballots)

    # Orders.

    def order_permit(self, now: int, role: str) -> OrderPermit:
        """Return the permit for an order that this node gives now as a role's holder; lease 0: it may not."""
        return self._candidate_side.permit(now, role)

    def accepts_order(self, role: str, lease: int) -> bool:
        """Return whether this node may execute an order that a role's holder gave under this lease."""
        return self._known_holders.accepts_order(role, lease)

    # Events and status for the node and its operators.

    def take_events(self) -> list[RoleEvent]:
        """Return the events of this node gaining or losing roles since the last call, and clear them."""
        return self._candidate_side.take_events()

    def statuses(self, now: int, present: Collection[str]) -> list[RoleStatus]:
        """Return the status of each role.

        Args:
            now: time by the process's own clock, in microseconds.
            present: names of the members that are present.

        """
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
            successor=successors[0] if successors else "",
            elector_count=elector_count,
        )
