"""Tracks the positions other daemons hold, so that no version is in force on one daemon alone.

A restarted daemon holds no state.  If the log is unavailable at that moment, only other daemons
know which version its host had in force.  Therefore a version is put in force only once
`REQUIRED_WITNESSES` other daemons, its witnesses, hold it.
"""

from __future__ import annotations

from typing import Final

from acaciayard_membership import Member, MemberTable
from acaciayard_timers import TimerService

from ._holder import Holder

__all__ = ["REQUIRED_WITNESSES", "Witnesses"]

#: Number of other daemons that must hold a version before it is put in force.
REQUIRED_WITNESSES: Final = 2
#: Seconds for which a failed daemon still counts as a possible witness.  For this long, a daemon
#: that is partitioned from all others puts no new version in force.
_FAILED_COUNT_SECONDS: Final = 60.0


class Witnesses:
    """Positions that other daemons have acknowledged over sessions that are still open."""

    def __init__(self, holder: Holder, table: MemberTable, timers: TimerService) -> None:
        self._holder = holder
        self._table = table
        self._timers = timers
        self._positions: dict[str, int] = {}
        table.subscribe(self._on_member)

    def needed(self) -> int:
        """Number of witnesses that a version needs now; lower only if fewer daemons exist."""
        others = self._table.present_count - 1
        if others < REQUIRED_WITNESSES:
            others += len(self._table.lost_since(self._timers.now() - _FAILED_COUNT_SECONDS))
        return min(REQUIRED_WITNESSES, max(others, 0))

    def _on_member(self, _before: Member | None, _now: Member) -> None:
        """Evaluate again, as fewer witnesses may be needed now; with many daemons none may."""
        if self._table.present_count <= REQUIRED_WITNESSES + 1:
            self.evaluate()

    def acknowledge(self, host: str, position: int) -> None:
        """Note that `host` has acknowledged all records before `position`."""
        if host != self._table.own.host:
            self._positions[host] = max(position, self._positions.get(host, 0))
            self.evaluate()

    def forget(self, host: str) -> None:
        """Drop the position of a host whose sessions have ended; it may lose its state."""
        self._positions.pop(host, None)

    def evaluate(self) -> None:
        """Confirm the position that enough daemons hold."""
        needed = self.needed()
        if needed == 0:
            self._holder.confirm(self._holder.position)
            return
        positions = sorted(self._positions.values(), reverse=True)
        if len(positions) >= needed:
            self._holder.confirm(min(positions[needed - 1], self._holder.position))
