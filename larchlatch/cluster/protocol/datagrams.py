"""Datagrams between nodes: a version byte, then msgpack. Each is decoded once and encoded once."""

from __future__ import annotations

from enum import Enum

import msgspec

from larchlatch.cluster.protocol.signing import SIGNATURE_BYTES

VERSION = 5
MOST_BYTES = 1200  # goes through any path of today in one piece
OVERHEAD = 8  # version, and heads of the arrays


class Standing(msgspec.Struct, array_like=True, frozen=True):
    """What a node tells of one shared budget."""

    spent: int  # links, since it started
    spare: int  # links a window that it could lend


class Finding(msgspec.Struct, array_like=True, frozen=True):
    """A host to which a node has found no connection, and no other kind of word since."""

    upstream: int  # hash of its name
    looks: int  # in a row
    age_us: int  # of the last of them, when the record was made


class Missed(msgspec.Struct, array_like=True, frozen=True):
    """A member that its watcher no longer hears itself."""

    place: int  # in the order of names
    incarnation: int
    number: int  # of the newest record of it that is known, by whatever way


class Promised(msgspec.Struct, array_like=True, frozen=True):
    """What an elector has promised."""

    duty: int  # in the file's order
    lease: int
    place: int  # of the holder, in the order of names
    left_us: int  # when the record was made


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What a node says of itself. Numbers only ever go up within an incarnation."""

    name: str
    incarnation: int  # microseconds of Unix time at its start
    number: int
    made_us: int  # Unix time
    leaving: bool
    # A bit for each member, in the order of their names: heard directly of late. In a large fleet for those
    # alone that this node watches.
    heard: bytes
    mark: int = 0  # of the file by which it deals budgets out; 0: none
    shares: list[Standing] = []
    findings: list[Finding] = []
    missed: list[Missed] = []
    promises: list[Promised] = []

    @property
    def age(self) -> tuple[int, int]:
        return self.incarnation, self.number


class Signed(msgspec.Struct, array_like=True, frozen=True):
    body: bytes
    signature: bytes


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """A node wants to borrow rights."""

    sender: str
    incarnation: int
    number: int  # of its asks
    made_us: int  # Unix time
    to: str
    mark: int
    budget: str
    amount: int
    renews: int  # the ask by which it has them already; 0: none

    @property
    def figures(self) -> tuple[int, ...]:
        return self.incarnation, self.number, self.amount


class Grant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What is lent by an ask; an ask that nothing is lent by has no answer."""

    sender: str
    to: str
    incarnation: int  # of whoever asked
    number: int  # of the ask
    budget: str
    amount: int
    lease: int = 0  # of the duty by which it is lent; 0: of the lender's own
    left_us: int = 0  # of that duty, when it was lent

    @property
    def figures(self) -> tuple[int, ...]:
        return self.incarnation, self.number, self.amount, self.lease, self.left_us


class Bid(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A candidate asks an elector for a duty, or releases it."""

    sender: str
    incarnation: int
    number: int  # of the candidate's round
    made_us: int  # Unix time
    to: str
    mark: int
    duty: int
    lease: int
    what: int
    heir: str

    @property
    def figures(self) -> tuple[int, ...]:
        return self.incarnation, self.number, self.duty, self.lease, self.what


class Vote(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An elector's answer."""

    sender: str
    to: str
    incarnation: int  # of whoever asked
    number: int  # of the round
    duty: int
    granted: bool
    known: int
    left_us: int

    @property
    def figures(self) -> tuple[int, ...]:
        return self.incarnation, self.number, self.duty, self.known, self.left_us


class Want(msgspec.Struct, array_like=True, frozen=True):
    """A cold host to which a node would send one link."""

    upstream: int  # hash of its name
    budget: int  # of all nodes in its window, in thousandths of a link, as that node reckons
    weight: int  # of the link, the same


class Seek(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A node asks the pacer for leave to send one link to one of these hosts, or only for its word."""

    sender: str
    incarnation: int
    number: int  # of its notes
    made_us: int  # Unix time
    to: str
    mark: int
    # Of the pacer's last word that it has heard; by these it hands its turns over for a term. 0: it does not.
    lease: int
    stamp: int
    wants: list[Want]

    @property
    def figures(self) -> tuple[int, ...]:
        wanted = [figure for want in self.wants for figure in (want.budget, want.weight)]
        return self.incarnation, self.number, self.lease, self.stamp, *wanted


class Leave(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The pacer's word."""

    sender: str
    to: str
    incarnation: int  # of whoever asked
    number: int  # of the note
    lease: int
    left_us: int  # of that lease, when it was said
    stamp: int  # when that was, by the pacer's clock
    upstream: int  # hash of the name of the host to which one link may be sent; 0: none

    @property
    def figures(self) -> tuple[int, ...]:
        return self.incarnation, self.number, self.lease, self.left_us, self.stamp


Note = Ask | Grant | Bid | Vote | Seek | Leave


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """The sender's own record comes first, then those that it passes on; notes are for the receiver alone."""

    records: list[Signed]
    notes: list[Signed] = []


class Unread(Enum):
    """Why a datagram, or a record in it, was dropped."""

    EMPTY = "empty"
    LONG = "too long"
    VERSION = "unknown version"
    FORM = "not understood"
    STRANGER = "unknown member"
    SIGNATURE = "wrong signature"
    ASTRAY = "for another node"
    STALE = "made too long ago"
    EARLY = "made in the future"


ENCODER = msgspec.msgpack.Encoder()
DATAGRAMS = msgspec.msgpack.Decoder(Datagram)
RECORDS = msgspec.msgpack.Decoder(Record)
NOTES = msgspec.msgpack.Decoder(Note)
MOST = 2**62  # of a number that may be reckoned with


def body_of(record: Record | Note) -> bytes:
    return ENCODER.encode(record)


def record_of(body: bytes) -> Record | None:
    try:
        record = RECORDS.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return record if 0 <= record.incarnation < MOST and 0 <= record.number < MOST else None


def note_of(body: bytes) -> Note | None:
    try:
        note: Note = NOTES.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return note if all(0 <= figure < MOST for figure in note.figures) else None


def size_of(signed: Signed) -> int:
    """Bytes that a record takes in a datagram, at most."""
    return len(signed.body) + SIGNATURE_BYTES + 8


def datagram_of(records: list[Signed], notes: list[Signed] | None = None) -> bytes:
    return bytes([VERSION]) + ENCODER.encode(Datagram(records, notes or []))


def read(data: bytes) -> Datagram | Unread:
    """A datagram, unchecked; or why it can't be read."""
    if not data:
        return Unread.EMPTY
    if len(data) > MOST_BYTES:
        return Unread.LONG
    if data[0] != VERSION:
        return Unread.VERSION
    try:
        datagram = DATAGRAMS.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Unread.FORM
    parts = datagram.records + datagram.notes
    if not parts or any(len(signed.signature) != SIGNATURE_BYTES for signed in parts):
        return Unread.FORM
    return datagram
