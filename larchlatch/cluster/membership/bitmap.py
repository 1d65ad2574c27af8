"""Packs flags into a byte string, one bit for each, beginning with the lowest bit of the first byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def pack_bits(flags: Sequence[bool]) -> bytes:
    """Return a byte string with one bit for each flag; the last byte is padded with zeros."""
    bits = bytearray(-(-len(flags) // 8))
    for index, flag in enumerate(flags):
        if flag:
            bits[index // 8] |= 1 << index % 8
    return bytes(bits)


def has_bit(bits: bytes, index: int) -> bool:
    """Return whether the bit at this index is set; bits beyond the end count as not set."""
    return index // 8 < len(bits) and bool(bits[index // 8] & 1 << index % 8)
