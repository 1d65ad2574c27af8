"""Encodes and decodes datagrams: a version byte, then msgpack (array form).

Decoding has two stages: a datagram is first split into signed messages, whose bodies are decoded separately.
In this way a record is forwarded with exactly those bytes that its origin has signed.
"""

from __future__ import annotations

import msgspec

from larchlatch.cluster.protocol.messages import (
    Datagram,
    DirectMessage,
    DropReason,
    NodeRecord,
    SignedMessage,
)
from larchlatch.cluster.protocol.signing import SIGNATURE_BYTES

VERSION = 5  # version of the protocol; datagrams of other versions are dropped
MAX_DATAGRAM_BYTES = 1200  # fits into one IP packet on usual paths, so that no datagram is fragmented
DATAGRAM_OVERHEAD_BYTES = 8  # at most: the version byte, and the headers of the arrays
MESSAGE_OVERHEAD_BYTES = 8  # of a signed message, at most: headers of array, body and signature

_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_record_decoder = msgspec.msgpack.Decoder(NodeRecord)
_message_decoder = msgspec.msgpack.Decoder(DirectMessage)


def encode_body(message: NodeRecord | DirectMessage) -> bytes:
    """Return the encoded message: the bytes that are signed."""
    return _encoder.encode(message)


def decode_record(body: bytes) -> NodeRecord | None:
    """Return the record in a signed message's body; None if the body is malformed."""
    try:
        return _record_decoder.decode(body)
    except _DECODE_ERRORS:
        return None


def decode_message(body: bytes) -> DirectMessage | None:
    """Return the direct message in a signed message's body; None if the body is malformed."""
    try:
        message: DirectMessage = _message_decoder.decode(body)
    except _DECODE_ERRORS:
        return None
    return message


def encoded_size(signed: SignedMessage) -> int:
    """Return the number of bytes that a signed message takes in a datagram, at most."""
    return len(signed.body) + SIGNATURE_BYTES + MESSAGE_OVERHEAD_BYTES


def encode_datagram(records: list[SignedMessage], messages: list[SignedMessage] | None = None) -> bytes:
    """Return the bytes of a datagram with these records and direct messages."""
    return bytes([VERSION]) + _encoder.encode(Datagram(records, messages or []))


def decode_datagram(data: bytes) -> Datagram | DropReason:
    """Return the datagram with signatures not verified yet, or the reason why it is dropped."""
    if not data:
        return DropReason.EMPTY
    if len(data) > MAX_DATAGRAM_BYTES:
        return DropReason.TOO_LONG
    if data[0] != VERSION:
        return DropReason.UNKNOWN_VERSION
    try:
        datagram = _datagram_decoder.decode(memoryview(data)[1:])
    except _DECODE_ERRORS:
        return DropReason.MALFORMED
    signed_messages = datagram.records + datagram.messages
    if not signed_messages or any(len(signed.signature) != SIGNATURE_BYTES for signed in signed_messages):
        return DropReason.MALFORMED
    return datagram
