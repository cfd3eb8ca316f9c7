"""The priority levels of calls that wait for a target, and how they share its slot time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from acaciayard_resources import PRIORITIES

__all__ = ["INNER_LEVEL", "LEVELS", "GatePolicy", "LevelShares", "level_of"]

#: Priority level of nested calls, which targets make for calls that they run.
INNER_LEVEL: Final = 0
#: Number of priority levels: that of nested calls and one for each priority class.
LEVELS: Final = 1 + len(PRIORITIES)


@frozen
class GatePolicy:
    """How the priority levels share the slots of a target.

    Example:
        GatePolicy(lowest_share=1.0, middle_spare=0)    # reserves no slot for higher classes
    """

    #: Share of the slots that the lowest class may occupy.
    lowest_share: float = 2 / 3
    #: Slots that the classes below the highest must leave free.
    middle_spare: int = 1
    #: Weights by which slot time is divided among classes with waiting calls, the highest first.
    weights: tuple[int, ...] = (16, 4, 1)
    #: Weight of nested calls.  It is the highest, since the calls that wait for them occupy slots
    #: meanwhile, and the work done for those is lost if a nested call fails.
    inner_weight: int = 32


def level_of(priority: int, *, is_inner: bool = False) -> int:
    """Return the level of a call of a priority class; `is_inner` marks a nested call."""
    return INNER_LEVEL if is_inner else priority + 1


class LevelShares:
    """Start-time fair queueing of slot time among the priority levels.

    Each level has a virtual start time, which advances by the slot time that it gets divided by its
    weight.  The level with the earliest start is next.

    Example:
        shares.activate(level)              # the first call of a level waits
        level = shares.next([0, 2])
        shares.charge(level, seconds=0.07)  # advances its virtual start
    """

    def __init__(self, policy: GatePolicy) -> None:
        self._weights = (policy.inner_weight, *policy.weights)
        self._virtual_starts = [0.0] * LEVELS
        self._virtual_time = 0.0

    def weight_of(self, level: int) -> int:
        """Return the weight of a level."""
        return self._weights[level]

    def activate(self, level: int) -> None:
        """Let a level that had no waiting calls take part, without credit for its idle time."""
        self._virtual_starts[level] = max(self._virtual_starts[level], self._virtual_time)

    def next(self, ready: Iterable[int]) -> int:
        """Return the level, of those that are ready, that has had the least of its share."""
        level = min(ready, key=self._virtual_starts.__getitem__)
        self._virtual_time = self._virtual_starts[level]
        return level

    def charge(self, level: int, seconds: float) -> None:
        """Charge a level for a call that occupies a slot for about `seconds`."""
        self._virtual_starts[level] += seconds / self._weights[level]
