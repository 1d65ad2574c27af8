"""Messages between nodes.

Each type is encoded as a msgpack array: the order of its fields and its tag are part of the protocol and
stay as they are within one protocol version. Names of types and fields are not sent. Times in `*_us` are
whole microseconds.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class QuotaReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node reports of one quota.

    Attributes:
        spent: sessions admitted since the node started.
        spare: sessions per quota window that it could lend.

    """

    spent: int
    spare: int


class HealthObservation(msgspec.Struct, array_like=True, frozen=True):
    """An upstream to which a node could not connect, with no other sign of life since.

    Attributes:
        upstream: hash of the upstream's name.
        failures: failed checks in a row.
        age_us: age of the last of them when the record was created.

    """

    upstream: int
    failures: int
    age_us: int


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """A member that one of its watchers no longer hears directly.

    Attributes:
        member_index: the member's index in the order of names.
        incarnation: incarnation of the newest record of it that the watcher has, by whatever path.
        sequence: sequence number of that record.

    """

    member_index: int
    incarnation: int
    sequence: int


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """What an elector has promised for one role.

    Attributes:
        role_index: the role's index in the order of the cluster file.
        lease: the lease's fencing token.
        holder_index: the holder's index in the order of names.
        remaining_us: what was left of the promise when the record was created.

    """

    role_index: int
    lease: int
    holder_index: int
    remaining_us: int


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a node tells of itself; other nodes pass it on, signed by its origin.

    Attributes:
        name: the node's name.
        incarnation: Unix time at which the node started.
        sequence: number of the record; it only grows within an incarnation.
        created_us: Unix time at which the record was created.
        shutting_down: whether the node is leaving the cluster.
        direct_contacts: one bit for each member, in the order of names: heard directly of late. In a large
            cluster it has a bit only for each member that this node watches.
        config_digest: digest of the cluster file by which the node divides the quotas; 0: none.
        quota_reports: one for each quota, in the order of the file.
        health_observations: upstreams that the node can't reach.
        suspicions: members that the node watches and no longer hears.
        promises: what the node, as an elector, has promised.

    """

    name: str
    incarnation: int
    sequence: int
    created_us: int
    shutting_down: bool
    direct_contacts: bytes
    config_digest: int = 0
    quota_reports: list[QuotaReport] = []
    health_observations: list[HealthObservation] = []
    suspicions: list[Suspicion] = []
    promises: list[Promise] = []

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders the records of one node: the greater is the newer."""
        return self.incarnation, self.sequence


class SignedMessage(msgspec.Struct, array_like=True, frozen=True):
    """An encoded record or direct message with its sender's signature."""

    body: bytes
    signature: bytes


class LoanRequest(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """A node asks to borrow a part of a quota.

    Attributes:
        sender: name of the node that asks.
        incarnation: its incarnation.
        request_id: number of the request; it only grows within an incarnation.
        created_us: Unix time.
        recipient: name of the node that is asked.
        config_digest: digest of the sender's quota settings.
        quota: the quota's name.
        amount: sessions per quota window.
        renews: the request by which the sender has the loan already; 0: a new loan.

    """

    sender: str
    incarnation: int
    request_id: int
    created_us: int
    recipient: str
    config_digest: int
    quota: str
    amount: int
    renews: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.amount


class LoanGrant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What is lent upon a request; a request that nothing is lent upon gets no answer.

    Attributes:
        sender: name of the lender.
        recipient: name of the borrower.
        incarnation: incarnation of the borrower, from its request.
        request_id: number of the request.
        quota: the quota's name.
        amount: sessions per quota window.
        lease: fencing token of the role by which it is lent; 0: from the lender's own share.
        remaining_us: what was left of that role's lease when the loan was granted.

    """

    sender: str
    recipient: str
    incarnation: int
    request_id: int
    quota: str
    amount: int
    lease: int = 0
    remaining_us: int = 0

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.amount, self.lease, self.remaining_us


class BallotRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A candidate asks an elector for a role, or releases it.

    Attributes:
        sender: name of the candidate.
        incarnation: its incarnation.
        round: number of the candidate's round.
        created_us: Unix time.
        recipient: name of the elector.
        config_digest: digest of the sender's electorate.
        role_index: the role's index in the order of the cluster file.
        lease: fencing token that the candidate asks for.
        kind: kind of the ballot, a value of the election's ballot kinds.
        successor: with a release, the node for which the role is kept; empty: none.

    """

    sender: str
    incarnation: int
    round: int
    created_us: int
    recipient: str
    config_digest: int
    role_index: int
    lease: int
    kind: int
    successor: str

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.round, self.role_index, self.lease, self.kind


class Vote(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An elector's answer to a ballot.

    Attributes:
        sender: name of the elector.
        recipient: name of the candidate.
        incarnation: incarnation of the candidate, from its ballot.
        round: the candidate's round.
        role_index: the role's index in the order of the cluster file.
        granted: whether the elector agrees.
        highest_lease: greatest fencing token that the elector knows of.
        remaining_us: how long a promise to another candidate still holds.

    """

    sender: str
    recipient: str
    incarnation: int
    round: int
    role_index: int
    granted: bool
    highest_lease: int
    remaining_us: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.round, self.role_index, self.highest_lease, self.remaining_us


class TokenDemand(msgspec.Struct, array_like=True, frozen=True):
    """A warming upstream to which a node would send one session.

    Attributes:
        upstream: hash of the upstream's name.
        budget_milli: what all nodes may send in the upstream's overload window, in thousandths of a session,
            by the sender's reckoning.
        weight_milli: what the session weighs, in the same unit.

    """

    upstream: int
    budget_milli: int
    weight_milli: int


class TokenRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A node asks the token issuer for permission to send one session to a warming upstream.

    Without demands it asks only for the issuer's answer, which renews the lending of its slow-start windows.

    Attributes:
        sender: name of the node that asks.
        incarnation: its incarnation.
        request_id: number of the request; it only grows within an incarnation.
        created_us: Unix time.
        recipient: name of the token issuer.
        config_digest: digest of the sender's electorate.
        lease: fencing token of the issuer's last answer that the sender has; with it and `issued_us` the
            sender gives up its own slow-start windows for a term. 0: it does not.
        issued_us: time of that answer, by the issuer's clock.
        demands: upstreams, any one of which the session may go to.

    """

    sender: str
    incarnation: int
    request_id: int
    created_us: int
    recipient: str
    config_digest: int
    lease: int
    issued_us: int
    demands: list[TokenDemand]

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        demanded = [value for demand in self.demands for value in (demand.budget_milli, demand.weight_milli)]
        return self.incarnation, self.request_id, self.lease, self.issued_us, *demanded


class TokenGrant(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The token issuer's answer.

    Attributes:
        sender: name of the token issuer.
        recipient: name of the node that asked.
        incarnation: its incarnation, from its request.
        request_id: number of the request.
        lease: fencing token of the issuer.
        remaining_us: what was left of that lease when the answer was given.
        issued_us: time of the answer, by the issuer's clock.
        upstream: hash of the name of the upstream to which one session may be sent; 0: none.

    """

    sender: str
    recipient: str
    incarnation: int
    request_id: int
    lease: int
    remaining_us: int
    issued_us: int
    upstream: int

    @property
    def bounded_values(self) -> tuple[int, ...]:
        """Return the values that have to be within the bounds of the protocol."""
        return self.incarnation, self.request_id, self.lease, self.remaining_us, self.issued_us


DirectMessage = LoanRequest | LoanGrant | BallotRequest | Vote | TokenRequest | TokenGrant
"""A message for its recipient alone; unlike a record it is not passed on."""


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """What one UDP datagram holds.

    Attributes:
        records: encoded node records; the sender's own comes first, then those that it passes on.
        messages: encoded direct messages.

    """

    records: list[SignedMessage]
    messages: list[SignedMessage] = []


class DropReason(Enum):
    """Why a datagram, or a message in it, was dropped; the value is the end of a counter's name."""

    EMPTY = "empty"
    TOO_LONG = "too_long"
    UNKNOWN_VERSION = "unknown_version"
    MALFORMED = "malformed"
    UNKNOWN_MEMBER = "unknown_member"
    INVALID_SIGNATURE = "invalid_signature"
    WRONG_RECIPIENT = "wrong_recipient"
    TOO_OLD = "too_old"
    IN_THE_FUTURE = "in_the_future"
