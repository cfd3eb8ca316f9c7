"""Appends snapshots to the log before the records that they cover expire."""

from __future__ import annotations

from attrs import frozen

from acaciayard_logservice import Appended, LogService
from acaciayard_membership import MemberTable, rendezvous
from acaciayard_resources import encode_record, snapshot_of
from acaciayard_timers import TimerService

from ._feeder import CONFIGURATION_STREAM
from ._holder import Holder

__all__ = ["SnapshotSettings", "SnapshotWriter"]


@frozen
class SnapshotSettings:
    """How often snapshots are written."""

    #: Number of records after the latest snapshot that make another one due.
    every_records: int = 500
    #: Seconds after the latest snapshot that make another one due; well below the log's retention.
    every_seconds: float = 600.0
    #: Seconds between two checks whether a snapshot is due.
    look_every: float = 2.0


class SnapshotWriter:
    """Appends snapshots while rendezvous hashing chooses this daemon as the writer.

    Concurrent writers are harmless: a snapshot holds only what follows from the records before its
    position, so a late one is merely redundant.
    """

    def __init__(
        self,
        *,
        settings: SnapshotSettings,
        holder: Holder,
        table: MemberTable,
        log: LogService,
        timers: TimerService,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._table = table
        self._log = log
        self._timers = timers
        self._latest_snapshot = 0
        self._latest_at = timers.now()
        self._written = 0

    @property
    def written(self) -> int:
        """Number of snapshots that this daemon has appended."""
        return self._written

    async def run(self) -> None:
        """Check periodically until cancelled."""
        async for _ in self._timers.ticks(self._settings.look_every):
            await self.write_if_due()

    async def write_if_due(self) -> None:
        """Append a snapshot if one is due and this daemon is the writer."""
        state = self._holder.state
        if state.last_snapshot != self._latest_snapshot:
            self._latest_snapshot = state.last_snapshot
            self._latest_at = self._timers.now()
        if self._holder.in_force is None or not self._is_due() or not self._is_writer():
            return
        appended = await self._log.append(
            CONFIGURATION_STREAM, encode_record(snapshot_of(self._holder.state))
        )
        if isinstance(appended, Appended):
            self._written += 1
            self._latest_at = self._timers.now()

    def _is_due(self) -> bool:
        state = self._holder.state
        if state.version == 0:
            return False
        if state.position - state.last_snapshot >= self._settings.every_records:
            return True
        return self._timers.now() - self._latest_at >= self._settings.every_seconds

    def _is_writer(self) -> bool:
        chosen = rendezvous("snapshot", self._table.present(), 1)
        return bool(chosen) and chosen[0].host == self._table.own.host
