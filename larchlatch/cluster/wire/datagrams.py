"""Datagrams between nodes: a version byte, then msgpack. Each is decoded once and encoded once."""

from __future__ import annotations

from enum import Enum

import msgspec

from larchlatch.cluster.wire.keys import SIGNATURE_BYTES

VERSION = 1
MOST_BYTES = 1200  # goes through any path of today in one piece
OVERHEAD = 8  # version, and heads of the arrays


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What a node says of itself. Numbers only ever go up within an incarnation."""

    name: str
    incarnation: int  # microseconds of Unix time at its start
    number: int
    made_us: int  # Unix time
    leaving: bool
    heard: bytes  # a bit for each member, in the order of their names: heard directly of late

    @property
    def age(self) -> tuple[int, int]:
        return self.incarnation, self.number


class Signed(msgspec.Struct, array_like=True, frozen=True):
    body: bytes
    signature: bytes


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """The sender's own record comes first, then those that it passes on."""

    records: list[Signed]


class Unread(Enum):
    """Why a datagram, or a record in it, was dropped."""

    EMPTY = "empty"
    LONG = "too long"
    VERSION = "unknown version"
    FORM = "not understood"
    STRANGER = "unknown member"
    SIGNATURE = "wrong signature"
    STALE = "made too long ago"
    EARLY = "made in the future"


ENCODER = msgspec.msgpack.Encoder()
DATAGRAMS = msgspec.msgpack.Decoder(Datagram)
RECORDS = msgspec.msgpack.Decoder(Record)


def body_of(record: Record) -> bytes:
    return ENCODER.encode(record)


def record_of(body: bytes) -> Record | None:
    try:
        record = RECORDS.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return record if 0 <= record.incarnation < 2**62 and 0 <= record.number < 2**62 else None


def size_of(signed: Signed) -> int:
    """Bytes that a record takes in a datagram, at most."""
    return len(signed.body) + SIGNATURE_BYTES + 8


def datagram_of(records: list[Signed]) -> bytes:
    return bytes([VERSION]) + ENCODER.encode(Datagram(records))


def read(data: bytes) -> list[Signed] | Unread:
    """The records of a datagram, unchecked; or why it can't be read."""
    if not data:
        return Unread.EMPTY
    if len(data) > MOST_BYTES:
        return Unread.LONG
    if data[0] != VERSION:
        return Unread.VERSION
    try:
        records = DATAGRAMS.decode(memoryview(data)[1:]).records
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Unread.FORM
    if any(len(signed.signature) != SIGNATURE_BYTES for signed in records):
        return Unread.FORM
    return records if records else Unread.FORM
