"""Reads the configuration stream of the log where this daemon is one of the feeders."""

from __future__ import annotations

import random
from typing import Final

import anyio

from acaciayard_logservice import Bounds, Expired, LogService, Slice, Unavailable
from acaciayard_membership import Member, MemberTable
from acaciayard_resources import Record, SnapshotRecord, decode_record
from acaciayard_timers import Signal, TimerService

from ._holder import Holder
from ._topology import is_feeder
from ._witnesses import Witnesses

__all__ = ["CONFIGURATION_STREAM", "Feeder", "LogState"]

#: The stream that holds proposals and snapshots.
CONFIGURATION_STREAM: Final = "configuration"
#: Records asked for at once.
_LIMIT: Final = 512
#: Seconds that the log may wait for a new record.
_LONG_POLL: Final = 10.0
#: Seconds by which changes of membership are gathered before the role is looked at again.
_SETTLE: Final = 0.2
#: Seconds before another try while the log does not answer.
_RETRY: Final = 0.5


class LogState:
    """What this daemon last heard of the log."""

    def __init__(self) -> None:
        self._reason = ""

    @property
    def reason(self) -> str:
        """Why the log is not usable, empty when it is."""
        return self._reason

    def note(self, reason: str) -> None:
        """Remember the outcome of an attempt; empty for success."""
        self._reason = reason


class Feeder:
    """Follows the log by long polls while this daemon is a feeder of its failure domain."""

    def __init__(
        self,
        *,
        holder: Holder,
        witnesses: Witnesses,
        table: MemberTable,
        log: LogService,
        state: LogState,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._holder = holder
        self._witnesses = witnesses
        self._table = table
        self._log = log
        self._state = state
        self._timers = timers
        self._seed = seed
        self._members_changed = Signal()
        table.subscribe(self._on_member)

    @property
    def is_active(self) -> bool:
        """Whether this daemon reads the log."""
        return is_feeder(self._table.own, self._table.present())

    def _on_member(self, before: Member | None, now: Member) -> None:
        if before is None or before.is_present != now.is_present:
            self._members_changed.notify()

    async def run(self) -> None:
        """Read for ever, whenever this daemon is a feeder."""
        while True:
            seen = self._members_changed.count
            if self.is_active:
                await self._read_while_active()
            else:
                await self._members_changed.wait_beyond(seen)
                await self._timers.sleep(_SETTLE)

    async def _read_while_active(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            seen = self._members_changed.count
            while self.is_active:
                seen = await self._members_changed.wait_beyond(seen)
                await self._timers.sleep(_SETTLE)
            tasks.cancel_scope.cancel()

    async def _follow(self) -> None:
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        position = self._holder.position
        match await self._log.read(
            CONFIGURATION_STREAM, start=position, limit=_LIMIT, wait=_LONG_POLL
        ):
            case Slice(records, bounds):
                self._state.note(self._strange(bounds))
                taken = self._holder.take_records(position, [r.payload for r in records])
                self._witnesses.evaluate()
                if records and not taken and self._holder.position <= position:
                    await self._timers.sleep(_RETRY)
                if bounds.head < position:
                    await self._timers.sleep(_RETRY)
            case Expired(bounds):
                await self._bootstrap(bounds)
            case Unavailable(reason):
                self._state.note(reason)
                await self._timers.sleep(_RETRY * self._seed.uniform(0.5, 1.5))

    def _strange(self, bounds: Bounds) -> str:
        if bounds.head < self._holder.position:
            return f"the log ends at {bounds.head}, but {self._holder.position} is held already"
        return ""

    async def _bootstrap(self, bounds: Bounds) -> None:
        """Start from the best snapshot that the log keeps, when it leaves no gap."""
        best: SnapshotRecord | None = None
        offset = bounds.first
        while offset < bounds.head:
            match await self._log.read(CONFIGURATION_STREAM, start=offset, limit=_LIMIT, wait=0.0):
                case Slice(records, _) if records:
                    for record in records:
                        best = _better(best, decode_record(record.payload), bounds)
                    offset = records[-1].offset + 1
                case _:
                    break
        if best is not None and self._holder.take_snapshot(best):
            self._state.note("")
            self._witnesses.evaluate()
            return
        self._state.note(
            f"records {self._holder.position} to {bounds.first} have expired and no snapshot"
            " in the log covers them; waiting for a daemon that holds them"
        )
        await self._timers.sleep(_RETRY)


def _better(best: SnapshotRecord | None, found: Record, bounds: Bounds) -> SnapshotRecord | None:
    """The snapshot that says more of two, of those after which no record is missing."""
    if not isinstance(found, SnapshotRecord) or found.position < bounds.first:
        return best
    return found if best is None or found.position > best.position else best
