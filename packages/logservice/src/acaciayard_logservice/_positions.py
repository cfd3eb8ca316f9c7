"""Positions in a keyed stream that hold also where the log comes back from an older copy.

A log that has lost what it acknowledged gives offsets out again.  It counts how often that has
happened; the count is its era.  A position is the era and the offset in one whole number, so that
every position of a later era is greater than all of an earlier one:

    position_of(era=0, offset=17)                                            # 17
    position_of(era=2, offset=3) > position_of(era=1, offset=17)             # True

A log that tells no era has era 0, and its positions are its offsets.
"""

from __future__ import annotations

from typing import Final

__all__ = ["LARGEST_OFFSET", "LATEST_ERA", "era_of", "offset_of", "position_of"]

#: Bits of an offset: a million records a second for twelve days.
_OFFSET_BITS: Final = 40
#: The largest offset that a position holds.
LARGEST_OFFSET: Final = (1 << _OFFSET_BITS) - 1
#: The latest era of which a position fits the 63 bits of a message field.
LATEST_ERA: Final = (1 << 22) - 1


def position_of(*, era: int, offset: int) -> int:
    """The position at an offset in an era; raises `ValueError` for one that does not fit."""
    if not (0 <= era <= LATEST_ERA and 0 <= offset <= LARGEST_OFFSET):
        raise ValueError(f"no position has era {era} and offset {offset}")
    return era << _OFFSET_BITS | offset


def era_of(position: int) -> int:
    """The era of a position; 0 for a negative one, which stands for none."""
    return max(0, position) >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """The offset of a position."""
    return position & LARGEST_OFFSET
