"""Counts which other daemons hold what, so that no version is in force on one daemon alone.

A daemon that has restarted knows nothing.  If the log is out at that moment, only other daemons
can tell it which version its host has run; therefore a version goes in force only once `WITNESSES`
other daemons hold it.
"""

from __future__ import annotations

from typing import Final

from acaciayard_membership import Member, MemberTable
from acaciayard_timers import TimerService

from ._holder import Holder

__all__ = ["WITNESSES", "Witnesses"]

#: Other daemons that must hold a version before it goes in force.
WITNESSES: Final = 2
#: Seconds for which a daemon that was lost still counts as one that could be a witness.  For so
#: long a daemon cut off from all others puts nothing new in force.
_LOST_COUNTS_FOR: Final = 60.0


class Witnesses:
    """Positions that other daemons have told over sessions that are open now."""

    def __init__(self, holder: Holder, table: MemberTable, timers: TimerService) -> None:
        self._holder = holder
        self._table = table
        self._timers = timers
        self._positions: dict[str, int] = {}
        table.subscribe(self._on_member)

    def needed(self) -> int:
        """How many witnesses a version needs now; fewer only where fewer daemons exist."""
        others = self._table.present_count - 1
        if others < WITNESSES:
            others += len(self._table.lost_since(self._timers.now() - _LOST_COUNTS_FOR))
        return min(WITNESSES, max(others, 0))

    def _on_member(self, _before: Member | None, _now: Member) -> None:
        """Fewer witnesses may be needed now; with many daemons that never changes."""
        if self._table.present_count <= WITNESSES + 1:
            self.evaluate()

    def note(self, host: str, position: int) -> None:
        """Another daemon has told that it holds all records before `position`."""
        if host != self._table.own.host:
            self._positions[host] = max(position, self._positions.get(host, 0))
            self.evaluate()

    def forget(self, host: str) -> None:
        """The session is over; the daemon may be about to lose its memory."""
        self._positions.pop(host, None)

    def evaluate(self) -> None:
        """Confirm what enough daemons hold."""
        needed = self.needed()
        if needed == 0:
            self._holder.confirm(self._holder.position)
            return
        positions = sorted(self._positions.values(), reverse=True)
        if len(positions) >= needed:
            self._holder.confirm(min(positions[needed - 1], self._holder.position))
