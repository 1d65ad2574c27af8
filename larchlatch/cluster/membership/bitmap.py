"""Flags as bits of a byte string, the lowest bit of the first byte first."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def pack_bits(flags: Sequence[bool]) -> bytes:
    """Encode one bit a flag; the last byte is filled up with zeros."""
    bits = bytearray(-(-len(flags) // 8))
    for index, flag in enumerate(flags):
        if flag:
            bits[index // 8] |= 1 << index % 8
    return bytes(bits)


def has_bit(bits: bytes, index: int) -> bool:
    """Return whether the bit is set; beyond the end none is."""
    return index // 8 < len(bits) and bool(bits[index // 8] & 1 << index % 8)
